// Decides which waiting jobs to place, which borrowers to stop for a reclaim, and how guarantees are bound.
// A pure function of the replicated state, the unusable workers and the time.

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
    std::map<std::string, std::string> wait_reasons; // By job id, for the jobs that go on waiting.
};

struct planner_options {
    // The oldest borrowing job, once it waited for longer, keeps the emptiest group of workers that could hold it
    // from younger ones.
    std::uint64_t backfill_grace_ms = 30'000;
    bool has_backfill_reservation = true;
    // Moves an unused cell of a guarantee to free workers instead of stopping the borrowers on it.
    bool has_rebinding = true;
    std::uint32_t quarantine_failures = 3;
    std::uint64_t quarantine_ms = 600'000;
};

class planner {
public:
    planner(std::unique_ptr<placement_policy> policy, planner_options options);

    // `unreachable` workers take no new work; `gone` ones, which were away for longer, hold no guarantee either.
    // Quarantined workers are added to both from the state.
    [[nodiscard]] plan make_plan(const replicated_state& state, const worker_set& unreachable,
                                 const worker_set& unbindable, std::uint64_t now_ms) const;

private:
    std::unique_ptr<placement_policy> policy;
    planner_options options;
};

// Workers on which several distinct jobs failed that failed nowhere else.
std::map<std::string, std::uint32_t> count_worker_failures(const replicated_state& state, std::uint64_t since_ms);

// The binding decisions that bring the state's bindings in line with the configuration and the living workers.
std::vector<Decision> plan_bindings(const replicated_state& state, const worker_set& unusable);

} // namespace wigeon
