// Halves the size of a read after a slow answer or a failure, and doubles it after a fast one while there is more to
// read. A failure also doubles the timeout and the retry delay.

#include "store/read_pacer.h"

#include <algorithm>

namespace wigeon {

namespace {

constexpr std::size_t min_window = 16'384;    // Bytes.
constexpr std::size_t max_window = 1'048'576; // Bytes; the store returns no more in one answer.

constexpr milliseconds min_retry_delay{200};

// The store answers a small read in a few milliseconds. The size grows while answers take at most the first time, and
// shrinks when they take longer than the second one.
constexpr milliseconds fast_answer{125};
constexpr milliseconds slow_answer{250};

// With this factor, readers that are behind spend a fifth of their time waiting for an answer.
constexpr double pause_factor = 4;
constexpr milliseconds max_pause{4'000};

// A page has up to 1 MB, many times a read's initial size.
constexpr int page_timeout_factor = 4;

// Retries grow by doubling up to this many times.
constexpr unsigned max_doublings = 10;

// Returns between one half and one and a half of the product.
milliseconds spread(milliseconds time, double factor, double fraction)
{
    return milliseconds(static_cast<std::int64_t>(static_cast<double>(time.count()) * factor * (0.5 + fraction)));
}

} // namespace

void read_pacer::record_success(milliseconds elapsed, bool has_more)
{
    this->consecutive_failures = 0;
    this->read_timeout = min_timeout;
    this->last_elapsed = elapsed;
    if (elapsed > slow_answer)
        this->window = std::max(this->window / 2, min_window);
    else if (elapsed <= fast_answer && has_more)
        this->window = std::min(this->window * 2, max_window);
    // A reader that was current for a while must not ask for much at the moment when the store becomes slow.
    if (!has_more)
        this->window = std::min(this->window, initial_window);
}

void read_pacer::record_failure()
{
    ++this->consecutive_failures;
    this->window = std::max(this->window / 2, min_window);
    this->read_timeout = std::min(this->read_timeout * 2, std::max(this->limits.max_timeout, min_timeout));
}

void read_pacer::record_oversize()
{
    this->window = std::min(this->window * 2, max_window);
}

milliseconds read_pacer::page_timeout() const
{
    return this->read_timeout * page_timeout_factor;
}

milliseconds read_pacer::find_pause(double fraction) const
{
    if (this->last_elapsed <= slow_answer)
        return milliseconds(0);
    return std::min(spread(this->last_elapsed, pause_factor, fraction), max_pause);
}

milliseconds read_pacer::find_retry_delay(double fraction) const
{
    const unsigned doublings =
        std::min(this->consecutive_failures > 0 ? this->consecutive_failures - 1 : 0U, max_doublings);
    return spread(std::min(min_retry_delay * (1U << doublings), this->limits.max_retry_delay), 1, fraction);
}

} // namespace wigeon
