// Tracks the runs of jobs: applies the answers of executors to the state of tasks, units and jobs. No other class
// changes these states or the resources counted as used on the executors.
//
// Invariants: a unit has no second run while a task of the last one is unresolved; a run number is assigned once; a
// unit that is done is never placed again; a failure counts once per run.

#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <limits>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "dispatch/executor_registry.h"
#include "dispatch/job_run.h"
#include "dispatch/orders.h"
#include "dispatch/task_index.h"
#include "jobs/job_keys.h"

namespace wigeon {

class run_tracker {
public:
    run_tracker(executor_registry& registry, milliseconds max_stop_time);

    // Adds an accepted job; `progress` is what a former leader recorded about it.
    job_run& add(const std::string& id, const records::Submission& submission, const queue_policy& policy,
                 const records::JobProgress& progress, boot_time now);
    void cancel(std::string_view id, boot_time now);

    // Adds the occurrences that are due by the wall clock, and opens ready steps, as far as the job's limits allow.
    void open_due_work(job_run& job, std::uint64_t wall_ms, boot_time now);

    void place(job_run& job, std::uint32_t unit_row, std::span<const std::string> executors, boot_time now);

    // Requests a stop of the unit's run. The unit waits for placement again when all tasks are resolved.
    void stop_unit(job_run& job, work_unit& unit, boot_time now);

    // Called when the placement is in the store, before the start is sent. False if the run is no longer wanted; it
    // then counts as never started.
    bool mark_ordered(const task_reference& reference, boot_time now);

    void handle_start_answer(const task_reference& reference, start_answer answer, boot_time now);
    void handle_stop_answer(const task_reference& reference, bool is_acknowledged, boot_time now);
    // Whether the stop was acknowledged, but neither an end nor a poll has confirmed yet that the task is gone.
    bool awaits_stop_confirmation(const task_reference& reference);
    void apply_poll_report(executor& source, const poll_report& report, boot_time sent_at, boot_time now);

    // Called when the incarnations of an executor before `new_incarnation_ms` have certainly ended. Resolves the tasks
    // that they were reported to run. The start of any other task may still reach the new incarnation. Stops there the
    // runs that a former one has refused for good, since the new one doesn't know that.
    void resolve_previous_incarnations(std::string_view executor_id, std::uint64_t new_incarnation_ms, boot_time now);
    // Resolves the tasks on executors whose process has been replaced or whose lease has expired.
    void resolve_ended(boot_time now);

    // Returns the stops to send now, at most `limit`, and marks them as in flight.
    std::vector<stop_order> collect_stops(boot_time now, std::size_t limit = std::numeric_limits<std::size_t>::max());

    [[nodiscard]] std::map<std::string, job_run, std::less<>>& jobs() { return this->jobs_by_id; }
    [[nodiscard]] const std::map<std::string, job_run, std::less<>>& jobs() const { return this->jobs_by_id; }
    job_run* find(std::string_view id);

    // Removes jobs that are final, recorded, and have no unresolved tasks.
    void forget_ended_jobs();

    [[nodiscard]] bool has_tasks_on(std::string_view executor_id) const { return !this->tasks_on(executor_id).empty(); }

    // Unresolved tasks on the executor.
    [[nodiscard]] std::span<const task_reference> tasks_on(std::string_view executor_id) const
    {
        return this->index.tasks_on(executor_id);
    }

    [[nodiscard]] const task_index& unresolved_tasks() const { return this->index; }

    // Resources of these tasks.
    [[nodiscard]] resources sum_used(std::string_view executor_id) const;

private:
    void restore_unit(job_run& job, const records::UnitProgress& saved, const records::JobProgress& progress,
                      boot_time now);
    void restore_phase(job_run& job, boot_time now);
    placed_task* find_task(const task_reference& reference, job_run*& job, work_unit*& unit);
    void apply_task_end(executor& source, const ended_task& ended, boot_time now);
    std::optional<task_reference> apply_running_task(const executor& source, const running_task& reported,
                                                     std::uint64_t incarnation_ms, boot_time sent_at, boot_time now);
    void stop_missing_tasks(const executor& source, std::span<const task_reference> running, boot_time sent_at,
                            boot_time now);
    void record_failure(job_run& job, work_unit& unit, executor& source, boot_time now);
    void finish_unit(job_run& job, work_unit& unit, boot_time now);
    void end_job(job_run& job, records::JobPhase phase, boot_time now);
    void resolve(job_run& job, work_unit& unit, placed_task& task, boot_time now);
    void request_stop(job_run& job, work_unit& unit, placed_task& task, boot_time now);
    void settle(job_run& job, work_unit& unit, boot_time now);
    // For loops that resolve tasks, which changes the index.
    [[nodiscard]] std::vector<task_reference> copy_tasks_on(std::string_view executor_id) const;

    executor_registry& registry;
    milliseconds max_stop_time; // Longest time that an executor takes for a stop.
    std::map<std::string, job_run, std::less<>> jobs_by_id;
    task_index index;
    // A run that was resolved although its start may still be carried out: the executor's current incarnation refuses
    // it, a later one would begin it.
    struct refused_run {
        stop_order stop;
        boot_time refused_at;
    };

    void note_refused_run(const job_run& job, const work_unit& unit, std::uint32_t task_row, boot_time now);
    void stop_refused_runs(std::string_view executor_id, boot_time now);

    std::vector<stop_order> orphan_stops; // For tasks that run without being known here.
    std::deque<refused_run> refused_runs; // Oldest first; none older than max_late_execution.
};

} // namespace wigeon
