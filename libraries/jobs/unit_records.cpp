// Translates between the records of single units and the progress of whole jobs.

#include "jobs/unit_records.h"

#include <algorithm>
#include <utility>

namespace wigeon {

std::uint32_t count_units(const records::Step& step)
{
    return step.gang() ? 1 : std::max(1U, step.count());
}

std::uint32_t count_units(const records::Submission& submission)
{
    std::uint32_t count = 0;
    for (const records::Step& step : submission.steps())
        count += count_units(step);
    return count;
}

bool unit_progress_collector::add(const keyed_record& record)
{
    const auto name = parse_task_name(record.key);
    if (!name)
        return false;
    if (name->job != this->current.job || name->position.occurrence != this->current.occurrence) {
        this->finish_occurrence();
        const records::JobProgress& before = this->progress[name->job];
        this->current = {name->job, name->position.occurrence, before.units_size(), before.executors_size(), true};
    }
    if (!add_unit_record(record, this->progress))
        return false;
    const records::JobProgress& job = this->progress[name->job];
    this->current.is_done = this->current.is_done && job.units(job.units_size() - 1).done();
    return true;
}

void unit_progress_collector::finish_occurrence()
{
    const job_entry* job = this->jobs.find(this->current.job);
    if (job == nullptr || !job->submission || !this->current.is_done)
        return;
    records::JobProgress& collected = this->progress[this->current.job];
    const int unit_count = collected.units_size() - this->current.first_unit;
    if (unit_count == 0 || static_cast<std::uint32_t>(unit_count) != count_units(*job->submission))
        return;
    collected.mutable_units()->DeleteSubrange(this->current.first_unit, unit_count);
    collected.mutable_executors()->DeleteSubrange(this->current.first_executor,
                                                  collected.executors_size() - this->current.first_executor);
    this->finished[this->current.job].add(this->current.occurrence);
}

unit_progress_map unit_progress_collector::finish()
{
    this->finish_occurrence();
    for (const auto& [job, occurrences] : this->finished) {
        for (const auto& interval : occurrences) {
            records::OccurrenceRange& range = *this->progress[job].add_finished();
            range.set_first(boost::icl::first(interval));
            range.set_count(static_cast<std::uint32_t>(boost::icl::size(interval)));
        }
    }
    std::erase_if(this->progress,
                  [](const auto& entry) { return entry.second.units().empty() && entry.second.finished().empty(); });
    return std::move(this->progress);
}

bool add_unit_record(const keyed_record& record, unit_progress_map& progress)
{
    const auto name = parse_task_name(record.key);
    records::UnitRecord decoded;
    if (!name || !record.value || !decoded.ParseFromString(*record.value))
        return false;
    for (const std::uint32_t row : decoded.progress().placed_on()) {
        if (static_cast<int>(row) >= decoded.executors_size())
            return false;
    }
    records::JobProgress& job = progress[name->job];
    const auto first_row = static_cast<std::uint32_t>(job.executors_size());
    for (records::ExecutorLife& incarnation : *decoded.mutable_executors())
        *job.add_executors() = std::move(incarnation);
    records::UnitProgress& unit = *job.add_units();
    unit = std::move(*decoded.mutable_progress());
    unit.set_occurrence(name->position.occurrence);
    unit.set_step(name->position.step);
    unit.set_first_task(name->position.index);
    for (std::uint32_t& row : *unit.mutable_placed_on())
        row += first_row;
    return true;
}

std::string make_unit_key(std::string_view job, const records::UnitProgress& unit)
{
    return make_task_name(job, {unit.occurrence(), unit.step(), unit.first_task()});
}

std::vector<keyed_record> make_unit_records(std::string_view job, const records::JobProgress& progress)
{
    std::vector<keyed_record> made;
    for (const records::UnitProgress& unit : progress.units()) {
        records::UnitRecord record;
        std::map<std::uint32_t, std::uint32_t> rows; // Row in this record, by row in the progress.
        *record.mutable_progress() = unit;
        record.mutable_progress()->clear_occurrence();
        record.mutable_progress()->clear_step();
        record.mutable_progress()->clear_first_task();
        for (std::uint32_t& row : *record.mutable_progress()->mutable_placed_on()) {
            const auto [inserted, is_new] = rows.try_emplace(row, static_cast<std::uint32_t>(rows.size()));
            if (is_new) {
                records::ExecutorLife& incarnation = *record.add_executors();
                if (static_cast<int>(row) < progress.executors_size())
                    incarnation = progress.executors(static_cast<int>(row));
            }
            row = inserted->second;
        }
        made.push_back({make_unit_key(job, unit), record.SerializeAsString()});
    }
    return made;
}

} // namespace wigeon
