// Opens with the first success, closes with the first failure.

#include "node/write_gate.h"

#include <algorithm>

namespace wigeon {

namespace {

// Finds the store's return well within a caller's pause of a second.
constexpr milliseconds probe_interval{250};

constexpr std::int64_t shortest_retry_after_s = 1;
// The users' callers come back four times; longer pauses would use up what their jobs have left.
constexpr std::int64_t longest_retry_after_s = 3;

} // namespace

void write_gate::note_success()
{
    this->failing_since.reset();
}

void write_gate::note_failure(boot_time now)
{
    if (!this->failing_since)
        this->failing_since = now;
    this->last_probe = now;
}

bool write_gate::may_write(boot_time now)
{
    if (!this->failing_since)
        return true;
    if (now - this->last_probe < probe_interval)
        return false;
    this->last_probe = now;
    return true;
}

std::uint32_t write_gate::find_retry_after_s(boot_time now) const
{
    if (!this->failing_since)
        return static_cast<std::uint32_t>(shortest_retry_after_s);
    const auto lasted = std::chrono::duration_cast<std::chrono::seconds>(now - *this->failing_since);
    return static_cast<std::uint32_t>(
        std::clamp<std::int64_t>(lasted.count(), shortest_retry_after_s, longest_retry_after_s));
}

} // namespace wigeon
