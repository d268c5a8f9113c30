// A scheduling round builds the capacity table from the executor registry, sorts the waiting steps, and places their
// units or frees resources for them.

#include "dispatch/dispatcher.h"

#include <algorithm>
#include <iomanip>
#include <limits>
#include <sstream>
#include <utility>

#include <boost/algorithm/string/join.hpp>

#include "jobs/job_table.h"
#include "jobs/queue_policy_record.h"

namespace wigeon {

namespace {

// The changes of one round get no further record above these sizes, so that a heartbeat never waits for a long append.
// Removals consist of many small records and can wait.
constexpr std::size_t append_byte_limit = 1'000'000;
constexpr std::size_t removal_byte_limit = 400'000;

// A round places no further unit above this number of tasks, since the starts of all are sent in one turn of the event
// loop. The next round follows within milliseconds.
constexpr std::size_t max_placed_per_round = 256;

// While much of the fleet is idle, a unit waits at most this long for the executors that suit it best. Users allow
// 3 s.
constexpr milliseconds relaxed_placement_wait{2'000};

// A stall takes seconds to detect, so it is not checked in every round.
constexpr milliseconds stall_check_interval{250};

// At most one change of the fleet's evenness is logged in this time.
constexpr milliseconds evenness_report_interval{10'000};
// A caller's estimate may be too low by this factor.
constexpr double estimate_error_margin = 2.0;

// An urgent unit that fits only where it is late waits at most this long for a place that is being freed: longer than
// a stop takes (up to 900 ms), and less than half of the 2.9 s within which a guaranteed job must start.
constexpr milliseconds better_place_wait{1'200};

} // namespace

dispatcher::dispatcher(const dispatch_limits& given_limits, boot_time leading_since)
    : limits(given_limits),
      registry(given_limits.max_lease, leading_since),
      tracker(registry, given_limits.max_stop_time),
      preemption(tracker, capacities, pending_work, events, given_limits.options)
{
}

void dispatcher::set_policy(const fleet_policy& new_policy)
{
    this->policy = new_policy;
    this->known_pools.insert(this->policy.pools.begin(), this->policy.pools.end());
    for (const queue_policy& queue : this->policy.queues)
        this->known_pools.insert(queue.pool);
    for (auto& [id, job] : this->tracker.jobs()) {
        // Jobs of a removed queue keep the policy under which they were accepted.
        if (const queue_policy* queue = this->policy.find_queue_by_name(job.submission.queue()))
            job.policy = *queue;
    }
}

queue_policy dispatcher::find_policy(const records::Submission& submission) const
{
    const queue_policy* queue = this->policy.find_queue_by_name(submission.queue());
    return queue != nullptr ? *queue : restore_accepted_policy(submission);
}

void dispatcher::add_pool_of(const records::Submission& submission)
{
    this->known_pools.insert(this->find_policy(submission).pool);
}

void dispatcher::add_job(const std::string& id, const records::Submission& submission,
                         const records::JobProgress& progress, std::uint64_t wall_ms, boot_time now)
{
    if (this->tracker.find(id) != nullptr)
        return;
    const queue_policy job_policy = this->find_policy(submission);
    // After a change of leader, only the wall clock tells the age of a job. It may have jumped, so the age is limited.
    constexpr std::int64_t max_age_ms = 120'000;
    const std::int64_t age_ms =
        std::clamp<std::int64_t>(static_cast<std::int64_t>(wall_ms) - submission.submitted_ms(), 0, max_age_ms);
    this->known_pools.insert(job_policy.pool);
    job_run& job = this->tracker.add(id, submission, job_policy, progress, now);
    job.arrived_at = now - milliseconds(age_ms);
}

void dispatcher::cancel_job(std::string_view id, boot_time now)
{
    this->tracker.cancel(id, now);
}

void dispatcher::update_executor(const executor_entry& entry, boot_time now)
{
    const executor* known = this->registry.find(entry.id);
    const bool is_new_incarnation = this->registry.update(entry, now);
    if (known == nullptr)
        this->registry.find(entry.id)->used = this->tracker.sum_used(entry.id);
    if (known != nullptr && is_new_incarnation) {
        this->executor_speeds.restart(entry.id, entry.incarnation_ms);
        this->tracker.resolve_previous_incarnations(entry.id, entry.incarnation_ms, now);
    }
}

void dispatcher::remove_executor(std::string_view id, boot_time now)
{
    this->executor_speeds.remove(id);
    this->registry.remove(id, now);
}

void dispatcher::handle_poll_report(std::string_view executor_id, const poll_report& report, boot_time sent_at,
                                    boot_time now)
{
    executor* source = this->registry.find(executor_id);
    if (source == nullptr)
        return;
    // A report without an incarnation counts for the incarnation that the directory lists.
    if (report.incarnation_ms != 0 && report.incarnation_ms < source->entry.incarnation_ms) {
        this->events.add("report_of_former_incarnation", {}, std::string(executor_id));
        return;
    }
    if (report.incarnation_ms > source->entry.incarnation_ms) {
        executor_entry restarted = source->entry;
        restarted.incarnation_ms = report.incarnation_ms;
        this->update_executor(restarted, now);
        this->events.add("executor_restarted", {}, std::string(executor_id));
    }
    if (this->limits.options.places_by_speed && source->is_listed)
        this->observe_speed(*source, report, now);
    this->tracker.apply_poll_report(*source, report, sent_at, now);
}

// Called before the tracker applies the report, which ends the runs that the report lists as ended.
void dispatcher::observe_speed(const executor& source, const poll_report& report, boot_time now)
{
    std::vector<std::string> step_keys;
    step_keys.reserve(report.running.size()); // The observations hold views of the keys.
    std::vector<task_observation> running;
    running.reserve(report.running.size());
    for (const running_task& reported : report.running) {
        const auto name = parse_task_name(reported.task);
        job_run* job = name ? this->tracker.find(name->job) : nullptr;
        std::uint32_t task_row = 0;
        const work_unit* unit = job != nullptr ? job->find_unit(name->position, task_row) : nullptr;
        if (unit == nullptr || unit->run != reported.run || task_row >= unit->placed_tasks.size() ||
            unit->placed_tasks[task_row].executor != source.entry.id)
            continue;
        const records::Step& step = job->step_of(*unit);
        // Their progress depends on their users, on what others leave unused, or on the distance to their data.
        const bool is_away = !step.data_rack().empty() && step.data_rack() != source.entry.rack;
        if (step.lasting() || step.filling() || is_away)
            continue;
        const bool is_bound = std::any_of(unit->placed_tasks.begin(), unit->placed_tasks.end(),
                                          [&source](const placed_task& t) { return t.executor != source.entry.id; });
        // The tasks of a gang progress together, so those on one executor are one sample.
        if (unit->task_count > 1 && !is_bound && task_row > 0)
            continue;
        step_keys.push_back(name->job + "." + std::to_string(name->position.step));
        running.push_back({reported.task, reported.run, step_keys.back(), milliseconds(step.estimate_ms()),
                           reported.percent, !unit->checkpoint.empty(), is_bound});
    }
    std::vector<end_observation> ended;
    for (const ended_task& end : report.ended) {
        if (end.outcome == run_outcome::done && end.sequence > source.last_end_seen)
            ended.push_back({end.task, end.run});
    }
    this->executor_speeds.observe(source.entry.id, source.entry.incarnation_ms, report.clock, running, ended, now);
}

void dispatcher::update_speeds(boot_time now)
{
    std::optional<double> tightest_stretch;
    for (const queue_policy& queue : this->policy.queues)
        tightest_stretch = std::min(tightest_stretch.value_or(queue.stretch), queue.stretch);
    this->executor_speeds.update(tightest_stretch, now);
    this->capacities.mark_speeds(this->executor_speeds, now);
    const bool is_uneven = this->executor_speeds.is_uneven();
    if (is_uneven == this->reported_uneven ||
        (this->evenness_reported_at && now - *this->evenness_reported_at < evenness_report_interval))
        return;
    this->reported_uneven = is_uneven;
    this->evenness_reported_at = now;
    this->events.add(is_uneven ? "fleet_uneven" : "fleet_even", {},
                     "tightest_stretch=" + std::to_string(tightest_stretch.value_or(0)) +
                         " slow_multiple=" + std::to_string(this->executor_speeds.slow_multiple()));
}

std::vector<std::size_t> dispatcher::count_speed_classes() const
{
    std::vector<std::size_t> counts(max_speed_class + 1, 0);
    for (const executor_capacity& entry : this->capacities.all())
        ++counts[static_cast<std::size_t>(entry.speed_class)];
    return counts;
}

void dispatcher::handle_start_answer(const start_order& order, start_answer answer, boot_time now)
{
    if (answer == start_answer::ticket_refused) {
        const job_run* job = this->tracker.find(order.reference.job);
        const work_unit* unit = job == nullptr ? nullptr : job->units.find(order.reference.unit_row);
        if (unit != nullptr)
            this->advice.drop_ticket(make_step_name(*job, *unit), order.executor);
    }
    this->tracker.handle_start_answer(order.reference, answer, now);
}

void dispatcher::handle_stop_answer(const stop_order& order, bool is_acknowledged, boot_time now)
{
    if (!order.reference.job.empty())
        this->tracker.handle_stop_answer(order.reference, is_acknowledged, now);
}

// Expected run time = estimate x multiple; the job is in time while this, over all that is still to run, leaves slack.
void dispatcher::set_preference(placement_need& need, const waiting_step& waiting) const
{
    if (!this->limits.options.places_by_speed || !this->capacities.is_uneven())
        return;
    const auto path_ms = static_cast<double>(std::max<std::int64_t>(waiting.critical_path.count(), 1));
    need.in_time_multiple = 1 + static_cast<double>(waiting.slack.count()) / path_ms;
    need.safe_multiple = need.in_time_multiple / estimate_error_margin;
    need.preference = waiting.rank <= work_rank::urgent ? speed_preference::fastest : speed_preference::slowest;
}

placement_need dispatcher::make_need(const waiting_step& waiting, const work_unit& unit, boot_time now) const
{
    const job_run& job = *waiting.job;
    const records::Step& step = job.step_of(unit);
    placement_need need;
    need.pool = job.policy.pool;
    need.per_task = find_task_resources(step);
    need.count = unit.task_count;
    need.same_rack = step.same_rack();
    need.required_label = step.required_label();
    need.data_rack = step.data_rack();
    // Away from its data the task takes several times as long, so waiting for up to its own run time costs less.
    need.may_leave_data_rack = now - unit.waiting_since > milliseconds(step.estimate_ms()) ||
                               this->capacities.is_rack_evacuated(need.data_rack);
    need.max_per_executor = step.tasks_per_executor();
    need.is_filling = step.filling();
    need.is_serving = step.tail_target_ms() > 0;
    this->set_preference(need, waiting);
    return need;
}

// Free resources only shrink within a round: a need at least as large as one that did not fit does not fit either.
bool dispatcher::is_known_not_to_fit(const placement_need& need) const
{
    return std::any_of(this->unplaced_needs.begin(), this->unplaced_needs.end(), [&need](const placement_need& failed) {
        return failed.pool == need.pool && failed.same_rack == need.same_rack &&
               failed.required_label == need.required_label && failed.data_rack == need.data_rack &&
               failed.may_leave_data_rack == need.may_leave_data_rack && failed.is_filling == need.is_filling &&
               failed.is_serving == need.is_serving && failed.count <= need.count &&
               failed.per_task.fits_in(need.per_task);
    });
}

// Allows several racks and executors that are quarantined or on which the unit failed: a slow or risky run is better
// than none.
std::optional<std::vector<std::size_t>> dispatcher::find_relaxed_places(placement_need need,
                                                                        present_counts present) const
{
    need.same_rack = false;
    need.may_leave_data_rack = true;
    return find_places(need, this->capacities.copy_without_exclusions(), present);
}

// Whether an urgent unit should wait because work is being stopped for a place on which it ends in time, while it is
// late on the places that are free now.
bool dispatcher::is_better_place_reserved(const waiting_step& waiting, std::uint32_t unit_row,
                                          const placement_need& need, std::span<const std::size_t> places,
                                          present_counts present, boot_time now)
{
    if (need.preference != speed_preference::fastest ||
        find_pace(this->capacities.all(), places) <= need.in_time_multiple)
        return false;
    work_unit& unit = waiting.job->units[unit_row];
    if (now - unit.waiting_since >= better_place_wait)
        return false;
    placement_need in_time = need;
    in_time.must_be_in_time = true;
    if (unit.reserved_on.empty()) {
        // One attempt for each placement, so that a unit that may not stop others is not held up.
        if (unit.preemption_tried_at)
            return false;
        const auto path_ms = static_cast<double>(std::max<std::int64_t>(waiting.critical_path.count(), 1));
        in_time.in_time_multiple -= static_cast<double>(this->limits.max_stop_time.count()) / path_ms;
        if (in_time.in_time_multiple < this->capacities.fastest_multiple())
            return false;
    }
    else if (find_pace(this->capacities.all(), this->capacities.find_rows(unit.reserved_on)) > need.in_time_multiple) {
        return false;
    }
    this->preemption.reserve_or_preempt(waiting, unit_row, in_time, present, now);
    return !unit.reserved_on.empty();
}

void dispatcher::count_by_speed(const waiting_step& waiting, std::span<const std::size_t> places)
{
    if (!this->capacities.is_uneven() || waiting.rank > work_rank::urgent)
        return;
    this->placed_by_speed.urgent_tasks += places.size();
    for (const std::size_t row : places) {
        if (this->capacities.all()[row].speed_class <= this->capacities.last_fast_class())
            ++this->placed_by_speed.urgent_tasks_on_fast;
    }
}

// The slowest class among the executors and the run time that is expected there; nothing on an even fleet.
std::string dispatcher::format_speed(std::span<const std::string> executors, const records::Step& step) const
{
    if (!this->capacities.is_uneven())
        return {};
    std::int32_t slowest = 0;
    double multiple = 0;
    for (const std::string& id : executors) {
        const auto row = this->capacities.find_row(id);
        if (!row)
            continue;
        slowest = std::max(slowest, this->capacities.all()[*row].speed_class);
        multiple = std::max(multiple, this->capacities.all()[*row].run_time_multiple);
    }
    const auto expected_ms = static_cast<std::int64_t>(static_cast<double>(step.estimate_ms()) * multiple);
    return "class=" + std::to_string(slowest) + " expected_ms=" + std::to_string(expected_ms);
}

std::optional<std::vector<std::string>> dispatcher::place_unit(const waiting_step& waiting, std::uint32_t unit_row,
                                                               boot_time now)
{
    job_run& job = *waiting.job;
    work_unit& unit = job.units[unit_row];
    const placement_need need = this->make_need(waiting, unit, now);
    const std::vector<std::uint32_t> present = this->capacities.count_present(job, unit);
    this->advice.mark_permitted(this->capacities, job, unit, now);
    this->capacities.mark_avoided(unit, need);
    // The needs that are known not to fit were tried without the resources that are reserved for this unit.
    const bool has_reservation = this->preemption.release_reservation(unit, job.id);
    auto places = !has_reservation && this->is_known_not_to_fit(need)
                      ? std::nullopt
                      : find_places(need, this->capacities.all(), present);
    // The unit has waited for suitable executors although much of the fleet is idle.
    if (!places && now - unit.waiting_since >= relaxed_placement_wait && this->capacities.is_mostly_idle())
        places = this->find_relaxed_places(need, present);
    if (!places) {
        this->advice.prepare_request(this->capacities, job, unit, need, waiting.rank <= work_rank::urgent);
        if (unit.failed_on.empty() && need.max_per_executor == 0 && !job.policy.advice)
            this->unplaced_needs.push_back(need);
        this->preemption.reserve_or_preempt(waiting, unit_row, need, present, now);
        return std::nullopt;
    }
    if (this->is_better_place_reserved(waiting, unit_row, need, *places, present, now))
        return std::nullopt;
    this->count_by_speed(waiting, *places);
    std::vector<std::string> executors;
    for (const std::size_t row : *places) {
        this->capacities.allocate(row, need);
        executors.emplace_back(this->capacities.all()[row].executor);
    }
    this->tracker.place(job, unit_row, executors, now);
    if (job.policy.advice) {
        for (placed_task& task : unit.placed_tasks)
            task.ticket = this->advice.find_ticket(make_step_name(job, unit), task.executor, now);
    }
    return executors;
}

// What the `placed` event states of the account's share; empty unless the shares affect the order.
std::string dispatcher::describe_share(const job_run& job) const
{
    if (!this->limits.options.shares_by_account || !this->shares.is_short(job.policy.pool))
        return {};
    const std::string& account = job.submission.account();
    std::ostringstream text;
    text << " account=" << account << " share=" << std::fixed << std::setprecision(2)
         << this->shares.find_share(job.policy.pool, account);
    return text.str();
}

// Places the step's waiting units in order until one does not fit or the round has placed enough.
void dispatcher::place_step(const waiting_step& waiting, boot_time now)
{
    const std::vector<std::uint32_t> units = waiting.job->steps[waiting.step_row].waiting;
    const milliseconds waited = now - waiting.job->units[units.front()].waiting_since;
    std::vector<std::string> executors;
    std::uint32_t highest_run = 0;
    for (const std::uint32_t unit_row : units) {
        const auto chosen =
            this->placed_in_round < max_placed_per_round ? this->place_unit(waiting, unit_row, now) : std::nullopt;
        if (!chosen)
            break;
        this->placed_in_round += chosen->size();
        highest_run = std::max(highest_run, waiting.job->units[unit_row].run);
        executors.insert(executors.end(), chosen->begin(), chosen->end());
    }
    if (executors.empty())
        return;
    const records::Step& step =
        waiting.job->submission.steps(static_cast<int>(waiting.job->steps[waiting.step_row].step));
    this->events.add("placed", waiting.job->id,
                     "rank=" + std::string(to_string(waiting.rank)) +
                         " step=" + std::to_string(waiting.job->steps[waiting.step_row].step) +
                         " run=" + std::to_string(highest_run) + " tasks=" + std::to_string(executors.size()) +
                         " waited_ms=" + std::to_string(waited.count()) +
                         " slack_ms=" + std::to_string(waiting.slack.count()) +
                         " estimate_ms=" + std::to_string(step.estimate_ms()) + this->describe_share(*waiting.job) +
                         " on=" + boost::algorithm::join(executors, " ") + " " + this->format_speed(executors, step));
}

// Stops stalled units, so that they are placed elsewhere.
void dispatcher::stop_stalled_units(boot_time now)
{
    for (auto& [id, job] : this->tracker.jobs()) {
        if (is_final(job.phase) || job.unresolved_tasks == 0)
            continue;
        for (work_unit& unit : job.units) {
            if (!unit.is_done && !unit.placed_tasks.empty() && !job.step_of(unit).lasting())
                this->stop_if_stalled(job, unit, now);
        }
    }
}

void dispatcher::stop_if_stalled(job_run& job, work_unit& unit, boot_time now)
{
    std::uint32_t lowest = std::numeric_limits<std::uint32_t>::max();
    for (const placed_task& task : unit.placed_tasks) {
        // A gang makes no progress unless all its tasks run, so it can be stalled only while they all do.
        if (task.phase != task_phase::running || task.is_stop_requested)
            return;
        lowest = std::min(lowest, task.progress.percent);
    }
    for (const placed_task& task : unit.placed_tasks) {
        executor* target = this->registry.find(task.executor);
        if (target == nullptr || !target->last_poll_sent_at || task.progress.percent > lowest)
            continue;
        if (!is_stalled(task.progress, *target->last_poll_sent_at, now))
            continue;
        target->health.record_stall(now);
        unit.failed_on.insert(task.executor);
        this->events.add("stopped_stalled", job.id,
                         "executor=" + task.executor + " run=" + std::to_string(unit.run) +
                             " percent=" + std::to_string(task.progress.percent) +
                             " running_ms=" + std::to_string((now - unit.placed_at).count()));
        this->tracker.stop_unit(job, unit, now);
        return;
    }
}

void dispatcher::report_evacuations(boot_time now)
{
    const bool is_current = this->evacuations.is_current(now);
    if (is_current != std::exchange(this->has_current_evacuations, is_current))
        this->events.add(is_current ? "starts_resumed" : "starts_suspended", {}, "evacuations_current");
}

void dispatcher::decide(std::uint64_t wall_ms, boot_time now)
{
    this->waits.update(this->tracker.unresolved_tasks(), now);
    this->tracker.resolve_ended(now);
    for (auto& [id, job] : this->tracker.jobs()) {
        // The record of a whole job names all units that are done.
        if (this->format == progress_format::per_unit && !is_final(job.phase))
            job.drop_finished_occurrences();
        this->tracker.open_due_work(job, wall_ms, now);
    }
    if (!this->stalls_checked_at || now - *this->stalls_checked_at >= stall_check_interval) {
        this->stalls_checked_at = now;
        this->stop_stalled_units(now);
    }
    this->report_evacuations(now);
    if (!this->has_current_evacuations)
        return;
    this->pending_work.count_demand(this->tracker, this->policy);
    this->capacities.build(this->registry, this->suspensions, this->evacuations, this->limits.max_poll_age, now);
    this->capacities.mark_filling_and_serving(this->tracker);
    if (this->limits.options.places_by_speed)
        this->update_speeds(now);
    if (this->limits.options.places_by_speed && !this->speeds.empty())
        this->capacities.set_speeds(this->speeds);
    this->unplaced_needs.clear();
    this->advice.begin_round();
    this->preemption.begin_round(now);
    this->placed_in_round = 0;
    const bool uses_shares = this->limits.options.shares_by_account;
    if (uses_shares)
        this->shares.update(this->tracker, this->capacities.all(), now);
    for (const waiting_step& waiting :
         this->pending_work.list(this->tracker, now, uses_shares ? &this->shares : nullptr)) {
        if (this->placed_in_round >= max_placed_per_round)
            break;
        this->preemption.hold_reservations(waiting.rank);
        this->place_step(waiting, now);
    }
}

// Returns false when changed jobs are left for the next append.
bool dispatcher::collect_job_records(dispatch_changes& changes)
{
    std::size_t bytes = 0;
    for (auto& [id, job] : this->tracker.jobs()) {
        if (!job.is_changed())
            continue;
        if (bytes > append_byte_limit)
            return false;
        changes.records.push_back({id, job.make_record()});
        bytes += changes.records.back().progress.ByteSizeLong();
        job.collect_planned_starts(changes.starts);
        job.take_changes();
    }
    return true;
}

// Returns false when changed units of jobs that have not ended are left for the next append.
bool dispatcher::collect_unit_records(dispatch_changes& changes)
{
    std::size_t bytes = 0;
    for (auto& [id, job] : this->tracker.jobs()) {
        if (!job.is_changed())
            continue;
        if (std::exchange(job.is_phase_changed, false))
            changes.phases.push_back({id, job.phase});
        if (!is_final(job.phase) && !this->collect_units_of(job, changes, bytes))
            return false;
    }
    // Last, and without effect on the ends: a later leader needs neither the records nor their removal.
    for (auto& [id, job] : this->tracker.jobs()) {
        if (job.is_end_stored && !this->remove_unit_records(job, changes, bytes))
            break;
    }
    return true;
}

bool dispatcher::collect_units_of(job_run& job, dispatch_changes& changes, std::size_t& bytes)
{
    while (!job.changed_units.empty()) {
        if (bytes > append_byte_limit)
            return false;
        work_unit& unit = job.take_changed_unit();
        unit.is_recorded = true;
        changes.units.push_back({job.make_unit_key(unit), job.make_unit_record(unit)});
        bytes += changes.units.back().key.size() + changes.units.back().content->ByteSizeLong();
        job.collect_planned_starts(unit, changes.starts);
    }
    return true;
}

// Once the end of a job is stored, its units need no record, unless their tasks may still run: a later leader stops
// those. Before that, the units stay as they were recorded. Returns false when records are left for the next append.
bool dispatcher::remove_unit_records(job_run& job, dispatch_changes& changes, std::size_t& bytes)
{
    while (!job.changed_units.empty()) {
        if (bytes > removal_byte_limit)
            return false;
        work_unit& unit = job.take_changed_unit();
        if (!unit.is_recorded || !unit.placed_tasks.empty())
            continue;
        unit.is_recorded = false;
        changes.units.push_back({job.make_unit_key(unit), std::nullopt});
        bytes += changes.units.back().key.size();
    }
    while (!job.finished_occurrences.empty()) {
        if (bytes > removal_byte_limit)
            return false;
        for (std::string& key : job.take_finished_keys()) {
            bytes += key.size();
            changes.units.push_back({std::move(key), std::nullopt});
        }
    }
    return true;
}

dispatch_changes dispatcher::collect_changes()
{
    dispatch_changes changes;
    const bool is_complete = this->format == progress_format::per_job ? this->collect_job_records(changes)
                                                                      : this->collect_unit_records(changes);
    // An end may have changed a unit whose record is left for the next append, so no end is recorded yet.
    if (!is_complete)
        return changes;
    for (const auto& [id, target] : this->registry.all()) {
        if (target.last_end_seen > target.last_end_recorded)
            changes.ends.push_back({id, target.entry.incarnation_ms, target.last_end_seen});
    }
    return changes;
}

void dispatcher::handle_end_stored(std::string_view id)
{
    job_run* job = this->tracker.find(id);
    if (job == nullptr)
        return;
    job->is_end_stored = true;
    if (this->format == progress_format::per_job)
        return;
    for (work_unit& unit : job->units) {
        if (unit.is_recorded && unit.placed_tasks.empty())
            job->mark_changed(unit);
    }
}

// None of a unit's tasks has been ordered yet, so the whole unit waits for placement again.
void dispatcher::withdraw_start(const start_order& order, boot_time now)
{
    job_run* job = this->tracker.find(order.reference.job);
    work_unit* unit = job == nullptr ? nullptr : job->units.find(order.reference.unit_row);
    if (unit == nullptr || unit->run != order.reference.run || unit->placed_tasks.empty())
        return;
    this->events.add("start_withdrawn", job->id,
                     "task=" + order.task + " run=" + std::to_string(order.reference.run) +
                         " executor=" + order.executor);
    this->tracker.stop_unit(*job, *unit, now);
}

void dispatcher::withdraw_starts(std::span<const start_order> starts, boot_time now)
{
    for (const start_order& order : starts)
        this->withdraw_start(order, now);
}

// Placements wait for their record to be stored; a zone may be evacuated meanwhile.
void dispatcher::withdraw_starts_in_evacuated_zones(std::span<const start_order> starts, boot_time now)
{
    for (const start_order& order : starts) {
        const executor* target = this->registry.find(order.executor);
        if (target == nullptr ||
            (this->evacuations.is_current(now) && !this->evacuations.is_evacuated(target->entry.zone)))
            continue;
        this->withdraw_start(order, now);
    }
}

std::vector<start_order> dispatcher::confirm_changes(const dispatch_changes& changes, boot_time now)
{
    for (const dispatch_changes::recorded_ends& recorded : changes.ends) {
        executor* target = this->registry.find(recorded.executor);
        if (target != nullptr && target->entry.incarnation_ms == recorded.incarnation_ms)
            target->last_end_recorded = std::max(target->last_end_recorded, recorded.last_end);
    }
    for (const dispatch_changes::job_record& record : changes.records) {
        if (is_final(record.progress.phase()))
            this->handle_end_stored(record.job);
    }
    for (const dispatch_changes::phase_record& record : changes.phases) {
        if (is_final(record.phase))
            this->handle_end_stored(record.job);
    }
    this->withdraw_starts_in_evacuated_zones(changes.starts, now);
    std::vector<start_order> wanted;
    for (const start_order& order : changes.starts) {
        if (this->tracker.mark_ordered(order.reference, now))
            wanted.push_back(order);
    }
    this->tracker.forget_ended_jobs();
    return wanted;
}

} // namespace wigeon
