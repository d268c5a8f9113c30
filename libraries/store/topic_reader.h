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
    virtual void finish_pages(const std::map<std::string, std::uint64_t, std::less<>>& keys, boot_time now)
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

struct reading_pace {
    milliseconds wait;  // For which a read at the end waits for a record.
    milliseconds pause; // Between reads.
};

class topic_reader : public std::enable_shared_from_this<topic_reader> {
public:
    topic_reader(boost::asio::io_context& loop, record_store& store, std::string topic, reading_pace pace,
                 topic_consumer& consumer);

    void start();
    void stop();
    void set_pace(reading_pace changed);

    // Calls `done` after a read that was sent from now on reached the end, or failed.
    void refresh(std::function<void(bool is_current)> done);

    // When the newest read that reached the end was sent; what the consumer knows is at least as new.
    [[nodiscard]] std::optional<boot_time> proven_at() const { return this->proof; }
    [[nodiscard]] bool is_paged() const { return this->paged; }
    [[nodiscard]] std::uint64_t position() const { return this->next_offset; }

private:
    void run_next();
    void schedule(milliseconds pause);
    void read_page();
    void take_page(const newest_page& page, boot_time sent_at);
    void read_records(milliseconds wait);
    void read_beside();
    bool apply_records(const read_result& result, boot_time sent_at);
    void take_records(const read_result& result, boot_time sent_at);
    void fail();
    void answer_refreshes(bool is_current);

    boost::asio::steady_timer timer;
    record_store& store;
    const std::string topic;
    reading_pace pace;
    topic_consumer& consumer;
    bool paged = false;
    bool stopped = true;
    bool is_reading = false;
    bool is_read_waiting = false; // The read on its way waits for a record, and so proves nothing for a while.
    std::uint64_t next_offset = 0;
    std::string page_position;
    std::optional<std::uint64_t> first_page_end;
    std::map<std::string, std::uint64_t, std::less<>> page_keys; // Key to offset, while pages are read and behind them.
    std::optional<boot_time> proof;
    std::vector<std::function<void(bool)>> waiting_refreshes; // For the read after the current one.
    std::vector<std::function<void(bool)>> current_refreshes; // For the read on its way.
};

} // namespace wigeon
