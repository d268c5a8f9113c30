// Compares the work that a stop loses with the work that it makes possible, and reserves the freed executors.

#include "dispatch/preemptor.h"

#include <algorithm>
#include <cmath>
#include <string>
#include <utility>

#include "base/metrics.h"
#include "dispatch/placement.h"
#include "jobs/job_table.h"

namespace wigeon {

namespace {

// How long a reservation lasts: the stop (at most 900 ms at the users' sites), the poll that reports the end, and one
// round.
constexpr milliseconds reservation_time{1'500};

// Time between two plans for the same unit; urgent work has a few hundred milliseconds to spare.
constexpr milliseconds preemption_retry_pause{40};

// The same for regular work that the budget has refused.
constexpr milliseconds refusal_retry_pause{500};

// Number of plans made in one round for units that are not urgent, while preemption is bounded. A plan looks at all
// executors and running units.
constexpr std::size_t plan_limit = 8;

// Number of wide units for which executors are reserved in one round; more would leave too much of the fleet idle.
constexpr std::size_t reservation_limit = 2;

// A unit of regular or background work gets a reservation after its job has waited this long.
constexpr milliseconds reservation_wait{2'500};

// A reservation is kept at most this long while tasks that were stopped for it are still ending: a stop may have to be
// sent again, and its end appears in a later poll.
constexpr milliseconds stop_wait_limit{4'000};

// And this long after the last of them has ended, so that the unit is placed before others.
constexpr milliseconds placement_grace{300};

// A starving unit's reservation is kept at most this long while the tasks on its executors end by themselves.
constexpr milliseconds drain_wait_limit{20'000};

// Number of such reservations at a time; more would leave too much of the fleet idle.
constexpr std::size_t drain_limit = 2;

// Running work that ends within the time of a stop is awaited rather than stopped. Work that was expected to end longer
// ago than `overdue_limit` has a wrong estimate.
constexpr milliseconds ending_horizon = longest_stop_time;
constexpr milliseconds overdue_limit{1'000};

// Urgent work beyond its account's guarantee, and regular work that would be late, may cost others at most this ratio
// of its own work.
constexpr double max_lost_work_ratio = 1.0;

// Time that a checkpointing task is taken to lose by a stop, in seconds, while preemption is not bounded.
constexpr double checkpoint_restore_s = 0.2;

double to_seconds(milliseconds time)
{
    constexpr double milliseconds_per_second = 1000.0;
    return static_cast<double>(time.count()) / milliseconds_per_second;
}

// Time until the task ends by its estimate and its last progress; nothing if it has shown none.
std::optional<milliseconds> find_remaining(const records::Step& step, const placed_task& task, boot_time now)
{
    constexpr std::int64_t whole_percent = 100;
    if (task.is_stop_requested)
        return milliseconds(0);
    if (!task.progress.first_reported || task.progress.percent == 0)
        return std::nullopt;
    const std::int64_t left = whole_percent - std::min<std::int64_t>(task.progress.percent, whole_percent);
    return milliseconds(static_cast<std::int64_t>(step.estimate_ms()) * left / whole_percent) -
           (now - task.progress.changed_at);
}

// Seconds of work that a stop of the checkpointing unit loses: since its newest checkpoint, and the restore.
double find_unsaved_seconds(const work_unit& unit, boot_time now)
{
    const boot_time saved_at = std::max(unit.placed_at, unit.checkpoint_changed_at.value_or(unit.placed_at));
    return to_seconds(now - saved_at + checkpoint_restore_time);
}

std::string name_series(std::string_view name, std::string_view label, std::string_view value)
{
    return std::string(name) + "{" + std::string(label) + "=\"" + std::string(value) + "\"}";
}

} // namespace

preemptor::preemptor(run_tracker& runs, capacity_table& executors, const work_queue& ranks, dispatch_events& decisions,
                     const dispatch_options& options)
    : tracker(runs),
      capacities(executors),
      pending_work(ranks),
      events(decisions),
      is_bounded(options.bounds_preemption)
{
}

void preemptor::begin_round(boot_time now)
{
    this->reservations = 0;
    this->plans = 0;
    this->planner.reset();
    if (!this->is_bounded)
        return;
    this->budget.begin_round(now);
    std::erase_if(this->held, [this, now](held_reservation& reservation) {
        reservation.is_applied = false;
        job_run* job = this->tracker.find(reservation.job);
        work_unit* unit = job == nullptr || is_final(job->phase) ? nullptr : job->units.find(reservation.unit_row);
        return unit == nullptr || !this->keeps_reservation(*unit, now);
    });
}

void preemptor::hold_reservations(work_rank rank)
{
    for (held_reservation& reservation : this->held) {
        if (reservation.is_applied || reservation.rank > rank)
            continue;
        reservation.is_applied = true;
        const work_unit& unit = this->tracker.find(reservation.job)->units[reservation.unit_row];
        this->capacities.reserve(unit.reserved_on, reservation.per_task);
    }
}

preemptor::held_reservation* preemptor::find_held(const work_unit& unit, std::string_view job)
{
    const auto found = std::ranges::find_if(this->held, [&](const held_reservation& reservation) {
        return reservation.unit_row == unit.row && reservation.job == job;
    });
    return found == this->held.end() ? nullptr : &*found;
}

bool preemptor::release_reservation(const work_unit& unit, std::string_view job)
{
    held_reservation* reservation = this->find_held(unit, job);
    if (reservation == nullptr || !reservation->is_applied)
        return false;
    reservation->is_applied = false;
    this->capacities.release(unit.reserved_on, reservation->per_task);
    return true;
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
    const milliseconds run_time = now - unit.placed_at;
    const double elapsed = to_seconds(run_time);
    double lost = step.checkpointing() ? std::min(elapsed, checkpoint_restore_s) : elapsed;
    const double cores = to_core_equivalents(candidate.per_task) * static_cast<double>(unit.placed_tasks.size());
    if (this->is_bounded) {
        lost = step.checkpointing() ? find_unsaved_seconds(unit, now) : elapsed;
        running.protection = preemption_budget::find_protection({unit.was_preempted, run_time, cores, job.preemptions});
    }
    running.lost = lost * cores;
    candidate.cost = running.is_stopping ? 0 : preemption_base_cost + running.lost;
    this->preemptible.push_back(std::move(candidate));
    this->running_units.push_back(running);
}

// Counts the resources of the unit's tasks that end within the time of a stop.
void preemptor::add_ending(const job_run& job, const work_unit& unit, boot_time now)
{
    const records::Step& step = job.step_of(unit);
    for (const placed_task& task : unit.placed_tasks) {
        if (task.phase == task_phase::resolved)
            continue;
        const auto remaining = find_remaining(step, task, now);
        if (!remaining || *remaining > ending_horizon || *remaining < -overdue_limit)
            continue;
        if (const auto row = this->capacities.find_row(task.executor))
            this->ending[*row] += find_task_resources(step);
    }
}

// Lists the running units that may be stopped for more urgent work, with the work that a stop would lose.
void preemptor::list_preemptible(boot_time now)
{
    this->preemptible.clear();
    this->running_units.clear();
    this->ending.assign(this->is_bounded ? this->capacities.all().size() : 0, {});
    for (auto& [id, job] : this->tracker.jobs()) {
        if (job.unresolved_tasks == 0)
            continue;
        const work_rank rank = this->pending_work.find_rank(job);
        if (rank == work_rank::guaranteed_urgent && !this->is_bounded)
            continue;
        for (work_unit& unit : job.units) {
            if (unit.placed_tasks.empty() || unit.is_done || job.step_of(unit).lasting())
                continue;
            if (this->is_bounded)
                this->add_ending(job, unit, now);
            if (rank != work_rank::guaranteed_urgent)
                this->add_preemptible(job, unit, rank, now);
        }
    }
    this->planner.emplace(this->capacities.all(), this->preemptible);
}

// Work without checkpoints is stopped only for guaranteed work, or for urgent work that can still meet its deadline.
void preemptor::allow_preemption_for(const asking_unit& asking)
{
    const waiting_step& waiting = asking.waiting;
    const bool may_lose_work = waiting.rank == work_rank::guaranteed_urgent ||
                               (waiting.rank == work_rank::urgent && waiting.can_meet_deadline);
    for (std::size_t row = 0; row < this->preemptible.size(); ++row) {
        const running_unit& running = this->running_units[row];
        const bool is_unprotected =
            running.is_stopping || preemption_budget::may_stop(running.protection, waiting.rank, asking.is_override);
        this->preemptible[row].is_allowed =
            running.rank > waiting.rank && (may_lose_work || running.is_checkpointing) && is_unprotected;
    }
}

void preemptor::stop_victims(const asking_unit& asking, const preemption_plan& plan, boot_time now)
{
    const std::string_view rank = to_string(asking.waiting.rank);
    std::size_t stopped = 0;
    double lost = 0;
    for (const std::size_t victim : plan.victims) {
        running_unit& running = this->running_units[victim];
        if (running.is_stopping)
            continue;
        ++stopped;
        lost += running.lost;
        running.unit->was_preempted = true;
        ++running.job->preemptions;
        this->events.add("preempted", running.job->id,
                         "for=" + asking.waiting.job->id + " rank=" + std::string(rank) +
                             " run=" + std::to_string(running.unit->run) +
                             " lost=" + std::to_string(this->preemptible[victim].cost));
        this->tracker.stop_unit(*running.job, *running.unit, now);
    }
    if (stopped == 0)
        return;
    process_metrics().count(name_series("wigeon_preemptions_total", "rank", rank), stopped);
    process_metrics().count(name_series("wigeon_preempted_core_seconds_total", "rank", rank),
                            static_cast<std::uint64_t>(std::llround(lost)));
    // The list holds pointers to units that have just changed, so it is built anew when next needed.
    this->planner.reset();
}

bool preemptor::is_still_running(const awaited_run& awaited)
{
    job_run* job = this->tracker.find(awaited.job);
    const work_unit* unit = job == nullptr ? nullptr : job->units.find(awaited.unit_row);
    return unit != nullptr && unit->run == awaited.run && !unit->placed_tasks.empty();
}

bool preemptor::keeps_reservation(work_unit& unit, boot_time now)
{
    if (unit.reserved_on.empty())
        return false;
    if (now - unit.reserved_at < reservation_time)
        return true;
    if (!this->is_bounded || now >= unit.awaited_until)
        return false;
    // An executor that no longer answers will not report the end.
    if (!std::ranges::all_of(unit.reserved_on,
                             [this](const std::string& id) { return this->capacities.find_row(id).has_value(); }))
        return false;
    if (std::ranges::any_of(unit.awaited_runs,
                            [this](const awaited_run& awaited) { return this->is_still_running(awaited); }))
        unit.awaited_seen_at = now;
    return now - unit.awaited_seen_at <= placement_grace;
}

void preemptor::await_victims(work_unit& unit, const preemption_plan& plan, boot_time until)
{
    unit.awaited_until = until;
    unit.awaited_seen_at = boot_time();
    for (const std::size_t victim : plan.victims) {
        const running_unit& running = this->running_units[victim];
        unit.awaited_runs.push_back({running.job->id, running.unit->row, running.unit->run});
    }
}

void preemptor::reserve(const asking_unit& asking, std::span<const std::size_t> places, bool is_drain, boot_time now)
{
    work_unit& unit = asking.unit;
    for (const std::size_t row : places)
        unit.reserved_on.emplace_back(this->capacities.all()[row].executor);
    unit.reserved_at = now;
    this->capacities.reserve(unit.reserved_on, asking.need.per_task);
    const work_rank rank = asking.waiting.rank;
    if (rank > work_rank::urgent)
        ++this->reservations;
    if (!this->is_bounded || rank == work_rank::guaranteed_urgent)
        return;
    // Only guaranteed work takes the executors of a starving unit.
    this->held.push_back({asking.waiting.job->id, unit.row, asking.need.per_task,
                          asking.is_override ? work_rank::urgent : rank, is_drain, true});
}

// Reserves executors without a stop if enough running work is about to end there. Done once while the unit waits, since
// the estimates may be wrong.
bool preemptor::reserve_ending(const asking_unit& asking, boot_time now)
{
    if (asking.unit.has_awaited_ends)
        return false;
    const std::span<const executor_capacity> all = this->capacities.all();
    std::vector<executor_capacity> later(all.begin(), all.end());
    for (std::size_t row = 0; row < later.size(); ++row)
        later[row].free += this->ending[row];
    const auto places = find_places(asking.need, later, asking.present);
    if (!places)
        return false;
    asking.unit.has_awaited_ends = true;
    this->reserve(asking, *places, false, now);
    return true;
}

// Reserves executors for a starving unit where running work ends soonest, and stops nothing.
bool preemptor::reserve_until_ended(const asking_unit& asking, boot_time now)
{
    const auto drains = std::ranges::count_if(this->held, &held_reservation::is_drain);
    if (static_cast<std::size_t>(drains) >= drain_limit) {
        this->budget.pass_over(asking.waiting.job->id, now);
        return false;
    }
    std::vector<preemptible_unit> running(this->preemptible);
    for (std::size_t row = 0; row < running.size(); ++row) {
        const running_unit& present = this->running_units[row];
        const milliseconds estimate(present.job->step_of(*present.unit).estimate_ms());
        running[row].is_allowed = true;
        // Never zero, so that free room is taken first.
        running[row].cost =
            std::max(1.0, to_seconds(estimate - (now - present.unit->placed_at))) + preemption_base_cost;
    }
    const auto plan = preemption_planner(this->capacities.all(), running).plan(asking.need, asking.present);
    if (!plan) {
        this->budget.pass_over(asking.waiting.job->id, now);
        return false;
    }
    this->await_victims(asking.unit, *plan, now + drain_wait_limit);
    this->reserve(asking, plan->places, true, now);
    return true;
}

void preemptor::report_refusal(const asking_unit& asking, preemption_verdict verdict)
{
    if (std::exchange(asking.unit.is_refusal_logged, true))
        return;
    process_metrics().count(name_series("wigeon_preemption_refusals_total", "rank", to_string(asking.waiting.rank)));
    this->events.add("preemption_refused", asking.waiting.job->id,
                     "rank=" + std::string(to_string(asking.waiting.rank)) + " reason=" +
                         std::string(to_string(verdict)) + " slack_ms=" + std::to_string(asking.request.slack.count()) +
                         " waited_ms=" + std::to_string(asking.request.waited.count()));
}

// Whether a plan may be made for the unit now.
bool preemptor::is_due(const asking_unit& asking, boot_time now)
{
    const bool is_urgent = asking.waiting.rank <= work_rank::urgent;
    if (!this->is_bounded)
        return is_urgent ||
               (this->reservations < reservation_limit && now - asking.waiting.job->arrived_at >= reservation_wait);
    const preemption_verdict verdict = this->budget.check(asking.request, now);
    if (verdict == preemption_verdict::exhausted)
        this->report_refusal(asking, verdict);
    return verdict == preemption_verdict::allowed &&
           (is_urgent || asking.is_override || this->reservations < reservation_limit);
}

// Whether the plan costs others less than it gains, and the account's budget allows it.
bool preemptor::is_worth(const asking_unit& asking, const preemption_plan& plan, bool is_first_attempt, boot_time now)
{
    const waiting_step& waiting = asking.waiting;
    const double own_work = to_core_equivalents(asking.need.per_task) * static_cast<double>(asking.need.count) *
                            to_seconds(milliseconds(waiting.job->step_of(asking.unit).estimate_ms()));
    const bool has_waited_long = asking.request.waited >= regular_long_wait;
    const bool is_compared = this->is_bounded
                                 ? !asking.is_override && (waiting.rank == work_rank::urgent ||
                                                           (waiting.rank == work_rank::regular && !has_waited_long))
                                 : waiting.rank == work_rank::urgent;
    if (is_compared && plan.cost > own_work * max_lost_work_ratio) {
        if (is_first_attempt)
            this->events.add("preemption_too_costly", waiting.job->id,
                             "lost=" + std::to_string(plan.cost) + " own=" + std::to_string(own_work));
        return false;
    }
    if (!this->is_bounded)
        return true;
    const preemption_verdict verdict =
        asking.is_override ? preemption_verdict::allowed : this->budget.check_cost(asking.request, plan.cost, now);
    if (verdict != preemption_verdict::allowed)
        this->report_refusal(asking, verdict);
    return verdict == preemption_verdict::allowed;
}

void preemptor::reserve_or_preempt(const waiting_step& waiting, std::uint32_t unit_row, const placement_need& need,
                                   present_counts present, boot_time now)
{
    job_run& job = *waiting.job;
    work_unit& unit = job.units[unit_row];
    if (this->keeps_reservation(unit, now)) {
        held_reservation* reservation = this->find_held(unit, job.id);
        if (reservation == nullptr || !std::exchange(reservation->is_applied, true))
            this->capacities.reserve(unit.reserved_on, need.per_task);
        return;
    }
    unit.reserved_on.clear();
    unit.awaited_runs.clear();
    asking_unit asking{waiting,
                       unit,
                       need,
                       present,
                       {job.id, job.submission.account(), waiting.rank, waiting.slack, now - unit.waiting_since}};
    asking.is_override = this->is_bounded && this->budget.is_override_due(asking.request, now);
    if (!this->is_due(asking, now))
        return;
    const bool is_urgent = waiting.rank <= work_rank::urgent;
    const milliseconds pause =
        unit.is_refusal_logged && !is_urgent && !asking.is_override ? refusal_retry_pause : preemption_retry_pause;
    if (unit.preemption_tried_at && now - *unit.preemption_tried_at < pause)
        return;
    if (this->is_bounded && !is_urgent && this->plans++ >= plan_limit)
        return;
    // Failed attempts are logged once while the unit waits, not each time.
    const bool is_first_attempt = !std::exchange(unit.preemption_tried_at, now).has_value();
    if (!this->planner)
        this->list_preemptible(now);
    if (this->is_bounded && waiting.rank == work_rank::regular && this->reserve_ending(asking, now))
        return;
    this->allow_preemption_for(asking);
    const auto plan = this->planner->plan(need, present);
    if (!plan && asking.is_override && this->reserve_until_ended(asking, now)) {
        this->budget.record_override(now);
        return;
    }
    if (!plan) {
        if (is_urgent && is_first_attempt)
            this->events.add("preemption_impossible", job.id, "rank=" + std::string(to_string(waiting.rank)));
        return;
    }
    if (!this->is_worth(asking, *plan, is_first_attempt, now))
        return;
    if (this->is_bounded) {
        // Guaranteed work plans anew after reservation_time, as without bounds: its time is short, and tasks that are
        // stopping cost a plan nothing.
        if (waiting.rank != work_rank::guaranteed_urgent)
            this->await_victims(unit, *plan, now + stop_wait_limit);
        this->budget.charge(asking.request, plan->cost, now);
        if (asking.is_override)
            this->budget.record_override(now);
    }
    this->stop_victims(asking, *plan, now);
    this->reserve(asking, plan->places, false, now);
}

} // namespace wigeon
