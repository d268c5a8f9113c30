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

records::JobProgress job_run::make_record() const
{
    records::JobProgress record;
    record.set_phase(this->phase);
    std::map<std::pair<std::string, std::uint64_t>, std::uint32_t> rows;
    for (const work_unit& unit : this->units) {
        if (unit.run == 0)
            continue;
        records::UnitProgress& saved = *record.add_units();
        saved.set_occurrence(this->steps[unit.step_row].occurrence);
        saved.set_step(this->steps[unit.step_row].step);
        saved.set_first_task(unit.first_task);
        saved.set_run(unit.run);
        saved.set_failures(unit.failures);
        saved.set_counted_run(unit.counted_run);
        saved.set_done(unit.is_done);
        if (unit.is_done)
            continue;
        saved.set_checkpoint(unit.checkpoint);
        for (const placed_task& task : unit.placed_tasks) {
            const auto [inserted, is_new] =
                rows.try_emplace({task.executor, task.incarnation_ms}, static_cast<std::uint32_t>(rows.size()));
            if (is_new) {
                records::ExecutorLife& incarnation = *record.add_executors();
                incarnation.set_id(task.executor);
                incarnation.set_born_ms(task.incarnation_ms);
            }
            saved.add_placed_on(inserted->second);
        }
    }
    return record;
}

void job_run::collect_planned_starts(std::vector<start_order>& orders) const
{
    for (std::uint32_t unit_row = 0; unit_row < this->units.size(); ++unit_row) {
        const work_unit& unit = this->units[unit_row];
        for (std::uint32_t row = 0; row < unit.placed_tasks.size(); ++row) {
            const placed_task& task = unit.placed_tasks[row];
            if (task.phase != task_phase::planned)
                continue;
            const step_run& step = this->steps[unit.step_row];
            orders.push_back({{this->id, unit_row, row, unit.run},
                              task.executor,
                              task.incarnation_ms,
                              make_task_name(this->id, {step.occurrence, step.step, unit.first_task + row}),
                              this->submission.payload(),
                              unit.checkpoint,
                              task.ticket});
        }
    }
}

} // namespace wigeon
