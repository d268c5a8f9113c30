// Builds the slots of a round from the book of executors.

#include "dispatch/slot_table.h"

#include <algorithm>

namespace wigeon {

namespace {

bool is_sharing(const records::Step& step)
{
    return step.filling() || step.tail_target_ms() > 0;
}

} // namespace

void slot_table::build(const executor_book& book, milliseconds look_age, boot_time now)
{
    std::size_t distrusted = 0;
    this->accelerators = 0;
    this->slots.clear();
    this->rows.clear();
    for (const auto& [id, host] : book.all()) {
        const bool is_fresh = host.last_look_sent && now - *host.last_look_sent <= look_age;
        if (!host.is_listed || host.entry.is_draining || !host.is_reached || !is_fresh)
            continue;
        slot place;
        place.executor = id;
        place.pool = host.entry.pool;
        place.rack = host.entry.rack;
        place.labels = host.entry.labels;
        place.room = host.entry.room;
        place.free = host.free_room();
        place.is_distrusted = host.health.is_distrusted(now);
        distrusted += place.is_distrusted ? 1 : 0;
        this->accelerators += place.room.accelerators;
        this->rows[place.executor] = this->slots.size();
        this->slots.push_back(place);
    }
    if (is_distrust_plausible(distrusted, this->slots.size()))
        return;
    for (slot& place : this->slots)
        place.is_distrusted = false;
}

std::optional<std::size_t> slot_table::find_row(std::string_view executor) const
{
    const auto found = this->rows.find(executor);
    return found == this->rows.end() ? std::nullopt : std::optional(found->second);
}

void slot_table::note_sharing(const run_ledger& ledger)
{
    for (const auto& [id, job] : ledger.jobs()) {
        const auto& steps = job.submission.steps();
        if (job.unresolved == 0 || std::none_of(steps.begin(), steps.end(), is_sharing))
            continue;
        for (const unit& part : job.units) {
            const records::Step& step = job.step_of(part);
            if (!is_sharing(step))
                continue;
            for (const placed_task& task : part.members) {
                const auto row = this->find_row(task.executor);
                if (!row || task.phase == member_phase::resolved)
                    continue;
                this->slots[*row].has_filling = this->slots[*row].has_filling || step.filling();
                this->slots[*row].has_serving = this->slots[*row].has_serving || step.tail_target_ms() > 0;
            }
        }
    }
}

void slot_table::take(std::size_t row, const placement_need& need)
{
    slot& place = this->slots[row];
    place.free -= need.each;
    place.has_filling = place.has_filling || need.is_filling;
    place.has_serving = place.has_serving || need.is_serving;
}

void slot_table::keep(std::span<const std::string> executors, const resources& each)
{
    for (const std::string& id : executors) {
        if (const auto row = this->find_row(id))
            this->slots[*row].free -= each;
    }
}

bool slot_table::is_mostly_idle() const
{
    std::int64_t free = 0;
    for (const slot& place : this->slots)
        free += std::max<std::int64_t>(place.free.accelerators, 0);
    return free * 2 > this->accelerators;
}

std::vector<std::uint32_t> slot_table::count_present(const job_run& job, const unit& part) const
{
    if (job.step_of(part).tasks_per_executor() == 0)
        return {};
    std::vector<std::uint32_t> present(this->slots.size(), 0);
    for (const unit& other : job.units) {
        if (other.step_run != part.step_run)
            continue;
        for (const placed_task& task : other.members) {
            const auto row = this->find_row(task.executor);
            if (row && task.phase != member_phase::resolved)
                ++present[*row];
        }
    }
    return present;
}

void slot_table::mark_avoided(const unit& part, const placement_need& need)
{
    for (slot& place : this->slots)
        place.is_avoided = !part.failed_on.empty() && part.failed_on.contains(place.executor);
    if (part.failed_on.empty() || could_ever_fit(need, this->slots))
        return;
    for (slot& place : this->slots)
        place.is_avoided = false;
}

void slot_table::permit_all()
{
    for (slot& place : this->slots)
        place.is_permitted = true;
}

void slot_table::permit_if(const std::function<bool(std::string_view)>& is_permitted)
{
    for (slot& place : this->slots)
        place.is_permitted = is_permitted(place.executor);
}

std::vector<slot> slot_table::copy_without_doubts() const
{
    std::vector<slot> copy = this->slots;
    for (slot& place : copy) {
        place.is_avoided = false;
        place.is_distrusted = false;
    }
    return copy;
}

} // namespace wigeon
