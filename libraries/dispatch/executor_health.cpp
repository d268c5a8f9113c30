// Rules for stalls and quarantines.

#include "dispatch/executor_health.h"

#include <algorithm>

namespace wigeon {

namespace {

// A running task is reported once a second, and even the longest tasks of the users (11 s, slowed down seven times)
// progress by one percent a second.
constexpr milliseconds stall_time{2'200};

// An older poll does not show whether a task is stalled now.
constexpr milliseconds max_stall_poll_age{1'500};

// Jobs fail by their own fault in one of twenty runs. One failure therefore does not show that the executor is bad; two
// without a success in between very likely do.
constexpr std::uint32_t quarantine_failures = 2;
constexpr milliseconds quarantine_time{6'000};

// A failure in the first fifth of a task's estimated run time is an early failure. It quarantines the executor for
// about the run time of one urgent job.
constexpr std::int64_t early_failure_divisor = 5;
constexpr milliseconds early_failure_quarantine_time{2'500};

// On the users' worst days a sixth of the executors fail at once, so up to a quarter may be quarantined.
constexpr std::size_t quarantine_share_divisor = 4;

constexpr std::uint32_t complete_percent = 100;

} // namespace

void task_progress::update(std::uint32_t reported, boot_time now)
{
    if (!this->first_reported) {
        this->first_reported = now;
        this->changed_at = now;
    }
    if (reported != this->percent)
        this->changed_at = now;
    this->percent = reported;
}

bool is_stalled(const task_progress& progress, boot_time last_poll, boot_time now)
{
    if (!progress.first_reported || now - last_poll > max_stall_poll_age || progress.percent >= complete_percent)
        return false;
    return last_poll - progress.changed_at >= stall_time;
}

bool is_quarantine_plausible(std::size_t quarantined, std::size_t executors)
{
    return quarantined * quarantine_share_divisor <= executors;
}

void failure_streak::record_failure(milliseconds run_time, milliseconds estimate, boot_time now)
{
    ++this->failures;
    milliseconds duration{0};
    if (this->failures >= quarantine_failures)
        duration = quarantine_time;
    else if (run_time * early_failure_divisor < estimate)
        duration = early_failure_quarantine_time;
    if (duration > milliseconds(0))
        this->quarantined_until = std::max(this->quarantined_until.value_or(now), now + duration);
}

void failure_streak::record_success()
{
    this->failures = 0;
    this->quarantined_until.reset();
}

void failure_streak::record_stall(boot_time now)
{
    this->quarantined_until = std::max(this->quarantined_until.value_or(now), now + quarantine_time);
}

} // namespace wigeon
