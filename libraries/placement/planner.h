// Decides which waiting jobs to place, which borrowing jobs to stop so that a guarantee is reclaimed, and how
// guarantees are bound. The result depends only on the replicated state, the given workers and the given time: no I/O
// and no clock.

#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "placement/fleet_view.h"
#include "placement/placement_policy.h"
#include "state/replicated_state.h"

namespace wigeon {

struct plan {
    std::vector<Decision> decisions;
    std::map<std::string, std::string> wait_reasons; // By job id, for the jobs that keep waiting.
};

struct planner_options {
    // When the oldest job that may borrow has waited for this time and does not fit yet, it reserves a group of
    // workers, so that younger jobs do not take their free accelerators: of the groups that could hold the job, the one
    // in which most of its tasks could start now.
    std::uint64_t backfill_grace_ms = 30'000;
    bool has_backfill_reservation = true;
    // Moves an unused cell of a guarantee to free workers instead of stopping the borrowing jobs on it.
    bool has_rebinding = true;
    std::uint32_t quarantine_failures = 3;
    std::uint64_t quarantine_ms = 600'000;
};

class planner {
public:
    planner(std::unique_ptr<placement_policy> policy, planner_options options);

    // `unreachable` workers take no new work. `unbindable` workers, which are leaving or have been unreachable for
    // longer, hold no guarantee either. Quarantined and draining workers of the state count as unbindable too.
    [[nodiscard]] plan make_plan(const replicated_state& state, const worker_set& unreachable,
                                 const worker_set& unbindable, std::uint64_t now_ms) const;

private:
    std::unique_ptr<placement_policy> policy;
    planner_options options;
};

// Returns, by worker, the number of distinct jobs that failed there and either have not ended or ended at `since_ms` or
// later. A job that failed on several workers counts only once it has finished.
std::map<std::string, std::uint32_t> count_worker_failures(const replicated_state& state, std::uint64_t since_ms);

// Returns the decisions that adapt the bindings of the state to the configuration and the usable workers.
std::vector<Decision> plan_bindings(const replicated_state& state, const worker_set& unusable);

} // namespace wigeon
