// Decides the next state transition of a gang from its job and the workers' reports. No I/O; the current time is an
// argument.

#pragma once

#include <optional>
#include <string_view>

#include "base/time.h"
#include "scheduling/gang_view.h"
#include "wigeon.pb.h"

namespace wigeon {

// True while the task occupies its accelerators: it is held or running.
bool is_live(TaskState state);

// True when the task has certainly stopped: its worker reported so, or its lease has expired.
bool is_stopped(const task_view& task, steady_time now);

// Prefix of the reason of a job that was stopped because a task exceeded its memory. The log stores it, and later
// decisions match on it.
inline constexpr std::string_view memory_eviction_reason = "outgrew its memory";

// Replaces the requeue of a job that exceeded its memory by a failure when the fleet can no longer start all its tasks.
// Returns any other decision unchanged.
Decision end_if_oversized(Decision decision, const Job& job, const Configuration& configuration);

// Returns the transition that is due, or nothing. `gang` is the view of the job's current attempt.
std::optional<Decision> decide_gang(const Job& job, const gang_view& gang, const gang_options& options,
                                    steady_time now);

} // namespace wigeon
