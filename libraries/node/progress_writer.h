// Sends a leader's appends to one topic, one at a time, divided to keep within the store's limits. Each is retried
// until its outcome is certain. The epoch of the term fences off former leaders.

#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <span>
#include <string>
#include <string_view>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "store/record_store.h"

namespace wigeon {

enum class progress_outcome : std::uint8_t {
    done,
    fenced,    // A later leader has taken over.
    timed_out, // The store has not confirmed the append for longer than max_unconfirmed_leadership.
};

class progress_writer : public std::enable_shared_from_this<progress_writer> {
public:
    progress_writer(boost::asio::io_context& loop, record_store& store, std::string_view topic, std::uint64_t term,
                    boot_time now);

    // Sends an empty append that raises the producer's epoch and learns the next sequence number. Must be done before
    // the first append.
    void fence_former_leader(std::function<void(progress_outcome)> done);

    // Appends the records in order; those beyond the store's limits of one call in further calls, so that any prefix
    // may be stored without the rest. Must not be called before the last append is done. The records must stay valid
    // until `done` is called.
    void append(std::span<const keyed_record> records, std::function<void(progress_outcome)> done);

    // No handler is called afterwards.
    void stop();

    // Whether nothing was confirmed, or begun, for longer than max_unconfirmed_leadership.
    [[nodiscard]] bool has_timed_out(boot_time now) const;

    // When the last confirmed append was first sent. The confirmation itself may have been received much later, if this
    // process was paused.
    [[nodiscard]] boot_time confirmed_as_of() const { return this->confirmed_append_started_at; }

private:
    void send_next();
    void send();
    void handle_done();
    void handle_result(const append_result& result);
    void schedule_retry();
    void finish(progress_outcome outcome);

    record_store& store;
    const std::string topic;
    const std::uint64_t epoch;
    std::uint64_t next_sequence = 0;
    std::span<const keyed_record> records;      // Not stored so far; none while former leaders are being fenced off.
    std::size_t in_flight_count = 0;            // Records at the front of `records` that the call in flight holds.
    std::function<void(progress_outcome)> done; // Empty while no append is in flight.
    boost::asio::steady_timer retry_timer;
    boot_time append_started_at; // First attempt of the call in flight.
    boot_time last_confirmed;
    boot_time confirmed_append_started_at;
    bool is_stopped = false;
};

} // namespace wigeon
