// Interface to the platform's record store: topics of records with offsets, which keep the newest record of each key
// for ever. All calls return at once; the handler runs later on the process's event loop.

#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "base/time.h"

namespace wigeon {

struct keyed_record {
    std::string key;
    std::optional<std::string> value; // None: a tombstone; the key was removed.
};

struct stored_record {
    std::uint64_t offset = 0;
    keyed_record content;
};

// What the store accepts in one append. It refuses larger ones, however often they are repeated.
struct append_limits {
    std::size_t record_bytes = 262'144; // Key and value of one record.
    std::size_t call_bytes = 2'097'152; // All records of one append.

    friend bool operator==(const append_limits&, const append_limits&) = default;
};

// Makes appends idempotent, and fences off producers with a lower epoch.
struct producer_position {
    std::string name;
    std::uint64_t epoch = 0;
    std::uint64_t sequence = 0; // Counts appends, not records.
};

struct append_condition {
    std::optional<std::uint64_t> expected_end; // Append only if this is the topic's end.
    std::optional<producer_position> producer;
};

enum class append_status : std::uint8_t {
    done,
    rejected,         // Certainly not done; a repetition may succeed.
    refused,          // Certainly not done; a repetition would be refused as well.
    condition_failed, // The topic's end is not `expected_end`; not done.
    out_of_sequence,  // Not done; `expected_sequence` is set.
    fenced,           // A producer with a higher epoch has taken over; not done.
    unknown,          // May be done, or be done later.
};

struct append_result {
    append_status status = append_status::unknown;
    std::uint64_t offset = 0; // Of the first record, when done.
    std::uint64_t end = 0;    // The topic's end, when done or condition_failed.
    std::uint64_t expected_sequence = 0;
};

enum class read_status : std::uint8_t {
    done,
    trimmed, // The requested records are gone; load the newest record of each key again.
    failed,
};

struct read_result {
    read_status status = read_status::failed;
    std::uint64_t end = 0;          // Offset after the topic's last record.
    std::uint64_t first_offset = 0; // Offset of the oldest record that is kept.
    std::vector<stored_record> records;
    std::size_t unreadable_count = 0; // Records whose key can't be decoded; skipped.
};

struct newest_page {
    bool is_done = false;
    std::vector<stored_record> records;
    bool has_more = false; // Continue after the last key.
    std::uint64_t end = 0;
};

// Bounds of one read.
struct read_bounds {
    milliseconds wait{0};                    // At the topic's end, wait this long for a record to be appended.
    milliseconds timeout{1'000};             // The call fails this long after `wait`.
    std::size_t max_bytes = 1024UL * 1024UL; // Of the records in the answer.
};

class record_store {
public:
    virtual ~record_store() = default;

    [[nodiscard]] virtual append_limits limits() const = 0;

    // Appends all records or none to a topic with keys. Refuses records beyond the limits; see take_append().
    virtual void append(std::string_view topic, std::span<const keyed_record> records,
                        const append_condition& condition, std::function<void(append_result)> done) = 0;

    // Appends one record to a topic without keys.
    virtual void append_unkeyed(std::string_view topic, std::string_view record, const append_condition& condition,
                                std::function<void(append_result)> done) = 0;

    // Reads from offset `from` on.
    virtual void read(std::string_view topic, std::uint64_t from, const read_bounds& bounds,
                      std::function<void(read_result)> done) = 0;

    // Reads a topic without keys; the records' keys are empty.
    virtual void read_unkeyed(std::string_view topic, std::uint64_t from, std::function<void(read_result)> done) = 0;

    // Reads a page of the newest records of the keys after `after`, in the order of keys. Successive pages are not a
    // consistent snapshot. The call fails after `timeout`.
    virtual void read_newest(std::string_view topic, std::string_view after, milliseconds timeout,
                             std::function<void(newest_page)> done) = 0;
};

} // namespace wigeon
