// One planning round: places jobs within the guarantees of their accounts, with reclaim, then borrowing jobs with
// backfill.

#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <vector>

#include "placement/fleet_view.h"
#include "placement/placement_policy.h"
#include "placement/planner.h"

namespace wigeon {

using gang_assignment = std::optional<std::vector<task_assignment>>;
using accelerator_counts = std::vector<std::uint32_t>;

struct waiting_job {
    const Job* job = nullptr;
    const JobClass* job_class = nullptr;
};

// Jobs with an equal key belong to one account and have equal requirements: when one cannot be placed, the others
// cannot be placed in the same planning round either, and are not tried.
using shape_key = std::tuple<std::string, bool, std::uint32_t, std::uint32_t, std::uint32_t, std::uint32_t, int>;

// Plans once on a state. Writes decisions and reasons for waiting to `result`.
class planning_round {
public:
    planning_round(const replicated_state& state, const worker_set& unusable, const placement_policy& policy,
                   const planner_options& options, std::uint64_t now_ms, plan& result);

    void place_waiting();

private:
    // Urgent jobs first, then the others, each in order of acceptance.
    std::vector<waiting_job> list_waiting() const;

    accelerator_counts list_needed_accelerators(const Job& job) const;

    gang_assignment choose(const Job& job, const accelerator_counts& needed, const accelerator_counts& available) const;

    accelerator_counts limit_to_free(const accelerator_counts& counts, bool includes_stopping) const;

    accelerator_counts drop_unusable(accelerator_counts counts) const;

    // Places the job within the guarantee of its account, or starts to reclaim accelerators for it. Returns false
    // when neither is possible.
    bool try_guaranteed(const waiting_job& entry);

    // Moves an unused cell of the account to free and unbound accelerators, when the job fits there. The job is placed
    // in the next planning round, on the state that holds the new binding.
    bool try_rebinding(const Job& job, const accelerator_counts& needed);

    bool is_unused(const std::string& account, const BoundCell& cell) const;

    gang_assignment find_free_cell(const GuaranteedShape& shape) const;

    void rebind(const BindingState& binding, int cell, const std::vector<task_assignment>& blocks);

    // Reclaims accelerators for an urgent job from jobs within the guarantee of its own account that are not urgent.
    bool try_urgent(const waiting_job& entry, const accelerator_counts& needed);

    bool is_urgent(const Job& job) const;

    void wait_for_reclaim(const Job& job, const std::vector<task_assignment>& tasks);

    // Stops borrowing jobs on the chosen workers until the tasks fit, those first that lose the least work. With
    // `may_stop_own`, also stops jobs within the guarantee of the same account that are not urgent.
    void stop_borrowers(const Job& job, const std::vector<task_assignment>& tasks, bool may_stop_own);

    void stop_if_needed(const placed_job& candidate, std::map<std::size_t, std::uint32_t>& missing, const Job& job);

    // Accelerator-milliseconds since the placement of the job.
    std::uint64_t count_lost_work(const placed_job& placed) const;

    // Takes the accounts in turn: the next job is the first waiting job of the account with the lowest ratio of
    // borrowed accelerators to weight. The job that find_oldest() returns is tried first, and reserves a group of
    // workers when it does not fit.
    void place_borrowing(const std::vector<waiting_job>& waiting);

    // Returns the oldest job that may borrow and has waited for backfill_grace_ms, or nullptr.
    const Job* find_oldest(const std::vector<waiting_job>& waiting) const;

    bool try_borrowing(const Job& job);

    // Reserves the free accelerators of one group of workers, so that smaller jobs do not take them: of the groups that
    // could hold the job without borrowing jobs, the one in which most of its tasks could start now.
    void reserve_group_for(const Job& job);

    void place(const Job& job, const std::vector<task_assignment>& tasks, bool is_within_guarantee);

    const replicated_state& state;
    fleet_view view;
    const placement_policy& policy;
    const planner_options& options;
    const std::uint64_t now_ms;
    plan& result;
    std::set<shape_key> failed_shapes;
    std::set<std::string> rebound_accounts; // Accounts whose binding this planning round changes.
    std::set<std::string> stopped_jobs;     // Jobs that this planning round stops.
};

} // namespace wigeon
