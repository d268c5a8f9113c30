// Verdicts on progress and failures.

#include "dispatch/executor_health.h"

#include <algorithm>

namespace wigeon {

namespace {

// Looks show a running task once a second, and the longest tasks of the users (11 s, seven times slowed) still move by
// a percent a second.
constexpr milliseconds still_time{2'200};

// Too old a look says nothing about now.
constexpr milliseconds oldest_look{1'500};

// Jobs fail by their own fault in one of twenty runs, so that one failure is no proof against an executor, and two in a
// row without a success between them nearly are.
constexpr std::uint32_t distrust_failures = 2;
constexpr milliseconds distrust_time{6'000};

// A task that fails in the first fifth of its estimate hardly began; the executor rests for about one urgent job's
// time.
constexpr std::int64_t early_failure_divisor = 5;
constexpr milliseconds early_failure_rest{2'500};

// The users' worst days have a sixth of the executors fail at once.
constexpr std::size_t distrust_share_divisor = 4;

constexpr std::uint32_t whole_percent = 100;

} // namespace

void task_progress::note(std::uint32_t shown, boot_time now)
{
    if (!this->first_shown) {
        this->first_shown = now;
        this->changed_at = now;
    }
    if (shown != this->percent)
        this->changed_at = now;
    this->percent = shown;
}

bool is_standing_still(const task_progress& progress, boot_time last_look, boot_time now)
{
    if (!progress.first_shown || now - last_look > oldest_look || progress.percent >= whole_percent)
        return false;
    return last_look - progress.changed_at >= still_time;
}

bool is_distrust_plausible(std::size_t distrusted, std::size_t executors)
{
    return distrusted * distrust_share_divisor <= executors;
}

void failure_streak::note_failure(milliseconds ran, milliseconds estimate, boot_time now)
{
    ++this->failures;
    milliseconds rest{0};
    if (this->failures >= distrust_failures)
        rest = distrust_time;
    else if (ran * early_failure_divisor < estimate)
        rest = early_failure_rest;
    if (rest > milliseconds(0))
        this->distrusted_until = std::max(this->distrusted_until.value_or(now), now + rest);
}

void failure_streak::note_success()
{
    this->failures = 0;
    this->distrusted_until.reset();
}

void failure_streak::note_bad_progress(boot_time now)
{
    this->distrusted_until = std::max(this->distrusted_until.value_or(now), now + distrust_time);
}

} // namespace wigeon
