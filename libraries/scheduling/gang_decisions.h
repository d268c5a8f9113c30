// What follows from the workers' reports for the life of a gang: the next transition that the log should hold. Pure.

#pragma once

#include <optional>
#include <string_view>

#include "base/time.h"
#include "scheduling/gang_view.h"
#include "wigeon.pb.h"

namespace wigeon {

// True while the task holds its accelerators.
bool is_live(TaskState state);

// True when the task has stopped for certain: by its worker's word, or because its lease has passed.
bool is_stopped(const task_view& task, steady_time now);

// How the reasons of jobs begin whose tasks used more memory than they had.
inline constexpr std::string_view memory_eviction_reason = "outgrew its memory";

// A job that outgrew its memory and that no worker can hold now ends instead of waiting again.
Decision end_if_oversized(Decision decision, const Job& job, const Configuration& configuration);

// The transition of the job that is due, or nothing. The view is that of the job's present attempt.
std::optional<Decision> decide_gang(const Job& job, const gang_view& gang, const gang_options& options,
                                    steady_time now);

} // namespace wigeon
