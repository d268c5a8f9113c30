// Compares the work that a stop loses with the work that it makes possible, and reserves the freed executors.

#include "dispatch/preemptor.h"

#include <algorithm>
#include <string>
#include <utility>

namespace wigeon {

namespace {

// How long a reservation lasts: the stop (at most 900 ms at the users' sites), the poll that reports the end, and one
// round.
constexpr milliseconds reservation_time{1'500};

// Time between two plans for the same unit; urgent work has a few hundred milliseconds to spare.
constexpr milliseconds preemption_retry_pause{40};

// Number of wide units for which executors are reserved in one round; more would leave too much of the fleet idle.
constexpr std::size_t reservation_limit = 2;

// A unit of regular or background work gets a reservation after its job has waited this long.
constexpr milliseconds reservation_wait{2'500};

// Cost of a stop in addition to the lost work, in core-seconds: the wait of the stopped job's caller, for an
// 8-accelerator task.
constexpr double preemption_base_cost = 5.0;

// Urgent work beyond its account's guarantee may cost others at most this ratio of its own work.
constexpr double max_lost_work_ratio = 1.0;

// Time that a checkpointing task loses by a stop, in seconds: that of restoring the checkpoint.
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

// Lists the running units that may be stopped for more urgent work, with the work that a stop would lose.
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

// Work without checkpoints is stopped only for guaranteed work, or for urgent work that can still meet its deadline.
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
        this->events.add("preempted", running.job->id,
                         "for=" + waiting.job->id + " rank=" + std::string(to_string(waiting.rank)) +
                             " run=" + std::to_string(running.unit->run) +
                             " lost=" + std::to_string(this->preemptible[victim].cost));
        this->tracker.stop_unit(*running.job, *running.unit, now);
    }
    // The list holds pointers to units that have just changed, so it is built anew when next needed.
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
    // Failed attempts are logged once while the unit waits, not each time.
    const bool is_first_attempt = !std::exchange(unit.preemption_tried_at, now).has_value();
    if (!this->planner)
        this->list_preemptible(now);
    this->allow_preemption_for(waiting);
    const auto plan = this->planner->plan(need, present);
    if (!plan) {
        if (is_urgent && is_first_attempt)
            this->events.add("preemption_impossible", job.id, "rank=" + std::string(to_string(waiting.rank)));
        return;
    }
    const double own_work = to_core_equivalents(need.per_task) * static_cast<double>(need.count) *
                            to_seconds(milliseconds(job.step_of(unit).estimate_ms()));
    if (waiting.rank == work_rank::urgent && plan->cost > own_work * max_lost_work_ratio) {
        if (is_first_attempt)
            this->events.add("preemption_too_costly", job.id,
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
