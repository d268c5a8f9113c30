// Compares what tasks use of their workers with the share reserved for them. Declared sizes may be far off: a task that
// uses cores of others is throttled, and one that uses their memory is stopped and requeued with a larger request. The
// functions do no I/O and read no clock.

#pragma once

#include <cstdint>
#include <functional>

#include "state/replicated_state.h"
#include "wigeon.pb.h"

namespace wigeon {

// A task's share of its worker, in proportion to the accelerators reserved for it.
struct resource_share {
    std::uint32_t cores = 0;
    std::uint32_t memory_gigabytes = 0;
    std::uint32_t worker_memory_gigabytes = 0; // Total of the worker; 0 if the configuration does not state it.
};

resource_share find_resource_share(const Configuration& configuration, const TaskPlacement& placement);

// Returns the share of the reported task; all zero if the state has no such task.
resource_share find_resource_share(const replicated_state& state, const TaskReport& report);

// True when the task uses more cores or memory than its share; false if the share is unknown.
bool exceeds_core_share(const TaskReport& report, const resource_share& share);
bool exceeds_memory_share(const TaskReport& report, const resource_share& share);

// Returns the running task to evict because the worker's memory is exhausted: the one that exceeds its share by the
// most. Null while the memory suffices, and when no running task exceeds its share.
const TaskReport* find_eviction_candidate(const WorkerReports& reports,
                                          const std::function<resource_share(const TaskReport&)>& share_of);

} // namespace wigeon
