// A job as the leader runs it: its steps, their units of work, and the placed tasks of each unit's current run.

#pragma once

#include <algorithm>
#include <cstdint>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <vector>

#include <boost/icl/interval_set.hpp>

#include "base/time.h"
#include "dispatch/executor_health.h"
#include "dispatch/orders.h"
#include "dispatch/resources.h"
#include "dispatch/row_blocks.h"
#include "jobs.pb.h"
#include "jobs/fleet_policy.h"
#include "jobs/job_keys.h"

namespace wigeon {

enum class task_phase : std::uint8_t {
    planned,   // The placement is not in the store yet; nothing was sent.
    ordered,   // The start was sent and has no answer yet.
    running,   // Confirmed by an answer or a poll.
    uncertain, // May run, or may be started later by an order in flight.
    resolved,  // Does not run and never will under this run number.
};

// One task of a unit's current run.
struct placed_task {
    std::string executor;
    std::uint64_t incarnation_ms = 0; // The incarnation of the executor that was chosen, or that runs it.
    bool is_reported = false;         // A poll of that incarnation has reported it.
    std::string ticket;               // From the advisor, for the start.
    task_phase phase = task_phase::planned;
    boot_time confirmed_at; // Polls sent before this need not report the task.
    bool is_stop_requested = false;
    bool is_stop_in_flight = false;
    std::optional<boot_time> stop_sent_at;
    std::optional<boot_time> stop_acknowledged_at; // From then on no start order in flight can start the task.
    task_progress progress;
};

// A run of another unit whose end is awaited.
struct awaited_run {
    std::string job;
    std::uint32_t unit_row = 0;
    std::uint32_t run = 0;
};

// One task, or all tasks of a gang: placed, run, failed and retried as one.
struct work_unit {
    std::uint32_t row = 0;      // In job_run::units.
    std::uint32_t step_row = 0; // Row of job_run::steps.
    std::uint32_t first_task = 0;
    std::uint32_t task_count = 1;
    std::uint32_t run = 0; // The highest run number assigned; never reused.
    std::uint32_t failures = 0;
    bool is_done = false;
    bool is_changed = false;       // Listed in job_run::changed_units.
    bool is_recorded = false;      // The topic of units has a record of it.
    std::uint32_t counted_run = 0; // The last run whose failure is in `failures`.
    std::string checkpoint;
    std::optional<boot_time> checkpoint_changed_at; // When a poll or an end last brought a new one.
    std::vector<placed_task> placed_tasks;          // One per task from placement until all are resolved; else empty.
    boot_time waiting_since;
    boot_time placed_at;
    std::set<std::string, std::less<>> failed_on; // Executors on which it failed.
    std::vector<std::string> reserved_on;         // Executors reserved for it, one per task; empty: none.
    boot_time reserved_at;
    std::optional<boot_time> preemption_tried_at; // When preemption was last planned for it.
    bool is_refusal_logged = false;               // Of preemption for it, while it waits.
    bool was_preempted = false;                   // In this leader's term.
    std::vector<awaited_run> awaited_runs;        // The reservation is kept while these are ending,
    boot_time awaited_until;                      // and at most until then.
    boot_time awaited_seen_at;                    // When one of them was last seen running.
    bool has_awaited_ends = false;                // A reservation without stops was tried, while it waits.

    void set_checkpoint(const std::string& newest, boot_time now)
    {
        if (this->checkpoint == newest)
            return;
        this->checkpoint = newest;
        this->checkpoint_changed_at = now;
    }
};

// One occurrence of a step.
struct step_run {
    std::uint32_t row = 0; // In job_run::steps.
    std::uint32_t occurrence = 0;
    std::uint32_t step = 0;
    std::uint32_t first_unit = 0;       // Row of its first unit.
    std::uint32_t unit_count = 0;       // At least 1.
    std::uint32_t units_left = 0;       // Units that are not done.
    bool is_ready = false;              // The steps that it depends on are done.
    bool is_open = false;               // Its units exist.
    std::vector<std::uint32_t> waiting; // Units to be placed, when ready.
};

// What one job holds open at a time, apart from the units of the step that reaches the limit.
constexpr std::size_t max_waiting_units = 1'000;     // Not placed; each step has an equal part.
constexpr std::size_t max_unfinished_units = 10'000; // Waiting or placed.
constexpr std::size_t max_open_steps = 20'000;       // Of occurrences that are not finished.

// Occurrences are added when they are due, and the units of a step once the steps before it are done; both in order and
// only as far as the limits allow. A finished occurrence keeps no steps and units. So a job's memory, and the cost of a
// round, depend on the work that is open and not on all the work that the job consists of.
//
// Invariant: a row number belongs to the same unit, or step, throughout the job's life.
struct job_run {
    std::string id;
    records::Submission submission;
    queue_policy policy;
    boot_time arrived_at;
    row_blocks<step_run> steps;  // A block of each occurrence that was added and is not finished.
    row_blocks<work_unit> units; // A block of each open step.
    std::uint32_t occurrences_added = 0;
    boost::icl::interval_set<std::uint32_t> finished_occurrences; // Each of their units has a record that it is done.
    records::JobPhase phase = records::JOB_PHASE_QUEUED;
    std::vector<std::uint32_t> changed_units; // Rows of the units that changed since their last record, each once.
    bool is_phase_changed = false;            // Since the last record of the phase.
    bool is_end_stored = false;               // The store has the record of the job's final phase.
    std::size_t unresolved_tasks = 0;         // Placed tasks that are not resolved.
    std::uint32_t preemptions = 0;            // Stops of its units for other work, in this leader's term.

    job_run(std::string job_id, const records::Submission& accepted, const queue_policy& queue, boot_time now);

    [[nodiscard]] const records::Step& step_of(const work_unit& unit) const
    {
        return this->submission.steps(static_cast<int>(this->steps[unit.step_row].step));
    }

    // The units of the step; none if it is not open.
    [[nodiscard]] std::span<const work_unit> units_of(const step_run& step) const
    {
        return this->units.block(step.first_unit);
    }

    // Adds the steps of an occurrence.
    void add_occurrence(std::uint32_t occurrence);

    // Adds the occurrences of which the progress has units, and the only one of a job that runs once.
    void add_begun_occurrences(const records::JobProgress& progress);

    // Adds the occurrences that are due by the wall clock, and opens ready steps, as far as the limits allow.
    void open_due_work(std::uint64_t wall_ms, boot_time now);

    // Marks the steps whose earlier steps are done as ready, and opens them as far as the limits allow.
    void mark_ready_steps(std::uint32_t occurrence, boot_time now);

    // The unit waits for placement, or no longer does.
    void add_waiting(work_unit& unit, boot_time now);
    void remove_waiting(const work_unit& unit);
    void clear_waiting();

    // Counts the unit as done. Returns true if it was the last one of its step.
    bool finish(work_unit& unit);

    // Whether all units of all occurrences are done.
    [[nodiscard]] bool is_complete() const
    {
        return this->occurrences_added >= this->occurrence_count() && this->unfinished_steps == 0;
    }

    // Drops the steps and units of occurrences whose units are all done, resolved and recorded.
    void drop_finished_occurrences();

    // Restores what a former leader recorded of a unit. Its placed tasks are uncertain. Returns null if the job has no
    // such unit.
    work_unit* restore_unit(const records::UnitProgress& saved, const records::JobProgress& progress, boot_time now);

    // Called when all units are restored.
    void finish_restoring(boot_time now);

    // Returns the unit that holds the task, and sets `task_row` to the task's row in that unit; null if the job has no
    // such task, or its step is not open.
    work_unit* find_unit(const task_position& position, std::uint32_t& task_row);

    [[nodiscard]] std::string format_task_name(const work_unit& unit, std::uint32_t task_row) const;

    // Appends the start orders that may be sent once the current record of the job, or of the unit, is in the store.
    void collect_planned_starts(std::vector<start_order>& orders) const;
    void collect_planned_starts(const work_unit& unit, std::vector<start_order>& orders) const;

    void mark_changed(work_unit& unit);
    [[nodiscard]] bool is_changed() const { return this->is_phase_changed || !this->changed_units.empty(); }

    // Whether records of units are left in the store that a job whose end is stored does not need.
    [[nodiscard]] bool has_records_to_remove() const
    {
        return !this->changed_units.empty() || !this->finished_occurrences.empty();
    }

    // Removes a finished occurrence and returns the keys of its units' records; none if there is no such occurrence.
    std::vector<std::string> take_finished_keys();

    // Returns a changed unit and counts it as recorded. There must be one.
    work_unit& take_changed_unit();

    // Returns the rows of the changed units and counts them, and the phase, as recorded.
    std::vector<std::uint32_t> take_changes();

    // The records from which a later leader restores the job's progress: one for the whole job, or one for each unit.
    [[nodiscard]] records::JobProgress make_record() const;
    [[nodiscard]] records::UnitRecord make_unit_record(const work_unit& unit) const;
    [[nodiscard]] std::string make_unit_key(const work_unit& unit) const;

    [[nodiscard]] std::uint32_t occurrence_count() const { return std::max(1U, this->submission.occurrences()); }

private:
    // The steps of the occurrence; none if it was not added or is finished.
    [[nodiscard]] std::span<step_run> steps_of(std::uint32_t occurrence);
    [[nodiscard]] bool may_open(std::size_t step) const;
    [[nodiscard]] bool may_add_occurrence() const;
    void open_step(step_run& step);
    void enqueue_units(step_run& step, boot_time now);
    void open_ready_steps(boot_time now);

    // All occurrences of one step.
    struct step_queue {
        std::uint32_t first_unit = 0;     // Counted from the first unit of an occurrence.
        std::vector<std::uint32_t> ready; // Rows of ready steps that are not open, in the order of opening.
        std::size_t waiting_units = 0;    // In the lists of the open ones.
    };

    std::vector<step_queue> step_queues; // By step of the submission.
    std::uint32_t units_per_occurrence = 0;
    std::vector<std::uint32_t> completed; // Occurrences whose units are all done.
    std::size_t unfinished_steps = 0;     // With units that are not done.
    std::size_t unfinished_units = 0;     // Of open steps, not done.
};

inline resources find_task_resources(const records::Step& step)
{
    return {static_cast<std::int64_t>(step.cpu_millicores()), static_cast<std::int64_t>(step.memory_mb()),
            static_cast<std::int64_t>(step.accelerators())};
}

} // namespace wigeon
