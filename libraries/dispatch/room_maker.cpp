// Weighs what a stop loses against what it gains, and reserves the room that it frees.

#include "dispatch/room_maker.h"

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
constexpr milliseconds make_room_pause{40};

// Wide units for which executors are kept free in one round; more would idle too much of the fleet.
constexpr std::size_t reservation_limit = 2;

// A unit of regular or background work gets executors kept free after it has waited this long.
constexpr milliseconds reservation_wait{2'500};

// What a stop costs beside the work since the last checkpoint: the caller's wait, in core-seconds of an 8-accelerator
// task.
constexpr double stop_base_cost = 5.0;

// Urgent work beyond its account's guarantee throws away at most this share of what it does itself.
constexpr double most_lost_work = 1.0;

// Work that a checkpointing task loses at a stop, in seconds: its restore.
constexpr double checkpoint_loss_s = 0.2;

double to_seconds(milliseconds time)
{
    constexpr double milliseconds_per_second = 1000.0;
    return static_cast<double>(time.count()) / milliseconds_per_second;
}

} // namespace

room_maker::room_maker(run_ledger& runs, slot_table& places, const waiting_work& ranks, dispatch_events& decisions)
    : ledger(runs), slots(places), work(ranks), events(decisions)
{
}

void room_maker::begin_round()
{
    this->reservations = 0;
    this->planner.reset();
}

void room_maker::add_stoppable(job_run& job, unit& part, work_rank rank, boot_time now)
{
    const records::Step& step = job.step_of(part);
    running_unit owner{&job, &part, rank, step.checkpointing(), false};
    stoppable_unit candidate;
    candidate.each = find_need(step);
    for (const placed_task& task : part.members) {
        const auto row = this->slots.find_row(task.executor);
        owner.is_stopping = owner.is_stopping || task.is_stop_wanted;
        if (row && task.phase != member_phase::resolved)
            candidate.rows.push_back(*row);
    }
    const double elapsed = to_seconds(now - part.placed_at);
    const double lost = step.checkpointing() ? std::min(elapsed, checkpoint_loss_s) : elapsed;
    const double cores = measure_cores(candidate.each) * static_cast<double>(part.members.size());
    candidate.cost = owner.is_stopping ? 0 : stop_base_cost + lost * cores;
    this->stoppable.push_back(std::move(candidate));
    this->running_units.push_back(owner);
}

// All running units that less urgent work may ever be stopped for, with what a stop would lose.
void room_maker::list_stoppable(boot_time now)
{
    this->stoppable.clear();
    this->running_units.clear();
    for (auto& [id, job] : this->ledger.jobs()) {
        const work_rank rank = this->work.find_rank(job);
        if (rank == work_rank::guaranteed_urgent || job.unresolved == 0)
            continue;
        for (unit& part : job.units) {
            if (!part.members.empty() && !part.is_done && !job.step_of(part).lasting())
                this->add_stoppable(job, part, rank, now);
        }
    }
    this->planner.emplace(this->slots.all(), this->stoppable);
}

// Work without checkpoints is stopped only for a guarantee, or for urgent work that it brings in time.
void room_maker::allow_stops_for(const waiting_step& waiting)
{
    const bool may_lose_work =
        waiting.rank == work_rank::guaranteed_urgent || (waiting.rank == work_rank::urgent && waiting.is_in_time);
    for (std::size_t row = 0; row < this->stoppable.size(); ++row) {
        const running_unit& owner = this->running_units[row];
        this->stoppable[row].is_allowed = owner.rank > waiting.rank && (may_lose_work || owner.is_checkpointing);
    }
}

void room_maker::stop_victims(const waiting_step& waiting, const preemption_plan& plan, boot_time now)
{
    std::size_t stopped = 0;
    for (const std::size_t victim : plan.victims) {
        running_unit& owner = this->running_units[victim];
        if (owner.is_stopping)
            continue;
        ++stopped;
        this->events.add("stopped_for", owner.job->id,
                         "for=" + waiting.job->id + " rank=" + std::string(to_string(waiting.rank)) + " run=" +
                             std::to_string(owner.part->run) + " lost=" + std::to_string(this->stoppable[victim].cost));
        this->ledger.stop_unit(*owner.job, *owner.part, now);
    }
    // The list holds pointers to what has just changed.
    if (stopped > 0)
        this->planner.reset();
}

void room_maker::make_room(const waiting_step& waiting, std::uint32_t unit_row, const placement_need& need,
                           count_on_executor present, boot_time now)
{
    job_run& job = *waiting.job;
    unit& part = job.units[unit_row];
    if (!part.reserved_on.empty() && now - part.reserved_at < reservation_time) {
        this->slots.keep(part.reserved_on, need.each);
        return;
    }
    part.reserved_on.clear();
    const bool is_urgent = waiting.rank <= work_rank::urgent;
    if (!is_urgent && (this->reservations >= reservation_limit || now - job.arrived < reservation_wait))
        return;
    if (part.room_tried_at && now - *part.room_tried_at < make_room_pause)
        return;
    // Said once while the unit waits, not each time that it is tried.
    const bool is_news = !std::exchange(part.room_tried_at, now).has_value();
    if (!this->planner)
        this->list_stoppable(now);
    this->allow_stops_for(waiting);
    const auto plan = this->planner->plan(need, present);
    if (!plan) {
        if (is_urgent && is_news)
            this->events.add("no_room", job.id, "rank=" + std::string(to_string(waiting.rank)));
        return;
    }
    const double own_work = measure_cores(need.each) * static_cast<double>(need.count) *
                            to_seconds(milliseconds(job.step_of(part).estimate_ms()));
    if (waiting.rank == work_rank::urgent && plan->cost > own_work * most_lost_work) {
        if (is_news)
            this->events.add("stops_not_worth_it", job.id,
                             "lost=" + std::to_string(plan->cost) + " own=" + std::to_string(own_work));
        return;
    }
    this->stop_victims(waiting, *plan, now);
    for (const std::size_t row : plan->places)
        part.reserved_on.emplace_back(this->slots.all()[row].executor);
    part.reserved_at = now;
    this->slots.keep(part.reserved_on, need.each);
    if (!is_urgent)
        ++this->reservations;
}

} // namespace wigeon
