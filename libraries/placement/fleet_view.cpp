// Computes the occupancy of the workers and assigns placed jobs to guarantees.

#include "placement/fleet_view.h"

#include <algorithm>

#include "state/job_rules.h"

namespace wigeon {

fleet_view::fleet_view(const replicated_state& state, const worker_set& unusable)
    : fleet(make_layout(state.configuration())),
      occupancy_of_worker(this->fleet.locations.size()),
      zeros(this->fleet.locations.size(), 0)
{
    for (std::size_t i = 0; i < this->fleet.locations.size(); ++i) {
        const Worker& worker = *this->fleet.locations[i].worker;
        this->index_of.emplace(worker.id(), i);
        this->occupancy_of_worker[i].capacity = worker.accelerators();
        this->occupancy_of_worker[i].is_usable = !unusable.contains(worker.id());
    }
    this->add_bindings(state);
    this->add_jobs(state);
    this->assign_guarantees();
}

void fleet_view::add_bindings(const replicated_state& state)
{
    for (const auto& [account, binding] : state.bindings()) {
        std::vector<std::uint32_t> bound = this->zeros;
        for (const BoundCell& cell : binding.cells()) {
            for (const TaskPlacement& block : cell.blocks()) {
                const auto found = this->index_of.find(block.worker());
                if (found == this->index_of.end())
                    continue;
                bound[found->second] += block.accelerators();
                this->occupancy_of_worker[found->second].bound += block.accelerators();
            }
        }
        this->unused_of_account[account] = bound;
        this->bound_of_account[account] = std::move(bound);
    }
}

void fleet_view::add_jobs(const replicated_state& state)
{
    for (const auto& [id, job] : state.jobs()) {
        if (!is_on_workers(job.state()))
            continue;
        placed_job placed{&job, {}, false};
        for (const TaskPlacement& placement : job.placements()) {
            const auto found = this->index_of.find(placement.worker());
            // A worker that is no longer configured has no capacity to plan with.
            if (found == this->index_of.end())
                continue;
            placed.tasks.push_back({found->second, placement.accelerators()});
            this->occupancy_of_worker[found->second].used += placement.accelerators();
        }
        if (job.state() == JOB_STOPPING) {
            for (const task_assignment& task : placed.tasks)
                this->occupancy_of_worker[task.worker].stopping += task.accelerators;
        }
        this->placed_jobs.push_back(std::move(placed));
    }
}

// Jobs that were placed within the guarantee come first, then borrowing jobs, each in order of placement. After a
// guarantee shrank or moved, jobs that no longer fit in it count as borrowing. A borrowing job that fits in the unused
// part of the guarantee counts as within it.
void fleet_view::assign_guarantees()
{
    std::vector<placed_job*> order;
    for (placed_job& placed : this->placed_jobs)
        order.push_back(&placed);
    std::stable_sort(order.begin(), order.end(), [](const placed_job* a, const placed_job* b) {
        if (a->job->is_borrowing() != b->job->is_borrowing())
            return b->job->is_borrowing();
        return a->job->placed_at_ms() < b->job->placed_at_ms();
    });
    for (placed_job* placed : order) {
        const std::string& account = placed->job->request().account();
        const auto found = this->unused_of_account.find(account);
        bool fits = found != this->unused_of_account.end() && placed->job->state() != JOB_STOPPING;
        if (fits) {
            std::map<std::size_t, std::uint32_t> wanted;
            for (const task_assignment& task : placed->tasks)
                wanted[task.worker] += task.accelerators;
            fits = std::all_of(wanted.begin(), wanted.end(),
                               [&](const auto& entry) { return found->second[entry.first] >= entry.second; });
        }
        placed->is_within_guarantee = fits;
        for (const task_assignment& task : placed->tasks) {
            if (fits) {
                found->second[task.worker] -= task.accelerators;
                this->occupancy_of_worker[task.worker].used_in_guarantee += task.accelerators;
            }
            else {
                this->borrowed_of_account[account] += task.accelerators;
            }
        }
    }
}

const std::vector<std::uint32_t>& fleet_view::unused_guarantee(std::string_view account) const
{
    const auto found = this->unused_of_account.find(account);
    return found == this->unused_of_account.end() ? this->zeros : found->second;
}

const std::vector<std::uint32_t>& fleet_view::bound(std::string_view account) const
{
    const auto found = this->bound_of_account.find(account);
    return found == this->bound_of_account.end() ? this->zeros : found->second;
}

std::uint32_t fleet_view::borrowed_by(std::string_view account) const
{
    const auto found = this->borrowed_of_account.find(account);
    return found == this->borrowed_of_account.end() ? 0 : found->second;
}

void fleet_view::occupy(std::string_view account, const std::vector<task_assignment>& tasks, bool is_within_guarantee)
{
    for (const task_assignment& task : tasks) {
        worker_occupancy& occupancy = this->occupancy_of_worker[task.worker];
        occupancy.used += task.accelerators;
        if (is_within_guarantee) {
            occupancy.used_in_guarantee += task.accelerators;
            this->unused_of_account.find(account)->second[task.worker] -= task.accelerators;
        }
        else {
            this->borrowed_of_account[std::string(account)] += task.accelerators;
        }
    }
}

void fleet_view::reserve_for_job(const std::vector<task_assignment>& tasks)
{
    for (const task_assignment& task : tasks)
        this->occupancy_of_worker[task.worker].reserved_in_round += task.accelerators;
}

void fleet_view::reserve_free(const index_range& group)
{
    for (std::size_t i = group.begin; i < group.end; ++i)
        this->occupancy_of_worker[i].reserved_in_round += this->occupancy_of_worker[i].free();
}

void fleet_view::add_bound_blocks(const std::vector<task_assignment>& blocks)
{
    for (const task_assignment& block : blocks)
        this->occupancy_of_worker[block.worker].bound += block.accelerators;
}

std::size_t fleet_view::find_worker_index(std::string_view id) const
{
    const auto found = this->index_of.find(id);
    return found == this->index_of.end() ? this->occupancy_of_worker.size() : found->second;
}

void fleet_view::mark_stopping(const placed_job& job)
{
    for (const task_assignment& task : job.tasks)
        this->occupancy_of_worker[task.worker].stopping += task.accelerators;
}

std::vector<std::uint32_t> fleet_view::unbound_free(std::string_view account) const
{
    const std::vector<std::uint32_t>& own = this->unused_guarantee(account);
    std::vector<std::uint32_t> available(this->occupancy_of_worker.size());
    for (std::size_t i = 0; i < available.size(); ++i) {
        const worker_occupancy& occupancy = this->occupancy_of_worker[i];
        const std::uint32_t unused_by_others =
            occupancy.bound - std::min(occupancy.bound, occupancy.used_in_guarantee + own[i]);
        available[i] = occupancy.free() - std::min(occupancy.free(), unused_by_others);
    }
    return available;
}

} // namespace wigeon
