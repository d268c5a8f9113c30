// Builds the table of a round from the executor registry and the running tasks.

#include "dispatch/capacity_table.h"

#include <algorithm>
#include <limits>

namespace wigeon {

namespace {

bool is_filling_or_serving(const records::Step& step)
{
    return step.filling() || step.tail_target_ms() > 0;
}

} // namespace

void capacity_table::build(const executor_registry& registry, const lease_suspensions& suspensions,
                           const zone_evacuations& evacuations, milliseconds max_poll_age, boot_time now)
{
    std::size_t quarantined = 0;
    this->accelerators = 0;
    this->has_several_classes = false;
    this->fast_class = 0;
    this->lowest_multiple = 1.0;
    this->entries.clear();
    this->row_by_executor.clear();
    this->find_evacuated_racks(registry, evacuations);
    for (const auto& [id, target] : registry.all()) {
        const bool is_fresh = target.last_poll_sent_at && now - *target.last_poll_sent_at <= max_poll_age;
        if (!target.is_listed || target.entry.is_draining || !target.is_reached || !is_fresh)
            continue;
        if (suspensions.contains(id) || !evacuations.admits(target.entry.zone, id, now))
            continue;
        executor_capacity entry;
        entry.executor = id;
        entry.pool = target.entry.pool;
        entry.rack = target.entry.rack;
        entry.labels = target.entry.labels;
        entry.total = target.entry.capacity;
        entry.free = target.free_capacity();
        entry.is_quarantined = target.health.is_quarantined(now);
        quarantined += entry.is_quarantined ? 1 : 0;
        this->accelerators += entry.total.accelerators;
        this->row_by_executor[entry.executor] = this->entries.size();
        this->entries.push_back(entry);
    }
    if (is_quarantine_plausible(quarantined, this->entries.size()))
        return;
    for (executor_capacity& entry : this->entries)
        entry.is_quarantined = false;
}

void capacity_table::find_evacuated_racks(const executor_registry& registry, const zone_evacuations& evacuations)
{
    this->evacuated_racks.clear();
    if (evacuations.all().empty())
        return;
    for (const auto& [id, target] : registry.all()) {
        if (target.is_listed && evacuations.is_evacuated(target.entry.zone))
            this->evacuated_racks.try_emplace(target.entry.rack, false);
    }
    for (const auto& [id, target] : registry.all()) {
        const auto rack = this->evacuated_racks.find(target.entry.rack);
        if (rack != this->evacuated_racks.end() && target.is_listed && !evacuations.is_evacuated(target.entry.zone))
            rack->second = true;
    }
}

bool capacity_table::is_rack_evacuated(std::string_view rack) const
{
    const auto found = this->evacuated_racks.find(rack);
    return found != this->evacuated_racks.end() && !found->second;
}

std::optional<std::size_t> capacity_table::find_row(std::string_view executor) const
{
    const auto found = this->row_by_executor.find(executor);
    return found == this->row_by_executor.end() ? std::nullopt : std::optional(found->second);
}

std::vector<std::size_t> capacity_table::find_rows(std::span<const std::string> executors) const
{
    std::vector<std::size_t> rows;
    for (const std::string& id : executors) {
        if (const auto row = this->find_row(id))
            rows.push_back(*row);
    }
    return rows;
}

void capacity_table::mark_filling_and_serving(const run_tracker& tracker)
{
    for (const auto& [id, job] : tracker.jobs()) {
        const auto& steps = job.submission.steps();
        if (job.unresolved_tasks == 0 || std::none_of(steps.begin(), steps.end(), is_filling_or_serving))
            continue;
        for (const work_unit& unit : job.units) {
            const records::Step& step = job.step_of(unit);
            if (!is_filling_or_serving(step))
                continue;
            for (const placed_task& task : unit.placed_tasks) {
                const auto row = this->find_row(task.executor);
                if (!row || task.phase == task_phase::resolved)
                    continue;
                this->entries[*row].has_filling = this->entries[*row].has_filling || step.filling();
                this->entries[*row].has_serving = this->entries[*row].has_serving || step.tail_target_ms() > 0;
            }
        }
    }
}

void capacity_table::mark_speeds(const executor_speed& speeds, boot_time now)
{
    if (!speeds.is_uneven())
        return;
    for (executor_capacity& entry : this->entries) {
        entry.run_time_multiple = speeds.find(entry.executor, now).multiple;
        entry.speed_class = speeds.find_class(entry.run_time_multiple);
    }
    this->summarize_speeds();
}

void capacity_table::set_speeds(const std::map<std::string, executor_pace, std::less<>>& speeds)
{
    for (executor_capacity& entry : this->entries) {
        const auto found = speeds.find(entry.executor);
        if (found == speeds.end())
            continue;
        entry.run_time_multiple = found->second.run_time_multiple;
        entry.speed_class = found->second.speed_class;
    }
    this->summarize_speeds();
}

void capacity_table::summarize_speeds()
{
    this->lowest_multiple = std::numeric_limits<double>::max();
    this->fast_class = find_last_fast_class(this->entries);
    for (const executor_capacity& entry : this->entries) {
        this->has_several_classes = this->has_several_classes || entry.speed_class != this->entries.front().speed_class;
        this->lowest_multiple = std::min(this->lowest_multiple, entry.run_time_multiple);
    }
}

void capacity_table::allocate(std::size_t row, const placement_need& need)
{
    executor_capacity& entry = this->entries[row];
    entry.free -= need.per_task;
    entry.has_filling = entry.has_filling || need.is_filling;
    entry.has_serving = entry.has_serving || need.is_serving;
}

void capacity_table::reserve(std::span<const std::string> executors, const resources& per_task)
{
    for (const std::string& id : executors) {
        if (const auto row = this->find_row(id))
            this->entries[*row].free -= per_task;
    }
}

void capacity_table::release(std::span<const std::string> executors, const resources& per_task)
{
    for (const std::string& id : executors) {
        if (const auto row = this->find_row(id))
            this->entries[*row].free += per_task;
    }
}

bool capacity_table::is_mostly_idle() const
{
    std::int64_t free = 0;
    for (const executor_capacity& entry : this->entries)
        free += std::max<std::int64_t>(entry.free.accelerators, 0);
    return free * 2 > this->accelerators;
}

std::vector<std::uint32_t> capacity_table::count_present(const job_run& job, const work_unit& unit) const
{
    if (job.step_of(unit).tasks_per_executor() == 0)
        return {};
    std::vector<std::uint32_t> present(this->entries.size(), 0);
    for (const work_unit& other : job.units_of(job.steps[unit.step_row])) {
        for (const placed_task& task : other.placed_tasks) {
            const auto row = this->find_row(task.executor);
            if (row && task.phase != task_phase::resolved)
                ++present[*row];
        }
    }
    return present;
}

void capacity_table::mark_avoided(const work_unit& unit, const placement_need& need)
{
    for (executor_capacity& entry : this->entries)
        entry.is_avoided = !unit.failed_on.empty() && unit.failed_on.contains(entry.executor);
    if (unit.failed_on.empty() || could_ever_fit(need, this->entries))
        return;
    for (executor_capacity& entry : this->entries)
        entry.is_avoided = false;
}

void capacity_table::permit_all()
{
    for (executor_capacity& entry : this->entries)
        entry.is_permitted = true;
}

void capacity_table::permit_if(const std::function<bool(std::string_view)>& is_permitted)
{
    for (executor_capacity& entry : this->entries)
        entry.is_permitted = is_permitted(entry.executor);
}

std::vector<executor_capacity> capacity_table::copy_without_exclusions() const
{
    std::vector<executor_capacity> copy = this->entries;
    for (executor_capacity& entry : copy) {
        entry.is_avoided = false;
        entry.is_quarantined = false;
    }
    return copy;
}

} // namespace wigeon
