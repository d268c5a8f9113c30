// Follows one keyed topic: pages through its newest records, then reads what comes behind them.

#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "store/record_store.h"

namespace wigeon {

// Takes the records of a topic in an order in which the last one of a key is the newest.
class topic_consumer {
public:
    virtual ~topic_consumer() = default;

    virtual void apply(const stored_record& record, boot_time now) = 0;

    // All keys that exist have been applied; a key of before that isn't in `keys` was removed.
    virtual void finish_load(const std::map<std::string, std::uint64_t, std::less<>>& keys, boot_time now)
    {
        static_cast<void>(keys);
        static_cast<void>(now);
    }

    // A read reached the topic's end; all that was there when it was sent has been applied.
    virtual void finish_read(std::size_t record_count, boot_time sent_at, boot_time now)
    {
        static_cast<void>(record_count);
        static_cast<void>(sent_at);
        static_cast<void>(now);
    }
};

struct read_timing {
    milliseconds wait;  // For which a read at the end waits for a record.
    milliseconds delay; // Between reads.
};

class topic_reader : public std::enable_shared_from_this<topic_reader> {
public:
    topic_reader(boost::asio::io_context& loop, record_store& store, std::string topic, read_timing timing,
                 topic_consumer& consumer);

    void start();
    void stop();
    void set_timing(read_timing new_timing);

    // Calls `done` after a read that was sent from now on reached the end, or failed.
    void refresh(std::function<void(bool is_current)> done);

    // When the newest read that reached the end was sent; what the consumer knows is at least as new.
    [[nodiscard]] std::optional<boot_time> current_as_of() const { return this->as_of; }
    [[nodiscard]] bool is_loaded() const { return this->loaded; }
    [[nodiscard]] std::uint64_t position() const { return this->next_offset; }

private:
    void run_next();
    void schedule(milliseconds delay);
    void read_page();
    void handle_page(const newest_page& page, boot_time sent_at);
    void read_records(milliseconds wait);
    void read_without_waiting();
    bool apply_records(const read_result& result, boot_time sent_at);
    void handle_records(const read_result& result, boot_time sent_at);
    void handle_failure();
    void complete_refreshes(bool is_current);

    boost::asio::steady_timer timer;
    record_store& store;
    const std::string topic;
    read_timing timing;
    topic_consumer& consumer;
    bool loaded = false;
    bool stopped = true;
    bool is_reading = false;
    bool is_read_waiting = false; // The read on its way waits for a record, and so proves nothing for a while.
    std::uint64_t next_offset = 0;
    std::string last_page_key;
    std::optional<std::uint64_t> first_page_end;
    std::map<std::string, std::uint64_t, std::less<>> page_keys; // Key to offset, while pages are read and behind them.
    std::optional<boot_time> as_of;
    std::vector<std::function<void(bool)>> pending_refreshes;   // For the read after the current one.
    std::vector<std::function<void(bool)>> in_flight_refreshes; // For the read on its way.
};

} // namespace wigeon
