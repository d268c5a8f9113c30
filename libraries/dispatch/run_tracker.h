// The ledger of runs: what each answer of an executor means for the units of work. It alone moves members, units and
// jobs from state to state, and keeps the executors' used room.
//
// What it upholds: a unit has no second run while a member of the last one is unresolved; a run number is given out
// once; a unit that is done is never placed again; a failure counts once a run.

#pragma once

#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "dispatch/executor_registry.h"
#include "dispatch/job_run.h"
#include "dispatch/orders.h"
#include "jobs/job_keys.h"

namespace wigeon {

class run_tracker {
public:
    run_tracker(executor_registry& registry, milliseconds max_stop_time);

    // Adds a job that was accepted; `progress` is what its former leader recorded.
    job_run& add(const std::string& id, const records::Submission& submission, const queue_policy& policy,
                 const records::JobProgress& progress, boot_time now);
    void cancel(std::string_view id, boot_time now);

    // Makes the units of occurrences that are due by the wall clock.
    void add_due_occurrences(job_run& job, std::uint64_t wall_ms, boot_time now);

    void place(job_run& job, std::uint32_t unit_row, std::span<const std::string> executors, boot_time now);

    // Asks for the end of a unit's run, so that it waits again.
    void stop_unit(job_run& job, work_unit& unit, boot_time now);

    // The placement is in the store. False when the run is not wanted any more; it then counts as never started.
    bool mark_ordered(const task_reference& reference, boot_time now);

    void handle_start_answer(const task_reference& reference, start_answer answer, boot_time now);
    void handle_stop_answer(const task_reference& reference, bool is_acknowledged, boot_time now);
    // The member was stopped, and neither an end nor a look has said yet that it is gone.
    bool awaits_stop_confirmation(const task_reference& reference);
    void apply_poll_report(executor& source, const poll_report& report, boot_time sent_at, boot_time now);

    // A life of an executor has certainly ended; resolves the members that it was seen to run.
    void resolve_previous_incarnations(std::string_view executor_id, std::uint64_t new_incarnation_ms, boot_time now);
    void resolve_expired(boot_time now);

    // Stops to send now; marks them as on their way.
    std::vector<stop_order> collect_stops(boot_time now);

    [[nodiscard]] std::map<std::string, job_run, std::less<>>& jobs() { return this->jobs_by_id; }
    [[nodiscard]] const std::map<std::string, job_run, std::less<>>& jobs() const { return this->jobs_by_id; }
    job_run* find(std::string_view id);

    // Forgets jobs that are final, recorded, and have nothing unresolved.
    void forget_ended_jobs();

    [[nodiscard]] bool has_tasks_on(std::string_view executor_id) const;

    // Members on the executor that are not resolved; for the bound of tasks on one executor.
    [[nodiscard]] std::span<const task_reference> tasks_on(std::string_view executor_id) const;

    // What these members take.
    [[nodiscard]] resources sum_used(std::string_view executor_id) const;

private:
    void restore_unit(job_run& job, const records::UnitProgress& saved, const records::JobProgress& progress,
                      boot_time now);
    placed_task* find_task(const task_reference& reference, job_run*& job, work_unit*& unit);
    void apply_task_end(executor& source, const ended_task& ended, boot_time now);
    std::optional<task_reference> apply_running_task(const executor& source, const running_task& reported,
                                                     std::uint64_t incarnation_ms, boot_time sent_at, boot_time now);
    void record_failure(job_run& job, work_unit& unit, executor& source, boot_time now);
    void finish_unit(job_run& job, work_unit& unit, boot_time now);
    void end_job(job_run& job, records::JobPhase phase, boot_time now);
    void resolve(job_run& job, work_unit& unit, placed_task& task, boot_time now);
    void request_stop(job_run& job, work_unit& unit, placed_task& task, boot_time now);
    void settle(job_run& job, work_unit& unit, boot_time now);
    void index_task(const task_reference& reference, const std::string& executor_id);

    executor_registry& registry;
    milliseconds max_stop_time; // What a stop takes at most on an executor.
    std::map<std::string, job_run, std::less<>> jobs_by_id;
    std::map<std::string, std::vector<task_reference>, std::less<>> tasks_by_executor; // Not resolved.
    std::vector<stop_order> orphan_stops; // Tasks that run without being known here.
};

} // namespace wigeon
