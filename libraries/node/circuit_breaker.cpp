// The breaker opens with the first failure and closes with the first success.

#include "node/circuit_breaker.h"

#include <algorithm>

namespace wigeon {

namespace {

// Short enough to detect the store's return within the shortest delay of a refused caller, one second.
constexpr milliseconds probe_interval{250};

constexpr std::int64_t min_retry_after_s = 1;
// The users' callers retry four times; longer delays would use up the time that their jobs have left.
constexpr std::int64_t max_retry_after_s = 3;

} // namespace

void circuit_breaker::record_success()
{
    this->open_since.reset();
}

void circuit_breaker::record_failure(boot_time now)
{
    if (!this->open_since)
        this->open_since = now;
    this->last_probe = now;
}

bool circuit_breaker::admit_write(boot_time now)
{
    if (!this->open_since)
        return true;
    if (now - this->last_probe < probe_interval)
        return false;
    this->last_probe = now;
    return true;
}

std::uint32_t circuit_breaker::find_retry_after_s(boot_time now) const
{
    if (!this->open_since)
        return static_cast<std::uint32_t>(min_retry_after_s);
    const auto outage = std::chrono::duration_cast<std::chrono::seconds>(now - *this->open_since);
    return static_cast<std::uint32_t>(std::clamp<std::int64_t>(outage.count(), min_retry_after_s, max_retry_after_s));
}

} // namespace wigeon
