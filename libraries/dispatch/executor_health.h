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
    std::optional<boot_time> first_shown;
    std::uint32_t percent = 0;
    boot_time changed_at; // When a look last showed another percent.

    void note(std::uint32_t shown, boot_time now);
};

// `last_look` is when the newest answered look was sent.
bool is_standing_still(const task_progress& progress, boot_time last_look, boot_time now);

// Distrust is taken back when it would hold for more executors than this: then they are not what is wrong.
bool is_distrust_plausible(std::size_t distrusted, std::size_t executors);

// Failures on one executor since its last success.
struct failure_streak {
    std::uint32_t failures = 0;
    std::optional<boot_time> distrusted_until;

    // `ran` is how long the task ran before it failed.
    void note_failure(milliseconds ran, milliseconds estimate, boot_time now);
    void note_success();
    void note_bad_progress(boot_time now);
    [[nodiscard]] bool is_distrusted(boot_time now) const
    {
        return this->distrusted_until && now < *this->distrusted_until;
    }
};

} // namespace wigeon
