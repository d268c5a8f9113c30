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

void job_run::add_begun_occurrences(const records::JobProgress& progress, boot_time now)
{
    std::uint32_t count = this->submission.occurrences() == 0 ? 1 : 0;
    for (const records::UnitProgress& saved : progress.units())
        count = std::max(count, saved.occurrence() + 1);
    for (std::uint32_t occurrence = 0; occurrence < count; ++occurrence)
        this->add_occurrence(occurrence, now);
}

void job_run::add_due_occurrences(std::uint64_t wall_ms, boot_time now)
{
    while (this->occurrences_added < this->occurrence_count()) {
        const std::int64_t due = this->submission.first_due_ms() +
                                 static_cast<std::int64_t>(this->occurrences_added) * this->submission.interval_ms();
        if (static_cast<std::int64_t>(wall_ms) < due)
            return;
        const std::uint32_t occurrence = this->occurrences_added;
        this->add_occurrence(occurrence, now);
        this->mark_ready_steps(occurrence, now);
    }
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

work_unit* job_run::restore_unit(const records::UnitProgress& saved, const records::JobProgress& progress,
                                 boot_time now)
{
    std::uint32_t task_row = 0;
    work_unit* unit = this->find_unit({saved.occurrence(), saved.step(), saved.first_task()}, task_row);
    if (unit == nullptr)
        return nullptr;
    unit->run = saved.run();
    unit->placed_at = now; // The time of placement is not recorded; the work counts as just begun.
    unit->failures = saved.failures();
    unit->counted_run = saved.counted_run();
    unit->checkpoint = saved.checkpoint();
    unit->is_recorded = true;
    if (saved.done()) {
        unit->is_done = true;
        --this->steps[unit->step_row].units_left;
    }
    if (saved.placed_on_size() != static_cast<int>(unit->task_count))
        return unit;
    for (const std::uint32_t row : saved.placed_on()) {
        placed_task task;
        if (static_cast<int>(row) < progress.executors_size()) {
            task.executor = progress.executors(static_cast<int>(row)).id();
            task.incarnation_ms = progress.executors(static_cast<int>(row)).born_ms();
        }
        task.phase = task_phase::uncertain;
        ++this->unresolved_tasks;
        unit->placed_tasks.push_back(std::move(task));
    }
    return unit;
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

work_unit& job_run::take_changed_unit()
{
    work_unit& unit = this->units[this->changed_units.back()];
    this->changed_units.pop_back();
    unit.is_changed = false;
    return unit;
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
    return this->format_task_name(unit, 0);
}

std::string job_run::format_task_name(const work_unit& unit, std::uint32_t task_row) const
{
    const step_run& step = this->steps[unit.step_row];
    return make_task_name(this->id, {step.occurrence, step.step, unit.first_task + task_row});
}

void job_run::collect_planned_starts(const work_unit& unit, std::vector<start_order>& orders) const
{
    for (std::uint32_t row = 0; row < unit.placed_tasks.size(); ++row) {
        const placed_task& task = unit.placed_tasks[row];
        if (task.phase != task_phase::planned)
            continue;
        orders.push_back({{this->id, this->row_of(unit), row, unit.run},
                          task.executor,
                          task.incarnation_ms,
                          this->format_task_name(unit, row),
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
