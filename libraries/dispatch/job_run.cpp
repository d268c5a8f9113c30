// Creates the units of a job from its steps, finds those that may be placed, and makes the record of the job's
// progress.

#include "dispatch/job_run.h"

#include <map>
#include <utility>

#include "jobs/unit_records.h"

namespace wigeon {

job_run::job_run(std::string job_id, const records::Submission& accepted, const queue_policy& queue, boot_time now)
    : id(std::move(job_id)), submission(accepted), policy(queue), arrived_at(now)
{
    for (const records::Step& step : this->submission.steps()) {
        this->step_queues.push_back({this->units_per_occurrence, {}, 0});
        this->units_per_occurrence += count_units(step);
    }
}

void job_run::add_occurrence(std::uint32_t occurrence)
{
    const auto step_count = static_cast<std::uint32_t>(this->submission.steps_size());
    this->occurrences_added = std::max(this->occurrences_added, occurrence + 1);
    if (step_count == 0)
        return;
    const std::uint32_t first_row = occurrence * step_count;
    std::vector<step_run> added(step_count);
    for (std::uint32_t step = 0; step < step_count; ++step) {
        added[step].row = first_row + step;
        added[step].occurrence = occurrence;
        added[step].step = step;
        added[step].first_unit = occurrence * this->units_per_occurrence + this->step_queues[step].first_unit;
        added[step].unit_count = count_units(this->submission.steps(static_cast<int>(step)));
        added[step].units_left = added[step].unit_count;
    }
    this->unfinished_steps += step_count;
    this->steps.add(first_row, std::move(added));
}

void job_run::add_begun_occurrences(const records::JobProgress& progress)
{
    std::uint32_t count = this->submission.occurrences() == 0 ? 1 : 0;
    for (const records::OccurrenceRange& range : progress.finished()) {
        const std::uint32_t end = range.first() + range.count();
        this->finished_occurrences.add(boost::icl::interval<std::uint32_t>::right_open(range.first(), end));
        count = std::max(count, end);
    }
    for (const records::UnitProgress& saved : progress.units())
        count = std::max(count, saved.occurrence() + 1);
    count = std::min(count, this->occurrence_count());
    for (std::uint32_t occurrence = 0; occurrence < count; ++occurrence) {
        if (!boost::icl::contains(this->finished_occurrences, occurrence))
            this->add_occurrence(occurrence);
    }
    this->occurrences_added = std::max(this->occurrences_added, count);
}

std::span<step_run> job_run::steps_of(std::uint32_t occurrence)
{
    // Names of tasks that executors report may hold any number.
    if (occurrence >= this->occurrences_added)
        return {};
    return this->steps.block(occurrence * static_cast<std::uint32_t>(this->submission.steps_size()));
}

bool job_run::may_open(std::size_t step) const
{
    const std::size_t max_waiting = std::max<std::size_t>(max_waiting_units / this->step_queues.size(), 1);
    return this->step_queues[step].waiting_units < max_waiting && this->unfinished_units < max_unfinished_units;
}

// A step that can't be placed now must not keep the other steps from their further occurrences. Steps that depend on
// others get work through these.
bool job_run::may_add_occurrence() const
{
    if (this->steps.size() + this->step_queues.size() > max_open_steps)
        return false;
    for (std::size_t step = 0; step < this->step_queues.size(); ++step) {
        const bool is_first = this->submission.steps(static_cast<int>(step)).after().empty();
        if (is_first && this->step_queues[step].ready.empty() && this->may_open(step))
            return true;
    }
    return false;
}

void job_run::open_step(step_run& step)
{
    if (std::exchange(step.is_open, true))
        return;
    const records::Step& shape = this->submission.steps(static_cast<int>(step.step));
    std::vector<work_unit> added(step.unit_count);
    for (std::uint32_t index = 0; index < step.unit_count; ++index) {
        added[index].row = step.first_unit + index;
        added[index].step_row = step.row;
        added[index].first_task = index;
        added[index].task_count = shape.gang() ? std::max(1U, shape.count()) : 1;
    }
    this->unfinished_units += step.unit_count;
    this->units.add(step.first_unit, std::move(added));
}

void job_run::enqueue_units(step_run& step, boot_time now)
{
    for (work_unit& unit : this->units.block(step.first_unit)) {
        if (!unit.is_done && unit.placed_tasks.empty())
            this->add_waiting(unit, now);
    }
}

void job_run::open_ready_steps(boot_time now)
{
    for (std::size_t step = 0; step < this->step_queues.size(); ++step) {
        std::vector<std::uint32_t>& ready = this->step_queues[step].ready;
        std::size_t opened = 0;
        while (opened < ready.size() && this->may_open(step)) {
            step_run& run = this->steps[ready[opened++]];
            this->open_step(run);
            this->enqueue_units(run, now);
        }
        ready.erase(ready.begin(), ready.begin() + static_cast<std::ptrdiff_t>(opened));
    }
}

void job_run::open_due_work(std::uint64_t wall_ms, boot_time now)
{
    this->open_ready_steps(now);
    while (this->occurrences_added < this->occurrence_count() && this->may_add_occurrence()) {
        const std::int64_t due = this->submission.first_due_ms() +
                                 static_cast<std::int64_t>(this->occurrences_added) * this->submission.interval_ms();
        if (static_cast<std::int64_t>(wall_ms) < due)
            return;
        const std::uint32_t occurrence = this->occurrences_added;
        this->add_occurrence(occurrence);
        this->mark_ready_steps(occurrence, now);
    }
}

void job_run::mark_ready_steps(std::uint32_t occurrence, boot_time now)
{
    const std::span<step_run> all = this->steps_of(occurrence);
    const auto is_step_done = [all](std::uint32_t step) { return step < all.size() && all[step].units_left == 0; };
    for (step_run& step : all) {
        if (step.is_ready)
            continue;
        const auto& needed = this->submission.steps(static_cast<int>(step.step)).after();
        if (!std::all_of(needed.begin(), needed.end(), is_step_done))
            continue;
        step.is_ready = true;
        if (step.is_open)
            this->enqueue_units(step, now);
        else
            this->step_queues[step.step].ready.push_back(step.row);
    }
    this->open_ready_steps(now);
}

void job_run::add_waiting(work_unit& unit, boot_time now)
{
    unit.waiting_since = now;
    step_run& step = this->steps[unit.step_row];
    step.waiting.push_back(unit.row);
    ++this->step_queues[step.step].waiting_units;
}

void job_run::remove_waiting(const work_unit& unit)
{
    step_run& step = this->steps[unit.step_row];
    this->step_queues[step.step].waiting_units -= std::erase(step.waiting, unit.row);
}

void job_run::clear_waiting()
{
    for (step_run& step : this->steps)
        step.waiting.clear();
    for (step_queue& queue : this->step_queues) {
        queue.ready.clear();
        queue.waiting_units = 0;
    }
}

bool job_run::finish(work_unit& unit)
{
    unit.is_done = true;
    --this->unfinished_units;
    this->remove_waiting(unit);
    step_run& step = this->steps[unit.step_row];
    if (--step.units_left > 0)
        return false;
    --this->unfinished_steps;
    const std::span<const step_run> all = this->steps_of(step.occurrence);
    if (std::all_of(all.begin(), all.end(), [](const step_run& other) { return other.units_left == 0; }))
        this->completed.push_back(step.occurrence);
    return true;
}

void job_run::drop_finished_occurrences()
{
    const auto is_settled = [](const work_unit& unit) { return unit.placed_tasks.empty() && !unit.is_changed; };
    std::erase_if(this->completed, [&](std::uint32_t occurrence) {
        const std::span<const step_run> all = this->steps_of(occurrence);
        const bool can_be_dropped = std::all_of(all.begin(), all.end(), [&](const step_run& step) {
            return std::ranges::all_of(this->units_of(step), is_settled);
        });
        if (!can_be_dropped)
            return false;
        for (const step_run& step : all)
            this->units.remove(step.first_unit);
        this->steps.remove(all.front().row);
        this->finished_occurrences.add(occurrence);
        return true;
    });
}

work_unit* job_run::restore_unit(const records::UnitProgress& saved, const records::JobProgress& progress,
                                 boot_time now)
{
    const std::span<step_run> all = this->steps_of(saved.occurrence());
    if (saved.step() < all.size())
        this->open_step(all[saved.step()]);
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
    if (saved.done() && !unit->is_done)
        this->finish(*unit);
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

void job_run::finish_restoring(boot_time now)
{
    for (std::uint32_t occurrence = 0; occurrence < this->occurrences_added; ++occurrence)
        this->mark_ready_steps(occurrence, now);
}

work_unit* job_run::find_unit(const task_position& position, std::uint32_t& task_row)
{
    const std::span<const step_run> all = this->steps_of(position.occurrence);
    if (position.step >= all.size())
        return nullptr;
    const step_run& step = all[position.step];
    const bool is_gang = this->submission.steps(static_cast<int>(step.step)).gang();
    const std::uint32_t index = is_gang ? 0 : position.index;
    work_unit* unit = index < step.unit_count ? this->units.find(step.first_unit + index) : nullptr;
    if (unit == nullptr || position.index - unit->first_task >= unit->task_count)
        return nullptr;
    task_row = position.index - unit->first_task;
    return unit;
}

std::vector<std::string> job_run::take_finished_keys()
{
    std::vector<std::string> keys;
    if (this->finished_occurrences.empty())
        return keys;
    const std::uint32_t occurrence = boost::icl::first(this->finished_occurrences);
    this->finished_occurrences.erase(occurrence);
    for (std::uint32_t step = 0; step < this->step_queues.size(); ++step) {
        const std::uint32_t count = count_units(this->submission.steps(static_cast<int>(step)));
        for (std::uint32_t index = 0; index < count; ++index)
            keys.push_back(make_task_name(this->id, {occurrence, step, index}));
    }
    return keys;
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
        this->changed_units.push_back(unit.row);
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
        orders.push_back({{this->id, unit.row, row, unit.run},
                          task.executor,
                          task.incarnation_ms,
                          this->format_task_name(unit, row),
                          this->submission.payload(),
                          unit.checkpoint,
                          task.ticket,
                          unit.placed_at});
    }
}

void job_run::collect_planned_starts(std::vector<start_order>& orders) const
{
    for (const work_unit& unit : this->units)
        this->collect_planned_starts(unit, orders);
}

} // namespace wigeon
