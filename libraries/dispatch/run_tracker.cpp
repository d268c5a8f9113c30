// State transitions of tasks, units and jobs.

#include "dispatch/run_tracker.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "jobs/job_table.h"

namespace wigeon {

namespace {

// A stop that was not acknowledged is sent again after this time, which allows several attempts within the time for
// cancellations.
constexpr milliseconds stop_retry_pause{400};

// Time for the last state change of an executor to appear in a poll.
constexpr milliseconds stop_confirmation_margin{50};

// Far more starts than executors leave without an answer in that time.
constexpr std::size_t max_refused_runs = 20'000;

bool is_active(const job_run& job)
{
    return !is_final(job.phase);
}

} // namespace

run_tracker::run_tracker(executor_registry& executors, milliseconds stop_limit)
    : registry(executors), max_stop_time(stop_limit)
{
}

job_run* run_tracker::find(std::string_view id)
{
    const auto found = this->jobs_by_id.find(id);
    return found == this->jobs_by_id.end() ? nullptr : &found->second;
}

job_run& run_tracker::add(const std::string& id, const records::Submission& submission, const queue_policy& policy,
                          const records::JobProgress& progress, boot_time now)
{
    const auto [inserted, is_new] = this->jobs_by_id.try_emplace(id, id, submission, policy, now);
    job_run& job = inserted->second;
    if (!is_new)
        return job;
    job.phase = progress.phase();
    job.add_begun_occurrences(progress);
    for (const records::UnitProgress& saved : progress.units())
        this->restore_unit(job, saved, progress, now);
    job.finish_restoring(now);
    this->restore_phase(job, now);
    return job;
}

// The record of the phase may lack the start, since it is appended apart from the records of the units. An end is never
// missing in it while the units show it: it is recorded before the executors drop the last ends.
void run_tracker::restore_phase(job_run& job, boot_time now)
{
    if (!is_active(job)) {
        job.is_end_stored = true;
        job.clear_waiting();
        for (work_unit& unit : job.units) {
            this->stop_unit(job, unit, now);
            if (unit.is_recorded && unit.placed_tasks.empty())
                job.mark_changed(unit);
        }
        return;
    }
    const bool has_begun = !job.finished_occurrences.empty() || std::ranges::any_of(job.units, &work_unit::is_recorded);
    if (job.phase == records::JOB_PHASE_QUEUED && has_begun) {
        job.phase = records::JOB_PHASE_RUNNING;
        job.is_phase_changed = true;
    }
}

void run_tracker::open_due_work(job_run& job, std::uint64_t wall_ms, boot_time now)
{
    if (is_active(job))
        job.open_due_work(wall_ms, now);
}

void run_tracker::restore_unit(job_run& job, const records::UnitProgress& saved, const records::JobProgress& progress,
                               boot_time now)
{
    const work_unit* unit = job.restore_unit(saved, progress, now);
    if (unit == nullptr)
        return;
    const resources per_task = find_task_resources(job.step_of(*unit));
    std::uint32_t task_row = 0;
    for (const placed_task& task : unit->placed_tasks) {
        this->index.add({job.id, unit->row, task_row++, unit->run}, task.executor);
        if (executor* target = this->registry.find(task.executor))
            target->used += per_task;
    }
}

placed_task* run_tracker::find_task(const task_reference& reference, job_run*& job, work_unit*& unit)
{
    job = this->find(reference.job);
    unit = job == nullptr ? nullptr : job->units.find(reference.unit_row);
    if (unit == nullptr)
        return nullptr;
    if (unit->run != reference.run || reference.task_row >= unit->placed_tasks.size())
        return nullptr;
    return &unit->placed_tasks[reference.task_row];
}

void run_tracker::place(job_run& job, std::uint32_t unit_row, std::span<const std::string> executors, boot_time now)
{
    work_unit& unit = job.units[unit_row];
    ++unit.run;
    unit.placed_at = now;
    unit.reserved_on.clear();
    unit.preemption_tried_at.reset();
    unit.is_refusal_logged = false;
    unit.has_awaited_ends = false;
    unit.awaited_runs.clear();
    job.remove_waiting(unit);
    const resources per_task = find_task_resources(job.step_of(unit));
    for (const std::string& id : executors) {
        executor* target = this->registry.find(id);
        target->used += per_task;
        placed_task task;
        task.executor = id;
        task.incarnation_ms = target->entry.incarnation_ms;
        this->index.add({job.id, unit_row, static_cast<std::uint32_t>(unit.placed_tasks.size()), unit.run}, id);
        ++job.unresolved_tasks;
        unit.placed_tasks.push_back(std::move(task));
    }
    if (job.phase == records::JOB_PHASE_QUEUED) {
        job.phase = records::JOB_PHASE_RUNNING;
        job.is_phase_changed = true;
    }
    job.mark_changed(unit);
}

void run_tracker::stop_unit(job_run& job, work_unit& unit, boot_time now)
{
    for (std::size_t row = 0; row < unit.placed_tasks.size(); ++row) {
        this->request_stop(job, unit, unit.placed_tasks[row], now);
        // The unit was settled with the last task.
        if (unit.placed_tasks.empty())
            return;
    }
}

void run_tracker::request_stop(job_run& job, work_unit& unit, placed_task& task, boot_time now)
{
    if (task.phase == task_phase::resolved)
        return;
    task.is_stop_requested = true;
    if (task.phase == task_phase::planned)
        this->resolve(job, unit, task, now);
}

bool run_tracker::mark_ordered(const task_reference& reference, boot_time now)
{
    job_run* job = nullptr;
    work_unit* unit = nullptr;
    placed_task* task = this->find_task(reference, job, unit);
    if (task == nullptr || task->phase != task_phase::planned)
        return false;
    task->phase = task_phase::ordered;
    task->confirmed_at = now;
    return true;
}

void run_tracker::handle_start_answer(const task_reference& reference, start_answer answer, boot_time now)
{
    job_run* job = nullptr;
    work_unit* unit = nullptr;
    placed_task* task = this->find_task(reference, job, unit);
    if (task == nullptr || task->phase == task_phase::resolved)
        return;
    switch (answer) {
    case start_answer::accepted:
        if (task->phase == task_phase::ordered)
            task->phase = task_phase::running;
        task->confirmed_at = now;
        return;
    case start_answer::refused:
    case start_answer::no_capacity:
    case start_answer::ticket_refused:
        if (task->phase == task_phase::ordered)
            this->resolve(*job, *unit, *task, now);
        return;
    case start_answer::unknown:
        task->phase = task_phase::uncertain;
        task->confirmed_at = now;
        this->stop_unit(*job, *unit, now);
        return;
    }
}

void run_tracker::handle_stop_answer(const task_reference& reference, bool is_acknowledged, boot_time now)
{
    job_run* job = nullptr;
    work_unit* unit = nullptr;
    placed_task* task = this->find_task(reference, job, unit);
    if (task == nullptr)
        return;
    task->is_stop_in_flight = false;
    if (is_acknowledged && !task->stop_acknowledged_at)
        task->stop_acknowledged_at = now;
}

bool run_tracker::awaits_stop_confirmation(const task_reference& reference)
{
    job_run* job = nullptr;
    work_unit* unit = nullptr;
    const placed_task* task = this->find_task(reference, job, unit);
    return task != nullptr && task->phase != task_phase::resolved && task->stop_acknowledged_at.has_value();
}

// Frees the task's resources. Settles the unit with its last task; before that, the other tasks of a gang are stopped
// too.
void run_tracker::resolve(job_run& job, work_unit& unit, placed_task& task, boot_time now)
{
    if (task.phase == task_phase::resolved)
        return;
    const auto task_row = static_cast<std::uint32_t>(&task - unit.placed_tasks.data());
    if (task.phase == task_phase::uncertain && !task.is_reported)
        this->note_refused_run(job, unit, task_row, now);
    task.phase = task_phase::resolved;
    --job.unresolved_tasks;
    if (executor* target = this->registry.find(task.executor))
        target->used -= find_task_resources(job.step_of(unit));
    this->index.remove({job.id, unit.row, task_row, unit.run}, task.executor);
    const bool is_settled = std::all_of(unit.placed_tasks.begin(), unit.placed_tasks.end(),
                                        [](const placed_task& other) { return other.phase == task_phase::resolved; });
    if (is_settled) {
        this->settle(job, unit, now);
        return;
    }
    if (!unit.is_done)
        this->stop_unit(job, unit, now);
}

void run_tracker::note_refused_run(const job_run& job, const work_unit& unit, std::uint32_t task_row, boot_time now)
{
    while (!this->refused_runs.empty() && (now - this->refused_runs.front().refused_at > max_late_execution ||
                                           this->refused_runs.size() >= max_refused_runs))
        this->refused_runs.pop_front();
    stop_order stop{{}, unit.placed_tasks[task_row].executor, job.format_task_name(unit, task_row)};
    stop.reference.run = unit.run;
    this->refused_runs.push_back({std::move(stop), now});
}

void run_tracker::stop_refused_runs(std::string_view executor_id, boot_time now)
{
    for (const refused_run& refused : this->refused_runs) {
        if (refused.stop.executor == executor_id && now - refused.refused_at <= max_late_execution)
            this->orphan_stops.push_back(refused.stop);
    }
}

void run_tracker::settle(job_run& job, work_unit& unit, boot_time now)
{
    unit.placed_tasks.clear();
    job.mark_changed(unit);
    if (unit.is_done || !is_active(job))
        return;
    job.add_waiting(unit, now);
}

void run_tracker::finish_unit(job_run& job, work_unit& unit, boot_time now)
{
    if (unit.is_done)
        return;
    job.mark_changed(unit);
    if (!job.finish(unit))
        return;
    if (is_active(job))
        job.mark_ready_steps(job.steps[unit.step_row].occurrence, now);
    if (job.is_complete() && is_active(job))
        this->end_job(job, records::JOB_PHASE_COMPLETED, now);
}

void run_tracker::end_job(job_run& job, records::JobPhase phase, boot_time now)
{
    job.phase = phase;
    job.is_phase_changed = true;
    job.clear_waiting();
    for (work_unit& unit : job.units) {
        if (!unit.is_done)
            this->stop_unit(job, unit, now);
    }
}

void run_tracker::cancel(std::string_view id, boot_time now)
{
    job_run* job = this->find(id);
    if (job != nullptr && is_active(*job))
        this->end_job(*job, records::JOB_PHASE_CANCELLED, now);
}

void run_tracker::record_failure(job_run& job, work_unit& unit, executor& source, boot_time now)
{
    if (unit.counted_run == unit.run || unit.is_done)
        return;
    unit.counted_run = unit.run;
    unit.failed_on.insert(source.entry.id);
    job.mark_changed(unit);
    if (job.step_of(unit).lasting())
        return;
    ++unit.failures;
    if (unit.failures >= job.policy.max_attempts && is_active(job))
        this->end_job(job, records::JOB_PHASE_FAILED, now);
}

void run_tracker::apply_task_end(executor& source, const ended_task& ended, boot_time now)
{
    const auto name = parse_task_name(ended.task);
    if (!name)
        return;
    job_run* job = this->find(name->job);
    if (job == nullptr)
        return;
    std::uint32_t task_row = 0;
    work_unit* unit = job->find_unit(name->position, task_row);
    if (unit == nullptr)
        return;
    const bool is_lasting = job->step_of(*unit).lasting();
    if (ended.outcome == run_outcome::done && !is_lasting) {
        source.health.record_success();
        const bool was_done = unit->is_done;
        this->finish_unit(*job, *unit, now);
        // The end of an earlier run may be reported only now; the current run is then no longer needed.
        if (!was_done && ended.run != unit->run)
            this->stop_unit(*job, *unit, now);
    }
    if (ended.run != unit->run || task_row >= unit->placed_tasks.size())
        return;
    placed_task& task = unit->placed_tasks[task_row];
    if (task.executor != source.entry.id || task.phase == task_phase::resolved)
        return;
    if (!ended.checkpoint.empty() && ended.outcome != run_outcome::done)
        unit->set_checkpoint(ended.checkpoint, now);
    if (ended.outcome == run_outcome::failed) {
        source.health.record_failure(now - unit->placed_at, milliseconds(job->step_of(*unit).estimate_ms()), now);
        this->record_failure(*job, *unit, source, now);
    }
    if (!unit->placed_tasks.empty())
        this->resolve(*job, *unit, unit->placed_tasks[task_row], now);
}

std::optional<task_reference> run_tracker::apply_running_task(const executor& source, const running_task& reported,
                                                              std::uint64_t incarnation_ms, boot_time sent_at,
                                                              boot_time now)
{
    const auto name = parse_task_name(reported.task);
    job_run* job = name ? this->find(name->job) : nullptr;
    std::uint32_t task_row = 0;
    work_unit* unit = job != nullptr ? job->find_unit(name->position, task_row) : nullptr;
    const bool is_known = unit != nullptr && unit->run == reported.run && task_row < unit->placed_tasks.size() &&
                          unit->placed_tasks[task_row].executor == source.entry.id &&
                          unit->placed_tasks[task_row].phase != task_phase::resolved;
    if (!is_known) {
        // A stop of a run that has ended in the meantime does no harm.
        stop_order orphan{{}, source.entry.id, reported.task};
        orphan.reference.run = reported.run;
        this->orphan_stops.push_back(std::move(orphan));
        return std::nullopt;
    }
    placed_task& task = unit->placed_tasks[task_row];
    task.incarnation_ms = incarnation_ms;
    task.is_reported = true;
    task.progress.update(reported.percent, now);
    if (task.phase != task_phase::planned)
        task.phase = task_phase::running;
    task.confirmed_at = std::max(task.confirmed_at, sent_at);
    if (!reported.checkpoint.empty())
        unit->set_checkpoint(reported.checkpoint, now);
    const task_reference running_reference{job->id, unit->row, task_row, reported.run};
    if (!is_active(*job))
        this->request_stop(*job, *unit, task, now);
    return running_reference;
}

void run_tracker::apply_poll_report(executor& source, const poll_report& report, boot_time sent_at, boot_time now)
{
    for (const ended_task& ended : report.ended) {
        if (ended.sequence > source.last_end_seen)
            this->apply_task_end(source, ended, now);
    }
    std::vector<task_reference> running;
    for (const running_task& reported : report.running) {
        auto known = this->apply_running_task(source, reported, report.incarnation_ms, sent_at, now);
        if (known)
            running.push_back(std::move(*known));
    }
    std::sort(running.begin(), running.end());
    this->registry.apply_poll_report(source, report, sent_at, now);
    // A task that is not listed may be one whose end was left out.
    if (!report.may_omit_ends)
        this->stop_missing_tasks(source, running, sent_at, now);
}

// Handles the tasks that a complete report lists neither as running nor as ended. `running` is sorted.
void run_tracker::stop_missing_tasks(const executor& source, std::span<const task_reference> running, boot_time sent_at,
                                     boot_time now)
{
    for (const task_reference& reference : this->copy_tasks_on(source.entry.id)) {
        job_run* job = nullptr;
        work_unit* unit = nullptr;
        placed_task* task = this->find_task(reference, job, unit);
        if (task == nullptr || task->phase == task_phase::planned || task->phase == task_phase::resolved)
            continue;
        const bool is_reported = std::binary_search(running.begin(), running.end(), reference);
        if (is_reported || task->phase == task_phase::ordered)
            continue;
        // After an acknowledged stop, no start order in flight can start the task any more.
        if (task->stop_acknowledged_at &&
            sent_at > *task->stop_acknowledged_at + this->max_stop_time + stop_confirmation_margin)
            this->resolve(*job, *unit, *task, now);
        else if (sent_at > task->confirmed_at)
            this->stop_unit(*job, *unit, now);
    }
}

void run_tracker::resolve_previous_incarnations(std::string_view executor_id, std::uint64_t new_incarnation_ms,
                                                boot_time now)
{
    this->stop_refused_runs(executor_id, now);
    for (const task_reference& reference : this->copy_tasks_on(executor_id)) {
        job_run* job = nullptr;
        work_unit* unit = nullptr;
        placed_task* task = this->find_task(reference, job, unit);
        if (task == nullptr || task->incarnation_ms >= new_incarnation_ms)
            continue;
        if (task->is_reported) {
            this->resolve(*job, *unit, *task, now);
            continue;
        }
        // The order may have reached the new incarnation or may still reach it; its answer or a poll will tell. A stop
        // that the former incarnation acknowledged does not count for the new one.
        task->incarnation_ms = new_incarnation_ms;
        task->stop_acknowledged_at.reset();
        task->stop_sent_at.reset();
        executor_registry::expect_former_orders(*this->registry.find(executor_id), now);
    }
}

void run_tracker::resolve_ended(boot_time now)
{
    const auto unknown_count =
        std::count_if(this->index.all().begin(), this->index.all().end(), [this](const auto& entry) {
            return !entry.second.empty() && this->registry.find(entry.first) == nullptr;
        });
    this->registry.observe_reached(static_cast<std::size_t>(unknown_count), now);
    std::vector<std::string> ended;
    for (const auto& [id, references] : this->index.all()) {
        if (!references.empty() && (this->registry.is_replaced(id) || this->registry.has_lease_expired(id, now)))
            ended.push_back(id);
    }
    for (const std::string& id : ended) {
        // An order that is on its way reaches no other process than the one that it names.
        const bool is_replaced = this->registry.is_replaced(id);
        for (const task_reference& reference : this->copy_tasks_on(id)) {
            job_run* job = nullptr;
            work_unit* unit = nullptr;
            placed_task* task = this->find_task(reference, job, unit);
            if (task == nullptr)
                continue;
            if (is_replaced || (task->phase != task_phase::planned && task->phase != task_phase::ordered))
                this->resolve(*job, *unit, *task, now);
        }
    }
}

std::vector<stop_order> run_tracker::collect_stops(boot_time now, std::size_t limit)
{
    const auto orphans_end =
        this->orphan_stops.begin() + static_cast<std::ptrdiff_t>(std::min(limit, this->orphan_stops.size()));
    std::vector<stop_order> orders(std::make_move_iterator(this->orphan_stops.begin()),
                                   std::make_move_iterator(orphans_end));
    this->orphan_stops.erase(this->orphan_stops.begin(), orphans_end);
    for (const auto& [executor_id, references] : this->index.all()) {
        for (const task_reference& reference : references) {
            if (orders.size() >= limit)
                return orders;
            job_run* job = nullptr;
            work_unit* unit = nullptr;
            placed_task* task = this->find_task(reference, job, unit);
            if (task == nullptr || !task->is_stop_requested || task->is_stop_in_flight || task->stop_acknowledged_at)
                continue;
            if (task->phase == task_phase::planned || task->phase == task_phase::resolved)
                continue;
            if (task->stop_sent_at && now - *task->stop_sent_at < stop_retry_pause)
                continue;
            task->is_stop_in_flight = true;
            task->stop_sent_at = now;
            orders.push_back({reference, executor_id, job->format_task_name(*unit, reference.task_row)});
        }
    }
    return orders;
}

void run_tracker::forget_ended_jobs()
{
    std::erase_if(this->jobs_by_id, [](const auto& entry) {
        const job_run& job = entry.second;
        return is_final(job.phase) && job.is_end_stored && !job.is_changed() && !job.has_records_to_remove() &&
               job.unresolved_tasks == 0;
    });
}

resources run_tracker::sum_used(std::string_view executor_id) const
{
    resources used;
    for (const task_reference& reference : this->tasks_on(executor_id)) {
        const job_run& job = this->jobs_by_id.find(reference.job)->second;
        used += find_task_resources(job.step_of(job.units[reference.unit_row]));
    }
    return used;
}

std::vector<task_reference> run_tracker::copy_tasks_on(std::string_view executor_id) const
{
    const auto tasks = this->tasks_on(executor_id);
    return {tasks.begin(), tasks.end()};
}

} // namespace wigeon
