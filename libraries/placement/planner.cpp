// Quarantines failing workers and updates bindings, then runs a planning round.

#include "placement/planner.h"

#include <algorithm>
#include <set>

#include "placement/planning_round.h"
#include "state/job_rules.h"

namespace wigeon {

planner::planner(std::unique_ptr<placement_policy> policy, planner_options options)
    : policy(std::move(policy)), options(options)
{
}

plan planner::make_plan(const replicated_state& state, const worker_set& unreachable, const worker_set& unbindable,
                        std::uint64_t now_ms) const
{
    plan result;
    worker_set unusable = unbindable;
    for (const auto& [worker, quarantine] : state.quarantines()) {
        if (quarantine.until_ms() > now_ms)
            unusable.insert(worker);
    }
    for (const Worker& worker : state.configuration().workers()) {
        if (worker.is_draining())
            unusable.insert(worker.id());
    }
    const std::uint64_t since = now_ms - std::min(now_ms, this->options.quarantine_ms);
    for (const auto& [worker, failures] : count_worker_failures(state, since)) {
        if (failures < this->options.quarantine_failures || unusable.contains(worker))
            continue;
        QuarantineWorker& quarantine = *result.decisions.emplace_back().mutable_quarantine();
        quarantine.set_worker(worker);
        quarantine.set_until_ms(now_ms + this->options.quarantine_ms);
        quarantine.set_reason(std::to_string(failures) + " distinct jobs failed on it");
        unusable.insert(worker);
    }
    std::vector<Decision> bindings = plan_bindings(state, unusable);
    if (!bindings.empty()) {
        // Jobs are placed in the next planning round, on the state that holds the new bindings.
        std::move(bindings.begin(), bindings.end(), std::back_inserter(result.decisions));
        return result;
    }
    unusable.insert(unreachable.begin(), unreachable.end());
    planning_round(state, unusable, *this->policy, this->options, now_ms, result).place_waiting();
    return result;
}

std::map<std::string, std::uint32_t> count_worker_failures(const replicated_state& state, std::uint64_t since_ms)
{
    std::map<std::string, std::uint32_t> failures;
    for (const auto& [id, job] : state.jobs()) {
        const bool is_recent = !is_ended(job.state()) || job.ended_at_ms() >= since_ms;
        if (job.failed_workers_size() == 0 || !is_recent)
            continue;
        const std::set<std::string> workers(job.failed_workers().begin(), job.failed_workers().end());
        // A job that failed on several workers and has not finished probably causes the failures itself.
        if (workers.size() > 1 && job.state() != JOB_FINISHED)
            continue;
        for (const std::string& worker : workers)
            ++failures[worker];
    }
    return failures;
}

std::vector<Decision> plan_bindings(const replicated_state& state, const worker_set& unusable)
{
    std::vector<Decision> decisions;
    const binding_table wanted =
        bind_guarantees(state.configuration(), state.bindings(),
                        [&unusable](const Worker& worker) { return !unusable.contains(worker.id()); });
    const auto add = [&decisions](const std::string& account, const BindingState& binding) {
        BindGuarantee& bind = *decisions.emplace_back().mutable_bind();
        bind.set_account(account);
        *bind.mutable_cells() = binding.cells();
        bind.set_unmet_cells(binding.unmet_cells());
    };
    for (const auto& [account, binding] : wanted) {
        const auto found = state.bindings().find(account);
        if (found == state.bindings().end() ? binding.cells_size() > 0 || binding.unmet_cells() > 0
                                            : !is_same_binding(found->second, binding))
            add(account, binding);
    }
    for (const auto& [account, binding] : state.bindings()) {
        if (!wanted.contains(account) && binding.cells_size() > 0)
            add(account, {});
    }
    return decisions;
}

} // namespace wigeon
