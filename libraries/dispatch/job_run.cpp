// Units of a job: how they are made from its steps, which may be placed, and the record that is kept of them.

#include "dispatch/job_run.h"

#include <map>
#include <utility>

namespace wigeon {

void job_run::add_occurrence(std::uint32_t occurrence, boot_time now)
{
    for (int row = 0; row < this->submission.steps_size(); ++row) {
        const records::Step& step = this->submission.steps(row);
        step_run made;
        made.occurrence = occurrence;
        made.step = static_cast<std::uint32_t>(row);
        const std::uint32_t tasks = std::max(1U, step.count());
        made.units_left = step.gang() ? 1 : tasks;
        const auto step_row = static_cast<std::uint32_t>(this->steps.size());
        for (std::uint32_t index = 0; index < made.units_left; ++index) {
            unit part;
            part.step_run = step_row;
            part.first_task = index;
            part.task_count = step.gang() ? tasks : 1;
            part.waiting_since = now;
            this->units.push_back(std::move(part));
        }
        this->steps.push_back(std::move(made));
    }
    this->occurrences_made = occurrence + 1;
}

void job_run::open_steps(std::uint32_t occurrence, boot_time now)
{
    const auto is_step_done = [this, occurrence](std::uint32_t step) {
        return std::any_of(this->steps.begin(), this->steps.end(), [&](const step_run& other) {
            return other.occurrence == occurrence && other.step == step && other.units_left == 0;
        });
    };
    for (std::uint32_t row = 0; row < this->steps.size(); ++row) {
        step_run& step = this->steps[row];
        if (step.is_open || step.occurrence != occurrence)
            continue;
        const auto& needed = this->submission.steps(static_cast<int>(step.step)).after();
        if (!std::all_of(needed.begin(), needed.end(), is_step_done))
            continue;
        step.is_open = true;
        for (std::uint32_t unit_row = 0; unit_row < this->units.size(); ++unit_row) {
            unit& part = this->units[unit_row];
            if (part.step_run != row || part.is_done || !part.members.empty())
                continue;
            part.waiting_since = now;
            step.waiting.push_back(unit_row);
        }
    }
}

unit* job_run::find_unit(const task_place& place, std::uint32_t& member_index)
{
    for (unit& part : this->units) {
        const step_run& step = this->steps[part.step_run];
        if (step.occurrence != place.occurrence || step.step != place.step)
            continue;
        if (place.index < part.first_task || place.index >= part.first_task + part.task_count)
            continue;
        member_index = place.index - part.first_task;
        return &part;
    }
    return nullptr;
}

records::JobProgress job_run::make_record() const
{
    records::JobProgress record;
    record.set_phase(this->phase);
    std::map<std::pair<std::string, std::uint64_t>, std::uint32_t> rows;
    for (const unit& part : this->units) {
        if (part.run == 0)
            continue;
        records::UnitProgress& saved = *record.add_units();
        saved.set_occurrence(this->steps[part.step_run].occurrence);
        saved.set_step(this->steps[part.step_run].step);
        saved.set_first_task(part.first_task);
        saved.set_run(part.run);
        saved.set_failures(part.failures);
        saved.set_counted_run(part.counted_run);
        saved.set_done(part.is_done);
        if (part.is_done)
            continue;
        saved.set_checkpoint(part.checkpoint);
        for (const placed_task& task : part.members) {
            const auto [place, is_new] =
                rows.try_emplace({task.executor, task.born_ms}, static_cast<std::uint32_t>(rows.size()));
            if (is_new) {
                records::ExecutorLife& life = *record.add_executors();
                life.set_id(task.executor);
                life.set_born_ms(task.born_ms);
            }
            saved.add_placed_on(place->second);
        }
    }
    return record;
}

void job_run::collect_planned_starts(std::vector<start_order>& orders) const
{
    for (std::uint32_t unit_row = 0; unit_row < this->units.size(); ++unit_row) {
        const unit& part = this->units[unit_row];
        for (std::uint32_t row = 0; row < part.members.size(); ++row) {
            const placed_task& task = part.members[row];
            if (task.phase != member_phase::planned)
                continue;
            const step_run& step = this->steps[part.step_run];
            orders.push_back({{this->id, unit_row, row, part.run},
                              task.executor,
                              task.born_ms,
                              make_task_name(this->id, {step.occurrence, step.step, part.first_task + row}),
                              this->submission.payload(),
                              part.checkpoint,
                              task.ticket});
        }
    }
}

} // namespace wigeon
