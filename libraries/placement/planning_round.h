// One planning round: places guaranteed jobs with reclaim, then borrowing jobs with backfill.

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

// Equal shapes of one account that failed once in a round fail again in the same round.
using shape_key = std::tuple<std::string, bool, std::uint32_t, std::uint32_t, std::uint32_t, std::uint32_t, int>;

// The state of one planning round.
class planning_round {
public:
    planning_round(const replicated_state& state, const worker_set& unusable, const placement_policy& policy,
                   const planner_options& options, std::uint64_t now_ms, plan& result);

    void place_waiting();

private:
    // Urgent jobs first, then the older ones.
    std::vector<waiting_job> list_waiting() const;

    accelerator_counts list_needed_accelerators(const Job& job) const;

    gang_assignment choose(const Job& job, const accelerator_counts& needed, const accelerator_counts& available) const;

    accelerator_counts limit_to_free(const accelerator_counts& counts, bool includes_stopping) const;

    accelerator_counts drop_unusable(accelerator_counts counts) const;

    // Places the job inside its account's guarantee, or begins the reclaim that will let it.
    bool try_guaranteed(const waiting_job& entry);

    // Moves an unused cell of the account to workers that are free and unbound, when the job fits there. The
    // job is placed in the next round, on the state that holds the new binding.
    bool try_rebinding(const Job& job, const accelerator_counts& needed);

    bool is_unused(const std::string& account, const BoundCell& cell) const;

    gang_assignment find_free_cell(const GuaranteedShape& shape) const;

    void rebind(const BindingState& binding, int cell, const std::vector<task_assignment>& blocks);

    // An urgent job may stop its own account's covered jobs that are not urgent.
    bool try_urgent(const waiting_job& entry, const accelerator_counts& needed);

    bool is_urgent(const Job& job) const;

    void wait_for_reclaim(const Job& job, const std::vector<task_assignment>& tasks);

    // Stops borrowers on the chosen workers until the tasks fit, those first that lose the least work.
    void stop_borrowers(const Job& job, const std::vector<task_assignment>& tasks, bool may_stop_own);

    void stop_if_needed(const placed_job& candidate, std::map<std::size_t, std::uint32_t>& missing, const Job& job);

    // Accelerator-milliseconds since the start.
    std::uint64_t count_lost_work(const placed_job& placed) const;

    // The account with the least borrowed capacity for its weight comes next, with its first waiting job.
    void place_borrowing(const std::vector<waiting_job>& waiting);

    // The oldest job that may borrow, once it has waited for the grace.
    const Job* find_oldest(const std::vector<waiting_job>& waiting) const;

    bool try_borrowing(const Job& job);

    // Keeps smaller jobs out of the group that has the most room already and could hold the job when empty.
    void reserve_group_for(const Job& job);

    void place(const Job& job, const std::vector<task_assignment>& tasks, bool is_within_guarantee);

    const replicated_state& state;
    fleet_view view;
    const placement_policy& policy;
    const planner_options& options;
    const std::uint64_t now_ms;
    plan& result;
    std::set<shape_key> failed_shapes;
    std::set<std::string> rebound_accounts; // Accounts whose binding this round changes.
    std::set<std::string> stopped_jobs;     // Jobs that this round stops.
};

} // namespace wigeon
