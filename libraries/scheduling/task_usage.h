// What tasks use of their workers, against the part that was reserved for them. Declared sizes may be far off; a task
// that takes the cores of its neighbours is throttled, and one that takes their memory is stopped and asks for more.
// Pure.

#pragma once

#include <cstdint>
#include <functional>

#include "state/replicated_state.h"
#include "wigeon.pb.h"

namespace wigeon {

// A task's part of its worker, in proportion to the accelerators reserved for it.
struct resource_share {
    std::uint32_t cores = 0;
    std::uint32_t memory_gigabytes = 0;
    std::uint32_t worker_memory_gigabytes = 0; // All of the worker's; 0 when the configuration does not tell.
};

resource_share find_resource_share(const Configuration& configuration, const TaskPlacement& placement);

// The part of the task that a report is about; all zero when the state knows no such task.
resource_share find_resource_share(const replicated_state& state, const TaskReport& report);

// True when the task uses more cores or memory than its part, as far as the part is known.
bool exceeds_core_share(const TaskReport& report, const resource_share& share);
bool exceeds_memory_share(const TaskReport& report, const resource_share& share);

// The running task that must go because the worker's memory is overfull: the one furthest beyond its part. Nothing
// while the memory suffices.
const TaskReport* find_eviction_candidate(const WorkerReports& reports,
                                          const std::function<resource_share(const TaskReport&)>& share_of);

} // namespace wigeon
