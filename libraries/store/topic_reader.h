// Follows one keyed topic: loads the newest record of each key in pages, then reads the records that were appended
// since.

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

// Receives the records of a topic. The last one of each key is the newest.
class topic_consumer {
public:
    virtual ~topic_consumer() = default;

    virtual void apply(const stored_record& record, boot_time now) = 0;

    // Called when the records of all existing keys have been applied. A key that was applied before and isn't in `keys`
    // was removed. `keys` holds the offset of each key's record.
    virtual void finish_load(const std::map<std::string, std::uint64_t, std::less<>>& keys, boot_time now)
    {
        static_cast<void>(keys);
        static_cast<void>(now);
    }

    // Called when a read has reached the topic's end: all records that existed when it was sent have been applied.
    virtual void finish_read(std::size_t record_count, boot_time sent_at, boot_time now)
    {
        static_cast<void>(record_count);
        static_cast<void>(sent_at);
        static_cast<void>(now);
    }
};

struct read_timing {
    milliseconds wait;  // How long a read at the topic's end waits for a record.
    milliseconds delay; // Between reads.
};

class topic_reader : public std::enable_shared_from_this<topic_reader> {
public:
    topic_reader(boost::asio::io_context& loop, record_store& store, std::string topic, read_timing timing,
                 topic_consumer& consumer);

    void start();
    void stop();
    void set_timing(read_timing new_timing);

    // Calls `done` with true after a read that is sent from now on has reached the topic's end, or with false when it
    // failed.
    void refresh(std::function<void(bool is_current)> done);

    // When the newest read that reached the topic's end was sent; the consumer's state is at least as new.
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
    bool is_read_waiting = false; // The read in flight waits for a record, so it may confirm nothing for a while.
    std::uint64_t next_offset = 0;
    std::string last_page_key;
    std::optional<std::uint64_t> first_page_end;
    std::map<std::string, std::uint64_t, std::less<>> page_keys; // Offset by key, until a read has reached the end.
    std::optional<boot_time> as_of;
    std::vector<std::function<void(bool)>> pending_refreshes;   // For the read after the one in flight.
    std::vector<std::function<void(bool)>> in_flight_refreshes; // For the read in flight.
};

} // namespace wigeon
