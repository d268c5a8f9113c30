// Weighs what a stop loses against what it gains, and reserves the room that it frees.

#include "dispatch/preemptor.h"

#include <algorithm>
#include <string>
#include <utility>

namespace wigeon {

namespace {

// A reservation made by stopping others holds this long: the stop (at most 900 ms on the users' sites), the look that
// shows the end, and one round.
constexpr milliseconds reservation_time{1'500};

// A unit that got no room is not planned for again before this time; urgent work has some hundred milliseconds to
// spare.
constexpr milliseconds preemption_retry_pause{40};

// Wide units for which executors are kept free in one round; more would idle too much of the fleet.
constexpr std::size_t reservation_limit = 2;

// A unit of regular or background work gets executors kept free after it has waited this long.
constexpr milliseconds reservation_wait{2'500};

// What a stop costs beside the work since the last checkpoint: the caller's wait, in core-seconds of an 8-accelerator
// task.
constexpr double preemption_base_cost = 5.0;

// Urgent work beyond its account's guarantee throws away at most this share of what it does itself.
constexpr double max_lost_work_ratio = 1.0;

// Work that a checkpointing task loses at a stop, in seconds: its restore.
constexpr double checkpoint_restore_s = 0.2;

double to_seconds(milliseconds time)
{
    constexpr double milliseconds_per_second = 1000.0;
    return static_cast<double>(time.count()) / milliseconds_per_second;
}

} // namespace

preemptor::preemptor(run_tracker& runs, capacity_table& executors, const work_queue& ranks, dispatch_events& decisions)
    : tracker(runs), capacities(executors), pending_work(ranks), events(decisions)
{
}

void preemptor::begin_round()
{
    this->reservations = 0;
    this->planner.reset();
}

void preemptor::add_preemptible(job_run& job, work_unit& unit, work_rank rank, boot_time now)
{
    const records::Step& step = job.step_of(unit);
    running_unit running{&job, &unit, rank, step.checkpointing(), false};
    preemptible_unit candidate;
    candidate.per_task = find_task_resources(step);
    for (const placed_task& task : unit.placed_tasks) {
        const auto row = this->capacities.find_row(task.executor);
        running.is_stopping = running.is_stopping || task.is_stop_requested;
        if (row && task.phase != task_phase::resolved)
            candidate.executor_rows.push_back(*row);
    }
    const double elapsed = to_seconds(now - unit.placed_at);
    const double lost = step.checkpointing() ? std::min(elapsed, checkpoint_restore_s) : elapsed;
    const double cores = to_core_equivalents(candidate.per_task) * static_cast<double>(unit.placed_tasks.size());
    candidate.cost = running.is_stopping ? 0 : preemption_base_cost + lost * cores;
    this->preemptible.push_back(std::move(candidate));
    this->running_units.push_back(running);
}

// All running units that less urgent work may ever be stopped for, with what a stop would lose.
void preemptor::list_preemptible(boot_time now)
{
    this->preemptible.clear();
    this->running_units.clear();
    for (auto& [id, job] : this->tracker.jobs()) {
        const work_rank rank = this->pending_work.find_rank(job);
        if (rank == work_rank::guaranteed_urgent || job.unresolved_tasks == 0)
            continue;
        for (work_unit& unit : job.units) {
            if (!unit.placed_tasks.empty() && !unit.is_done && !job.step_of(unit).lasting())
                this->add_preemptible(job, unit, rank, now);
        }
    }
    this->planner.emplace(this->capacities.all(), this->preemptible);
}

// Work without checkpoints is stopped only for a guarantee, or for urgent work that it brings in time.
void preemptor::allow_preemption_for(const waiting_step& waiting)
{
    const bool may_lose_work = waiting.rank == work_rank::guaranteed_urgent ||
                               (waiting.rank == work_rank::urgent && waiting.can_meet_deadline);
    for (std::size_t row = 0; row < this->preemptible.size(); ++row) {
        const running_unit& running = this->running_units[row];
        this->preemptible[row].is_allowed = running.rank > waiting.rank && (may_lose_work || running.is_checkpointing);
    }
}

void preemptor::stop_victims(const waiting_step& waiting, const preemption_plan& plan, boot_time now)
{
    std::size_t stopped = 0;
    for (const std::size_t victim : plan.victims) {
        running_unit& running = this->running_units[victim];
        if (running.is_stopping)
            continue;
        ++stopped;
        this->events.add("stopped_for", running.job->id,
                         "for=" + waiting.job->id + " rank=" + std::string(to_string(waiting.rank)) +
                             " run=" + std::to_string(running.unit->run) +
                             " lost=" + std::to_string(this->preemptible[victim].cost));
        this->tracker.stop_unit(*running.job, *running.unit, now);
    }
    // The list holds pointers to what has just changed.
    if (stopped > 0)
        this->planner.reset();
}

void preemptor::reserve_or_preempt(const waiting_step& waiting, std::uint32_t unit_row, const placement_need& need,
                                   present_counts present, boot_time now)
{
    job_run& job = *waiting.job;
    work_unit& unit = job.units[unit_row];
    if (!unit.reserved_on.empty() && now - unit.reserved_at < reservation_time) {
        this->capacities.reserve(unit.reserved_on, need.per_task);
        return;
    }
    unit.reserved_on.clear();
    const bool is_urgent = waiting.rank <= work_rank::urgent;
    if (!is_urgent && (this->reservations >= reservation_limit || now - job.arrived_at < reservation_wait))
        return;
    if (unit.preemption_tried_at && now - *unit.preemption_tried_at < preemption_retry_pause)
        return;
    // Said once while the unit waits, not each time that it is tried.
    const bool is_first_attempt = !std::exchange(unit.preemption_tried_at, now).has_value();
    if (!this->planner)
        this->list_preemptible(now);
    this->allow_preemption_for(waiting);
    const auto plan = this->planner->plan(need, present);
    if (!plan) {
        if (is_urgent && is_first_attempt)
            this->events.add("no_room", job.id, "rank=" + std::string(to_string(waiting.rank)));
        return;
    }
    const double own_work = to_core_equivalents(need.per_task) * static_cast<double>(need.count) *
                            to_seconds(milliseconds(job.step_of(unit).estimate_ms()));
    if (waiting.rank == work_rank::urgent && plan->cost > own_work * max_lost_work_ratio) {
        if (is_first_attempt)
            this->events.add("stops_not_worth_it", job.id,
                             "lost=" + std::to_string(plan->cost) + " own=" + std::to_string(own_work));
        return;
    }
    this->stop_victims(waiting, *plan, now);
    for (const std::size_t row : plan->places)
        unit.reserved_on.emplace_back(this->capacities.all()[row].executor);
    unit.reserved_at = now;
    this->capacities.reserve(unit.reserved_on, need.per_task);
    if (!is_urgent)
        ++this->reservations;
}

} // namespace wigeon
