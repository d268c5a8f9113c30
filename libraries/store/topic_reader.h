// Follows one keyed topic: loads the newest record of each key in pages, then reads the records that were appended
// since.

#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/event_scheduler.h"
#include "store/read_pacer.h"
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
    milliseconds wait;            // How long a read at the topic's end waits for a record.
    milliseconds delay;           // Between reads.
    milliseconds reload_delay{0}; // A reload after records were trimmed starts at a random time up to this later.
    bool is_yielding = false;     // Pauses between reads in a row while the store is slow.
};

// For topics that are read in small amounts and must be current within a second or two.
constexpr read_pace_limits prompt_pace{milliseconds(1'000), milliseconds(400)};

// For topics that can hold much data, which many processes read.
constexpr read_pace_limits bulk_pace{milliseconds(2'000), milliseconds(2'000)};

class topic_reader : public std::enable_shared_from_this<topic_reader> {
public:
    topic_reader(event_scheduler& scheduler, record_store& store, std::string topic, read_timing timing,
                 read_pace_limits pace_limits, topic_consumer& consumer);

    void start();
    void stop();
    void set_timing(read_timing new_timing);

    // Calls `done` with true after a read that is sent from now on has reached the topic's end, or with false when it
    // failed.
    void refresh(std::function<void(bool is_current)> done);

    // When the newest read that reached the topic's end was sent; the consumer's state is at least as new.
    [[nodiscard]] std::optional<boot_time> current_as_of() const { return this->as_of; }

    // Whether the topic has been loaded once. While it is loaded anew, the consumer keeps its state, which
    // current_as_of() dates.
    [[nodiscard]] bool is_loaded() const { return this->has_loaded; }
    [[nodiscard]] std::uint64_t position() const { return this->next_offset; }

private:
    void run_next();
    void schedule(milliseconds delay);
    void run_next_after(milliseconds delay);
    void read_on();
    void read_page();
    void handle_page(const newest_page& page, boot_time sent_at);
    void finish_pages(boot_time now);
    void read_records(milliseconds wait);
    void read_without_waiting();
    [[nodiscard]] read_bounds make_bounds(milliseconds wait) const;
    bool apply_records(const read_result& result, boot_time sent_at);
    void reload();
    void continue_reading(const read_result& result);
    void handle_records(const read_result& result, boot_time sent_at);
    void handle_failure();
    void complete_refreshes(bool is_current);

    event_scheduler& scheduler;
    record_store& store;
    const std::string topic;
    read_timing timing;
    read_pacer pacer;
    topic_consumer& consumer;
    bool has_loaded = false;
    bool is_paging = true; // The newest records of all keys are to be read next, or are being read.
    bool stopped = true;
    std::uint64_t scheduled_run = 0; // Only the call with this number runs; earlier ones were replaced.
    bool is_reading = false;
    bool is_read_waiting = false; // The read in flight waits for a record, so it may confirm nothing for a while.
    milliseconds in_flight_wait{0};
    std::uint64_t next_offset = 0;
    std::string last_page_key;
    std::optional<std::uint64_t> first_page_end;
    boot_time first_page_sent_at;
    std::map<std::string, std::uint64_t, std::less<>> page_keys; // Offset by key, until a read has reached the end.
    std::optional<boot_time> as_of;
    std::vector<std::function<void(bool)>> pending_refreshes;   // For the read after the one in flight.
    std::vector<std::function<void(bool)>> in_flight_refreshes; // For the read in flight.
};

} // namespace wigeon
