// Decides which executors are quarantined, so that they get no new tasks for a while, and which running tasks have
// stalled. Finds executors that fail task after task or make no progress although they report good health. A task that
// is only slow does not count as stalled. No I/O, no clock.

#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>

#include "base/time.h"

namespace wigeon {

// A task's progress as reported by polls.
struct task_progress {
    std::optional<boot_time> first_reported;
    std::uint32_t percent = 0;
    boot_time changed_at; // When a poll last reported a different percentage.

    void update(std::uint32_t reported, boot_time now);
};

// `last_poll` is when the newest answered poll was sent.
bool is_stalled(const task_progress& progress, boot_time last_poll, boot_time now);

// False if so many executors are quarantined at once that the cause must lie elsewhere. The quarantines are then
// ignored.
bool is_quarantine_plausible(std::size_t quarantined, std::size_t executors);

// Failures on one executor since its last success, and the quarantine that follows from them.
struct failure_streak {
    std::uint32_t failures = 0;
    std::optional<boot_time> quarantined_until;

    // `run_time` is how long the task ran before it failed.
    void record_failure(milliseconds run_time, milliseconds estimate, boot_time now);
    void record_success();
    void record_stall(boot_time now);
    [[nodiscard]] bool is_quarantined(boot_time now) const
    {
        return this->quarantined_until && now < *this->quarantined_until;
    }
};

} // namespace wigeon
