// Best fit by accelerators, within one rack if the unit asks for it.

#include "dispatch/placement.h"

#include <algorithm>
#include <limits>
#include <map>
#include <utility>

namespace wigeon {

namespace {

constexpr std::size_t no_row = std::numeric_limits<std::size_t>::max();

std::uint32_t count_present(present_counts present, std::size_t row)
{
    return present.empty() ? 0 : present[row];
}

// Places `need.count` tasks one by one on the executors of the given rows; nothing if they do not fit.
std::optional<std::vector<std::size_t>> pack_tasks(const placement_need& need,
                                                   std::span<const executor_capacity> executors,
                                                   std::span<const std::size_t> rows, present_counts present)
{
    std::vector<resources> free;
    std::vector<std::uint32_t> taken(rows.size(), 0);
    free.reserve(rows.size());
    for (const std::size_t row : rows)
        free.push_back(executors[row].free);
    std::vector<std::size_t> places;
    for (std::uint32_t task = 0; task < need.count; ++task) {
        std::size_t best = no_row;
        std::pair<std::int64_t, std::int64_t> best_score;
        for (std::size_t index = 0; index < rows.size(); ++index) {
            if (!need.per_task.fits_in(free[index]))
                continue;
            const std::size_t row = rows[index];
            if (need.max_per_executor > 0 && count_present(present, row) + taken[index] >= need.max_per_executor)
                continue;
            const resources left = free[index] - need.per_task;
            const std::pair score{left.accelerators, left.memory_mb};
            if (best == no_row || score < best_score) {
                best = index;
                best_score = score;
            }
        }
        if (best == no_row)
            return std::nullopt;
        free[best] -= need.per_task;
        ++taken[best];
        places.push_back(rows[best]);
    }
    return places;
}

std::int64_t count_fitting_tasks(const placement_need& need, const resources& available, std::uint32_t present)
{
    std::int64_t limit = need.count;
    if (need.max_per_executor > 0)
        limit = std::min<std::int64_t>(limit, need.max_per_executor > present ? need.max_per_executor - present : 0);
    return need.per_task.count_in(available, limit);
}

std::map<std::string_view, std::vector<std::size_t>> group_by_rack(const placement_need& need,
                                                                   std::span<const executor_capacity> executors)
{
    std::map<std::string_view, std::vector<std::size_t>> racks;
    for (std::size_t row = 0; row < executors.size(); ++row) {
        if (is_eligible(need, executors[row]))
            racks[executors[row].rack].push_back(row);
    }
    return racks;
}

// Whether the unit would fit into some rack if that rack were empty.
bool could_fit_in_rack(const placement_need& need, std::span<const executor_capacity> executors)
{
    const auto racks = group_by_rack(need, executors);
    return std::any_of(racks.begin(), racks.end(), [&](const auto& rack) {
        std::int64_t fitting = 0;
        for (const std::size_t row : rack.second)
            fitting += count_fitting_tasks(need, executors[row].total, 0);
        return fitting >= need.count;
    });
}

} // namespace

bool is_eligible(const placement_need& need, const executor_capacity& candidate)
{
    if (!candidate.is_permitted || candidate.is_quarantined || candidate.is_avoided || candidate.pool != need.pool)
        return false;
    if ((need.is_filling && candidate.has_serving) || (need.is_serving && candidate.has_filling))
        return false;
    if (!need.required_label.empty() &&
        std::find(candidate.labels.begin(), candidate.labels.end(), need.required_label) == candidate.labels.end())
        return false;
    return need.data_rack.empty() || need.may_leave_data_rack || candidate.rack == need.data_rack;
}

std::optional<std::vector<std::size_t>>
find_places(const placement_need& need, std::span<const executor_capacity> executors, present_counts present)
{
    if (need.count > 1 && need.same_rack && could_fit_in_rack(need, executors)) {
        std::optional<std::vector<std::size_t>> best;
        std::int64_t best_left = std::numeric_limits<std::int64_t>::max();
        for (const auto& [rack, rows] : group_by_rack(need, executors)) {
            std::int64_t fitting = 0;
            std::int64_t left = 0;
            for (const std::size_t row : rows) {
                fitting += count_fitting_tasks(need, executors[row].free, count_present(present, row));
                left += std::max<std::int64_t>(executors[row].free.accelerators, 0);
            }
            if (fitting < need.count || left >= best_left)
                continue;
            auto places = pack_tasks(need, executors, rows, present);
            if (places) {
                best = std::move(places);
                best_left = left;
            }
        }
        return best;
    }
    std::vector<std::size_t> near_data;
    std::vector<std::size_t> rows;
    for (std::size_t row = 0; row < executors.size(); ++row) {
        if (!is_eligible(need, executors[row]))
            continue;
        rows.push_back(row);
        if (!need.data_rack.empty() && executors[row].rack == need.data_rack)
            near_data.push_back(row);
    }
    if (!near_data.empty()) {
        auto places = pack_tasks(need, executors, near_data, present);
        if (places)
            return places;
    }
    return pack_tasks(need, executors, rows, present);
}

bool could_ever_fit(const placement_need& need, std::span<const executor_capacity> executors)
{
    if (need.count > 1 && need.same_rack && could_fit_in_rack(need, executors))
        return true;
    std::int64_t fitting = 0;
    for (const executor_capacity& candidate : executors) {
        if (is_eligible(need, candidate))
            fitting += count_fitting_tasks(need, candidate.total, 0);
        if (fitting >= need.count)
            return true;
    }
    return false;
}

} // namespace wigeon
