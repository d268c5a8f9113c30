// Which executors to trust with new work, and which running tasks are better moved. Answers executors that fail all
// they start, stand still, or run several times slower while their own health report is good. Pure.

#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>

#include "base/time.h"

namespace wigeon {

// A task's progress as looks have shown it.
struct task_progress {
    std::optional<boot_time> first_reported;
    std::uint32_t percent = 0;
    boot_time changed_at; // When a look last showed another percent.

    void update(std::uint32_t reported, boot_time now);
};

// `last_look` is when the newest answered look was sent.
bool is_stalled(const task_progress& progress, boot_time last_poll, boot_time now);

// Distrust is taken back when it would hold for more executors than this: then they are not what is wrong.
bool is_quarantine_plausible(std::size_t quarantined, std::size_t executors);

// Failures on one executor since its last success.
struct failure_streak {
    std::uint32_t failures = 0;
    std::optional<boot_time> quarantined_until;

    // `ran` is how long the task ran before it failed.
    void record_failure(milliseconds run_time, milliseconds estimate, boot_time now);
    void record_success();
    void record_stall(boot_time now);
    [[nodiscard]] bool is_quarantined(boot_time now) const
    {
        return this->quarantined_until && now < *this->quarantined_until;
    }
};

} // namespace wigeon
