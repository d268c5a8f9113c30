// Chooses the size, the timeout and the spacing of a topic's reads from the outcomes of the earlier ones.
//
// Answers the load of many readers that share a store's read bandwidth. A read that asks for more than the store can
// deliver in time is lost whole; repeated unchanged by all readers, such reads keep the store overloaded after the
// cause has gone. Readers that are far behind pause between reads while answers are slow, which leaves bandwidth for
// small reads that must be prompt, like those of the configuration. No I/O, no clock.

#pragma once

#include <cstddef>

#include "base/time.h"

namespace wigeon {

struct read_pace_limits {
    milliseconds max_timeout;     // Of a read that does not wait for records; at least 1 s.
    milliseconds max_retry_delay; // Before its random part; at least 200 ms.
};

class read_pacer {
public:
    explicit read_pacer(read_pace_limits given_limits) : limits(given_limits) {}

    // `elapsed` is the time from the call to its answer, apart from the time that the read waited for records;
    // `has_more` says whether the topic has further records.
    void record_success(milliseconds elapsed, bool has_more);
    void record_failure();

    // Called when a read returned no record though the topic has more: the next one exceeds the size.
    void record_oversize();

    // Bound of the next read's answer, in bytes.
    [[nodiscard]] std::size_t max_bytes() const { return this->window; }

    // Time limit of the next read, apart from the time that it waits for records.
    [[nodiscard]] milliseconds timeout() const { return this->read_timeout; }

    // Time limit of a page of newest records, whose size the store chooses.
    [[nodiscard]] milliseconds page_timeout() const;

    // Pause before the next one of several reads in a row: none while answers are fast, else several times as long as
    // the last answer took. `fraction` as below.
    [[nodiscard]] milliseconds find_pause(double fraction) const;

    // Delay before a failed read is repeated. `fraction`, from 0 to 1, is random and spreads the readers.
    [[nodiscard]] milliseconds find_retry_delay(double fraction) const;

private:
    static constexpr std::size_t initial_window = 65'536; // Bytes.
    static constexpr milliseconds min_timeout{1'000};

    read_pace_limits limits;
    std::size_t window = initial_window;
    milliseconds read_timeout = min_timeout;
    milliseconds last_elapsed{0};
    unsigned consecutive_failures = 0;
};

} // namespace wigeon
