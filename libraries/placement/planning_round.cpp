// Places jobs within guarantees first, then borrowing jobs, with the accounts in turn.

#include "placement/planning_round.h"

#include <algorithm>

#include "state/configuration.h"
#include "state/job_rules.h"

namespace wigeon {

namespace {

shape_key make_shape_key(const JobRequest& request, bool is_urgent)
{
    return {request.account(),        is_urgent,
            request.tasks(),          request.accelerators_per_task(),
            request.cores_per_task(), request.memory_gigabytes_per_task(),
            request.adjacency()};
}

} // namespace

planning_round::planning_round(const replicated_state& state, const worker_set& unusable,
                               const placement_policy& policy, const planner_options& options, std::uint64_t now_ms,
                               plan& result)
    : state(state), view(state, unusable), policy(policy), options(options), now_ms(now_ms), result(result)
{
}

void planning_round::place_waiting()
{
    std::vector<waiting_job> waiting = this->list_waiting();
    std::vector<waiting_job> beyond_guarantee;
    for (const waiting_job& entry : waiting) {
        const bool is_urgent = entry.job_class->urgent();
        if (!this->failed_shapes.contains(make_shape_key(entry.job->request(), is_urgent))) {
            if (this->try_guaranteed(entry))
                continue;
            if (entry.job->failed_workers_size() == 0)
                this->failed_shapes.insert(make_shape_key(entry.job->request(), is_urgent));
        }
        beyond_guarantee.push_back(entry);
    }
    this->failed_shapes.clear();
    this->place_borrowing(beyond_guarantee);
}

// Urgent jobs first, then the others, each in order of acceptance.
std::vector<waiting_job> planning_round::list_waiting() const
{
    std::vector<waiting_job> waiting;
    for (const auto& [id, job] : this->state.jobs()) {
        if (job.state() != JOB_ACCEPTED)
            continue;
        const JobClass* job_class = find_class(this->state.configuration(), job.request().job_class());
        const bool is_configured =
            job_class != nullptr && find_account(this->state.configuration(), job.request().account()) != nullptr;
        if (is_configured)
            waiting.push_back({&job, job_class});
        else
            this->result.wait_reasons[id] = "its account or class is no longer configured";
    }
    std::stable_sort(waiting.begin(), waiting.end(), [](const waiting_job& a, const waiting_job& b) {
        if (a.job_class->urgent() != b.job_class->urgent())
            return a.job_class->urgent();
        return a.job->acceptance() < b.job->acceptance();
    });
    return waiting;
}

accelerator_counts planning_round::list_needed_accelerators(const Job& job) const
{
    const std::vector<worker_location>& locations = this->view.layout().locations;
    accelerator_counts needed(locations.size());
    for (std::size_t i = 0; i < locations.size(); ++i)
        needed[i] = count_needed_accelerators(job.request(), *locations[i].worker);
    if (job.failed_workers_size() == 0)
        return needed;
    // A job is not placed on a worker on which it failed before, unless it fits nowhere else.
    accelerator_counts elsewhere = needed;
    accelerator_counts capacity(locations.size());
    for (std::size_t i = 0; i < locations.size(); ++i) {
        const auto& failed = job.failed_workers();
        capacity[i] = this->view.occupancies()[i].capacity;
        if (std::find(failed.begin(), failed.end(), locations[i].worker->id()) != failed.end())
            elsewhere[i] = 0;
    }
    return this->choose(job, elsewhere, capacity) ? elsewhere : needed;
}

gang_assignment planning_round::choose(const Job& job, const accelerator_counts& needed,
                                       const accelerator_counts& available) const
{
    const gang_shape gang{job.request().tasks(), job.request().adjacency(), needed};
    return this->policy.choose(this->view.layout(), available, gang);
}

accelerator_counts planning_round::limit_to_free(const accelerator_counts& counts, bool includes_stopping) const
{
    accelerator_counts limited(counts.size());
    for (std::size_t i = 0; i < counts.size(); ++i) {
        const worker_occupancy& occupancy = this->view.occupancies()[i];
        std::uint32_t free = occupancy.free();
        if (includes_stopping && occupancy.is_usable)
            free = occupancy.capacity -
                   std::min(occupancy.capacity, occupancy.used - occupancy.stopping + occupancy.reserved_in_round);
        limited[i] = std::min(counts[i], free);
    }
    return limited;
}

accelerator_counts planning_round::drop_unusable(accelerator_counts counts) const
{
    for (std::size_t i = 0; i < counts.size(); ++i) {
        if (!this->view.occupancies()[i].is_usable)
            counts[i] = 0;
    }
    return counts;
}

// Places the job within the guarantee of its account, or starts to reclaim accelerators for it. Returns false when
// neither is possible.
bool planning_round::try_guaranteed(const waiting_job& entry)
{
    const std::string& account = entry.job->request().account();
    const accelerator_counts& unused = this->view.unused_guarantee(account);
    if (!entry.job_class->urgent() && std::all_of(unused.begin(), unused.end(), [](auto n) { return n == 0; }))
        return false;
    const accelerator_counts needed = this->list_needed_accelerators(*entry.job);
    if (const gang_assignment immediate = this->choose(*entry.job, needed, this->limit_to_free(unused, false))) {
        this->place(*entry.job, *immediate, true);
        return true;
    }
    if (const gang_assignment after_stopping = this->choose(*entry.job, needed, this->limit_to_free(unused, true))) {
        this->wait_for_reclaim(*entry.job, *after_stopping);
        return true;
    }
    if (this->options.has_rebinding && this->try_rebinding(*entry.job, needed))
        return true;
    if (const gang_assignment after_reclaim = this->choose(*entry.job, needed, this->drop_unusable(unused))) {
        this->stop_borrowers(*entry.job, *after_reclaim, false);
        this->wait_for_reclaim(*entry.job, *after_reclaim);
        return true;
    }
    return entry.job_class->urgent() && this->try_urgent(entry, needed);
}

// Moves an unused cell of the account to free and unbound accelerators, when the job fits there. The job is placed in
// the next planning round, on the state that holds the new binding.
bool planning_round::try_rebinding(const Job& job, const accelerator_counts& needed)
{
    const std::string& account = job.request().account();
    const auto binding = this->state.bindings().find(account);
    const Account* configured = find_account(this->state.configuration(), account);
    if (binding == this->state.bindings().end() || this->rebound_accounts.contains(account))
        return false;
    for (int i = 0; i < binding->second.cells_size(); ++i) {
        const BoundCell& cell = binding->second.cells(i);
        if (!this->is_unused(account, cell))
            continue;
        const GuaranteedShape& shape = configured->guarantees(static_cast<int>(cell.shape()));
        const gang_assignment free_cell = this->find_free_cell(shape);
        if (!free_cell)
            continue;
        accelerator_counts available(needed.size());
        for (const task_assignment& block : *free_cell)
            available[block.worker] = block.accelerators;
        if (!this->choose(job, needed, available))
            continue;
        this->rebind(binding->second, i, *free_cell);
        this->wait_for_reclaim(job, *free_cell);
        return true;
    }
    return false;
}

bool planning_round::is_unused(const std::string& account, const BoundCell& cell) const
{
    const accelerator_counts& unused = this->view.unused_guarantee(account);
    return std::all_of(cell.blocks().begin(), cell.blocks().end(), [&](const TaskPlacement& block) {
        const std::size_t worker = this->view.find_worker_index(block.worker());
        return worker < unused.size() && unused[worker] >= block.accelerators();
    });
}

gang_assignment planning_round::find_free_cell(const GuaranteedShape& shape) const
{
    accelerator_counts available(this->view.occupancies().size());
    for (std::size_t i = 0; i < available.size(); ++i) {
        const worker_occupancy& occupancy = this->view.occupancies()[i];
        available[i] = std::min(occupancy.free(), occupancy.capacity - std::min(occupancy.capacity, occupancy.bound));
    }
    const fleet_layout& layout = this->view.layout();
    // A cell has at most one block on a worker, so accelerators beyond one block do not count.
    for (std::uint32_t& amount : available)
        amount = amount >= shape.accelerators() ? shape.accelerators() : 0;
    const accelerator_counts needed(available.size(), shape.accelerators());
    const gang_shape gang{shape.workers(), shape.adjacency(), needed};
    return this->policy.choose(layout, available, gang);
}

void planning_round::rebind(const BindingState& binding, int cell, const std::vector<task_assignment>& blocks)
{
    this->rebound_accounts.insert(binding.account());
    this->view.add_bound_blocks(blocks);
    BindGuarantee& bind = *this->result.decisions.emplace_back().mutable_bind();
    bind.set_account(binding.account());
    *bind.mutable_cells() = binding.cells();
    bind.set_unmet_cells(binding.unmet_cells());
    BoundCell& changed = *bind.mutable_cells(cell);
    changed.clear_blocks();
    for (const task_assignment& block : blocks) {
        TaskPlacement* placement = changed.add_blocks();
        placement->set_worker(this->view.layout().locations[block.worker].worker->id());
        placement->set_accelerators(block.accelerators);
    }
}

// Reclaims accelerators for an urgent job from jobs within the guarantee of its own account that are not urgent.
bool planning_round::try_urgent(const waiting_job& entry, const accelerator_counts& needed)
{
    const std::string& account = entry.job->request().account();
    accelerator_counts reclaimable = this->view.bound(account);
    for (const placed_job& placed : this->view.placed()) {
        if (placed.is_within_guarantee && placed.job->request().account() == account && this->is_urgent(*placed.job)) {
            for (const task_assignment& task : placed.tasks)
                reclaimable[task.worker] -= std::min(reclaimable[task.worker], task.accelerators);
        }
    }
    for (std::size_t i = 0; i < reclaimable.size(); ++i)
        reclaimable[i] -= std::min(reclaimable[i], this->view.occupancies()[i].reserved_in_round);
    const gang_assignment chosen = this->choose(*entry.job, needed, this->drop_unusable(std::move(reclaimable)));
    if (!chosen)
        return false;
    this->stop_borrowers(*entry.job, *chosen, true);
    this->wait_for_reclaim(*entry.job, *chosen);
    return true;
}

bool planning_round::is_urgent(const Job& job) const
{
    const JobClass* job_class = find_class(this->state.configuration(), job.request().job_class());
    return job_class != nullptr && job_class->urgent();
}

void planning_round::wait_for_reclaim(const Job& job, const std::vector<task_assignment>& tasks)
{
    this->view.reserve_for_job(tasks);
    this->result.wait_reasons[job.id()] = "waits until borrowers have stopped on " +
                                          this->view.layout().locations[tasks.front().worker].worker->id() + " and " +
                                          std::to_string(tasks.size() - 1) + " further places";
}

// Stops borrowing jobs on the chosen workers until the tasks fit, those first that lose the least work. With
// `may_stop_own`, also stops jobs within the guarantee of the same account that are not urgent.
void planning_round::stop_borrowers(const Job& job, const std::vector<task_assignment>& tasks, bool may_stop_own)
{
    std::map<std::size_t, std::uint32_t> missing;
    for (const task_assignment& task : tasks)
        missing[task.worker] += task.accelerators;
    for (auto& [worker, amount] : missing) {
        const worker_occupancy& occupancy = this->view.occupancies()[worker];
        const std::uint32_t available =
            occupancy.capacity -
            std::min(occupancy.capacity, occupancy.used - occupancy.stopping + occupancy.reserved_in_round);
        amount -= std::min(amount, available);
    }
    std::vector<const placed_job*> candidates;
    for (const placed_job& placed : this->view.placed()) {
        const bool is_own_non_urgent = may_stop_own && placed.is_within_guarantee && !this->is_urgent(*placed.job) &&
                                       placed.job->request().account() == job.request().account();
        const bool may_stop = !placed.is_within_guarantee || is_own_non_urgent;
        if (may_stop && placed.job->state() != JOB_STOPPING && !this->stopped_jobs.contains(placed.job->id()))
            candidates.push_back(&placed);
    }
    std::stable_sort(candidates.begin(), candidates.end(), [this](const placed_job* a, const placed_job* b) {
        return this->count_lost_work(*a) < this->count_lost_work(*b);
    });
    for (const placed_job* candidate : candidates)
        this->stop_if_needed(*candidate, missing, job);
}

void planning_round::stop_if_needed(const placed_job& candidate, std::map<std::size_t, std::uint32_t>& missing,
                                    const Job& job)
{
    const bool frees_missing =
        std::any_of(candidate.tasks.begin(), candidate.tasks.end(), [&](const task_assignment& task) {
            const auto found = missing.find(task.worker);
            return found != missing.end() && found->second > 0;
        });
    if (!frees_missing)
        return;
    for (const task_assignment& task : candidate.tasks) {
        const auto found = missing.find(task.worker);
        if (found != missing.end())
            found->second -= std::min(found->second, task.accelerators);
    }
    this->stopped_jobs.insert(candidate.job->id());
    this->view.mark_stopping(candidate);
    Decision& decision = this->result.decisions.emplace_back();
    decision.mutable_stop()->set_job(candidate.job->id());
    decision.mutable_stop()->set_attempt(candidate.job->attempt());
    decision.mutable_stop()->set_reason("reclaimed for " + job.id());
}

// Accelerator-milliseconds since the placement of the job.
std::uint64_t planning_round::count_lost_work(const placed_job& placed) const
{
    const std::uint64_t begin = placed.job->placed_at_ms();
    std::uint64_t accelerators = 0;
    for (const task_assignment& task : placed.tasks)
        accelerators += task.accelerators;
    return this->now_ms > begin ? (this->now_ms - begin) * accelerators : 0;
}

// Takes the accounts in turn: the next job is the first waiting job of the account with the lowest ratio of borrowed
// accelerators to weight. The job that find_oldest() returns is tried first, and reserves a group of workers when it
// does not fit.
void planning_round::place_borrowing(const std::vector<waiting_job>& waiting)
{
    std::map<std::string, std::vector<waiting_job>> by_account;
    for (const waiting_job& entry : waiting) {
        if (entry.job_class->may_borrow())
            by_account[entry.job->request().account()].push_back(entry);
        else
            this->result.wait_reasons[entry.job->id()] =
                "does not fit the unused guarantee of its account, and its class may not borrow";
    }
    const Job* oldest = this->options.has_backfill_reservation ? this->find_oldest(waiting) : nullptr;
    if (oldest != nullptr && !this->try_borrowing(*oldest))
        this->reserve_group_for(*oldest);
    std::map<std::string, std::size_t> next;
    while (true) {
        const std::string* account = nullptr;
        double least_ratio = 0;
        for (const auto& [name, entries] : by_account) {
            if (next[name] == entries.size())
                continue;
            const std::uint32_t weight = find_account(this->state.configuration(), name)->weight();
            const double ratio = static_cast<double>(this->view.borrowed_by(name)) / weight;
            if (account == nullptr || ratio < least_ratio) {
                account = &name;
                least_ratio = ratio;
            }
        }
        if (account == nullptr)
            return;
        const waiting_job& entry = by_account[*account][next[*account]++];
        if (entry.job != oldest)
            this->try_borrowing(*entry.job);
    }
}

// Returns the oldest job that may borrow and has waited for backfill_grace_ms, or nullptr.
const Job* planning_round::find_oldest(const std::vector<waiting_job>& waiting) const
{
    const Job* oldest = nullptr;
    for (const waiting_job& entry : waiting) {
        const bool is_due = this->now_ms >= entry.job->accepted_at_ms() + this->options.backfill_grace_ms;
        const bool is_older = oldest == nullptr || entry.job->acceptance() < oldest->acceptance();
        if (entry.job_class->may_borrow() && is_due && is_older)
            oldest = entry.job;
    }
    return oldest;
}

bool planning_round::try_borrowing(const Job& job)
{
    const shape_key key = make_shape_key(job.request(), false);
    if (!this->failed_shapes.contains(key)) {
        const accelerator_counts needed = this->list_needed_accelerators(job);
        gang_assignment chosen = this->choose(job, needed, this->view.unbound_free(job.request().account()));
        if (!chosen) {
            accelerator_counts free(this->view.occupancies().size());
            for (std::size_t i = 0; i < free.size(); ++i)
                free[i] = this->view.occupancies()[i].free();
            chosen = this->choose(job, needed, free);
        }
        if (chosen) {
            this->place(job, *chosen, false);
            return true;
        }
        if (job.failed_workers_size() == 0)
            this->failed_shapes.insert(key);
    }
    this->result.wait_reasons[job.id()] =
        "is beyond the unused guarantee of its account, and no group of workers has room for " +
        std::to_string(job.request().tasks()) + " tasks of " + std::to_string(job.request().accelerators_per_task()) +
        " accelerators";
    return false;
}

// Reserves the free accelerators of one group of workers, so that smaller jobs do not take them: of the groups that
// could hold the job without borrowing jobs, the one in which most of its tasks could start now.
void planning_round::reserve_group_for(const Job& job)
{
    const fleet_layout& layout = this->view.layout();
    const accelerator_counts needed = this->list_needed_accelerators(job);
    const index_range whole{0, layout.locations.size()};
    std::vector<index_range> groups = layout.racks;
    if (job.request().adjacency() != ADJACENCY_RACK)
        groups.insert(groups.end(), layout.zones.begin(), layout.zones.end());
    if (job.request().adjacency() == ADJACENCY_ANY)
        groups.push_back(whole);
    const index_range* best = nullptr;
    double best_share = -1;
    for (const index_range& group : groups) {
        std::uint32_t tasks = 0;
        std::uint32_t startable = 0;
        for (std::size_t i = group.begin; i < group.end; ++i) {
            const worker_occupancy& occupancy = this->view.occupancies()[i];
            if (needed[i] == 0 || !occupancy.is_usable)
                continue;
            tasks += (occupancy.capacity - std::min(occupancy.capacity, occupancy.used_in_guarantee)) / needed[i];
            startable += occupancy.free() / needed[i];
        }
        const double share = static_cast<double>(startable) / job.request().tasks();
        if (tasks >= job.request().tasks() && share > best_share) {
            best = &group;
            best_share = share;
        }
    }
    // Shapes that failed before this reservation fail after it as well, so `failed_shapes` stays valid.
    if (best != nullptr)
        this->view.reserve_free(*best);
}

void planning_round::place(const Job& job, const std::vector<task_assignment>& tasks, bool is_within_guarantee)
{
    this->view.occupy(job.request().account(), tasks, is_within_guarantee);
    Decision& decision = this->result.decisions.emplace_back();
    PlaceJob& place = *decision.mutable_place();
    place.set_job(job.id());
    place.set_attempt(job.attempt() + 1);
    place.set_is_borrowing(!is_within_guarantee);
    for (const task_assignment& task : tasks) {
        TaskPlacement* placement = place.add_placements();
        placement->set_worker(this->view.layout().locations[task.worker].worker->id());
        placement->set_accelerators(task.accelerators);
    }
}

} // namespace wigeon
