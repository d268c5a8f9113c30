// A leader's appends to the topic of progress: one at a time, each sent again until the store has said what became of
// it, under an epoch that shuts out former leaders.

#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <span>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "store/record_store.h"

namespace wigeon {

enum class progress_outcome : std::uint8_t {
    done,
    fenced,    // A later leader has taken over.
    timed_out, // The store has confirmed nothing for longer than a leader may go on.
};

class progress_writer : public std::enable_shared_from_this<progress_writer> {
public:
    progress_writer(boost::asio::io_context& loop, record_store& store, std::uint64_t term, boot_time now);

    // Must come before the first append.
    void fence_former_leader(std::function<void(progress_outcome)> done);

    // Must wait until the last one is done. The records must stay until then.
    void append(std::span<const keyed_record> records, std::function<void(progress_outcome)> done);

    // No handler is called after this.
    void stop();

    [[nodiscard]] bool has_timed_out(boot_time now) const;

private:
    void send();
    void handle_result(const append_result& result);
    void schedule_retry();
    void finish(progress_outcome outcome);

    record_store& store;
    const std::uint64_t epoch;
    std::uint64_t next_sequence = 0;
    std::span<const keyed_record> records;      // Of the append on its way; none while former leaders are shut out.
    std::function<void(progress_outcome)> done; // Empty while nothing is on its way.
    boost::asio::steady_timer retry_timer;
    boot_time append_started_at; // Of the append on its way.
    boot_time last_confirmed;
    bool is_stopped = false;
};

} // namespace wigeon
