// Creates the units of a job from its steps, finds those that may be placed, and makes the record of the job's
// progress.

#include "dispatch/job_run.h"

#include <map>
#include <utility>

namespace wigeon {

void job_run::add_occurrence(std::uint32_t occurrence, boot_time now)
{
    for (int row = 0; row < this->submission.steps_size(); ++row) {
        const records::Step& step = this->submission.steps(row);
        step_run added;
        added.occurrence = occurrence;
        added.step = static_cast<std::uint32_t>(row);
        const std::uint32_t tasks = std::max(1U, step.count());
        added.units_left = step.gang() ? 1 : tasks;
        const auto step_row = static_cast<std::uint32_t>(this->steps.size());
        for (std::uint32_t index = 0; index < added.units_left; ++index) {
            work_unit unit;
            unit.step_row = step_row;
            unit.first_task = index;
            unit.task_count = step.gang() ? tasks : 1;
            unit.waiting_since = now;
            this->units.push_back(std::move(unit));
        }
        this->steps.push_back(std::move(added));
    }
    this->occurrences_added = occurrence + 1;
}

void job_run::mark_ready_steps(std::uint32_t occurrence, boot_time now)
{
    const auto is_step_done = [this, occurrence](std::uint32_t step) {
        return std::any_of(this->steps.begin(), this->steps.end(), [&](const step_run& other) {
            return other.occurrence == occurrence && other.step == step && other.units_left == 0;
        });
    };
    for (std::uint32_t row = 0; row < this->steps.size(); ++row) {
        step_run& step = this->steps[row];
        if (step.is_ready || step.occurrence != occurrence)
            continue;
        const auto& needed = this->submission.steps(static_cast<int>(step.step)).after();
        if (!std::all_of(needed.begin(), needed.end(), is_step_done))
            continue;
        step.is_ready = true;
        for (std::uint32_t unit_row = 0; unit_row < this->units.size(); ++unit_row) {
            work_unit& unit = this->units[unit_row];
            if (unit.step_row != row || unit.is_done || !unit.placed_tasks.empty())
                continue;
            unit.waiting_since = now;
            step.waiting.push_back(unit_row);
        }
    }
}

work_unit* job_run::find_unit(const task_position& position, std::uint32_t& task_row)
{
    for (work_unit& unit : this->units) {
        const step_run& step = this->steps[unit.step_row];
        if (step.occurrence != position.occurrence || step.step != position.step)
            continue;
        if (position.index < unit.first_task || position.index >= unit.first_task + unit.task_count)
            continue;
        task_row = position.index - unit.first_task;
        return &unit;
    }
    return nullptr;
}

namespace {

// Rows of the executors' incarnations in a record.
class incarnation_rows {
public:
    // Returns the row of the task's executor; adds it to `executors` when it has none.
    std::uint32_t find_or_add(const placed_task& task,
                              google::protobuf::RepeatedPtrField<records::ExecutorLife>& executors)
    {
        const auto [inserted, is_new] =
            this->rows.try_emplace({task.executor, task.incarnation_ms}, static_cast<std::uint32_t>(this->rows.size()));
        if (is_new) {
            records::ExecutorLife& incarnation = *executors.Add();
            incarnation.set_id(task.executor);
            incarnation.set_born_ms(task.incarnation_ms);
        }
        return inserted->second;
    }

private:
    std::map<std::pair<std::string, std::uint64_t>, std::uint32_t> rows;
};

// Fills in what a record says of a unit, apart from its position and its executors.
void record_unit(const work_unit& unit, records::UnitProgress& saved)
{
    saved.set_done(unit.is_done);
    saved.set_run(unit.run);
    saved.set_failures(unit.failures);
    saved.set_counted_run(unit.counted_run);
    if (!unit.is_done)
        saved.set_checkpoint(unit.checkpoint);
}

} // namespace

void job_run::mark_changed(work_unit& unit)
{
    if (!std::exchange(unit.is_changed, true))
        this->changed_units.push_back(this->row_of(unit));
}

std::vector<std::uint32_t> job_run::take_changes()
{
    this->is_phase_changed = false;
    std::vector<std::uint32_t> changed = std::move(this->changed_units);
    this->changed_units.clear();
    for (const std::uint32_t row : changed)
        this->units[row].is_changed = false;
    return changed;
}

records::JobProgress job_run::make_record() const
{
    records::JobProgress record;
    record.set_phase(this->phase);
    incarnation_rows rows;
    for (const work_unit& unit : this->units) {
        if (unit.run == 0)
            continue;
        records::UnitProgress& saved = *record.add_units();
        saved.set_occurrence(this->steps[unit.step_row].occurrence);
        saved.set_step(this->steps[unit.step_row].step);
        saved.set_first_task(unit.first_task);
        record_unit(unit, saved);
        if (unit.is_done)
            continue;
        for (const placed_task& task : unit.placed_tasks)
            saved.add_placed_on(rows.find_or_add(task, *record.mutable_executors()));
    }
    return record;
}

records::UnitRecord job_run::make_unit_record(const work_unit& unit) const
{
    records::UnitRecord record;
    records::UnitProgress& saved = *record.mutable_progress();
    if (unit.is_done) {
        saved.set_done(true);
        return record;
    }
    record_unit(unit, saved);
    incarnation_rows rows;
    for (const placed_task& task : unit.placed_tasks)
        saved.add_placed_on(rows.find_or_add(task, *record.mutable_executors()));
    return record;
}

std::string job_run::make_unit_key(const work_unit& unit) const
{
    const step_run& step = this->steps[unit.step_row];
    return make_task_name(this->id, {step.occurrence, step.step, unit.first_task});
}

void job_run::collect_planned_starts(const work_unit& unit, std::vector<start_order>& orders) const
{
    const step_run& step = this->steps[unit.step_row];
    for (std::uint32_t row = 0; row < unit.placed_tasks.size(); ++row) {
        const placed_task& task = unit.placed_tasks[row];
        if (task.phase != task_phase::planned)
            continue;
        orders.push_back({{this->id, this->row_of(unit), row, unit.run},
                          task.executor,
                          task.incarnation_ms,
                          make_task_name(this->id, {step.occurrence, step.step, unit.first_task + row}),
                          this->submission.payload(),
                          unit.checkpoint,
                          task.ticket});
    }
}

void job_run::collect_planned_starts(std::vector<start_order>& orders) const
{
    for (const work_unit& unit : this->units)
        this->collect_planned_starts(unit, orders);
}

} // namespace wigeon
