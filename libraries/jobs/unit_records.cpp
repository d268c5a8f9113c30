// Translates between the records of single units and the progress of whole jobs.

#include "jobs/unit_records.h"

#include <utility>

namespace wigeon {

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
