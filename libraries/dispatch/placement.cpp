// Best fit by accelerators, inside one rack where the unit asks for it.

#include "dispatch/placement.h"

#include <algorithm>
#include <limits>
#include <map>
#include <utility>

namespace wigeon {

namespace {

constexpr std::size_t no_slot = std::numeric_limits<std::size_t>::max();

std::uint32_t count_present(count_on_executor present, std::size_t row)
{
    return present.empty() ? 0 : present[row];
}

// Fills `count` tasks one by one into the given rows; nothing when they don't fit.
std::optional<std::vector<std::size_t>> fill(const placement_need& need, std::span<const slot> slots,
                                             std::span<const std::size_t> rows, count_on_executor present)
{
    std::vector<resources> free;
    std::vector<std::uint32_t> taken(rows.size(), 0);
    free.reserve(rows.size());
    for (const std::size_t row : rows)
        free.push_back(slots[row].free);
    std::vector<std::size_t> places;
    for (std::uint32_t task = 0; task < need.count; ++task) {
        std::size_t best = no_slot;
        std::pair<std::int64_t, std::int64_t> best_score;
        for (std::size_t index = 0; index < rows.size(); ++index) {
            if (!need.each.fits_in(free[index]))
                continue;
            const std::size_t row = rows[index];
            if (need.per_executor > 0 && count_present(present, row) + taken[index] >= need.per_executor)
                continue;
            const resources left = free[index] - need.each;
            const std::pair score{left.accelerators, left.memory_mb};
            if (best == no_slot || score < best_score) {
                best = index;
                best_score = score;
            }
        }
        if (best == no_slot)
            return std::nullopt;
        free[best] -= need.each;
        ++taken[best];
        places.push_back(rows[best]);
    }
    return places;
}

std::int64_t count_tasks(const placement_need& need, const resources& room, std::uint32_t already)
{
    std::int64_t most = need.count;
    if (need.per_executor > 0)
        most = std::min<std::int64_t>(most, need.per_executor > already ? need.per_executor - already : 0);
    return need.each.count_in(room, most);
}

std::map<std::string_view, std::vector<std::size_t>> group_by_rack(const placement_need& need,
                                                                   std::span<const slot> slots)
{
    std::map<std::string_view, std::vector<std::size_t>> racks;
    for (std::size_t row = 0; row < slots.size(); ++row) {
        if (is_eligible(need, slots[row]))
            racks[slots[row].rack].push_back(row);
    }
    return racks;
}

// Whether some rack would hold the unit if it were empty.
bool could_fit_in_rack(const placement_need& need, std::span<const slot> slots)
{
    const auto racks = group_by_rack(need, slots);
    return std::any_of(racks.begin(), racks.end(), [&](const auto& rack) {
        std::int64_t held = 0;
        for (const std::size_t row : rack.second)
            held += count_tasks(need, slots[row].room, 0);
        return held >= need.count;
    });
}

} // namespace

bool is_eligible(const placement_need& need, const slot& place)
{
    if (!place.is_permitted || place.is_distrusted || place.is_avoided || place.pool != need.pool)
        return false;
    if ((need.is_filling && place.has_serving) || (need.is_serving && place.has_filling))
        return false;
    if (!need.required_label.empty() &&
        std::find(place.labels.begin(), place.labels.end(), need.required_label) == place.labels.end())
        return false;
    return need.data_rack.empty() || need.may_leave_data_rack || place.rack == need.data_rack;
}

std::optional<std::vector<std::size_t>> find_places(const placement_need& need, std::span<const slot> slots,
                                                    count_on_executor present)
{
    if (need.count > 1 && need.same_rack && could_fit_in_rack(need, slots)) {
        std::optional<std::vector<std::size_t>> best;
        std::int64_t best_left = std::numeric_limits<std::int64_t>::max();
        for (const auto& [rack, rows] : group_by_rack(need, slots)) {
            std::int64_t held = 0;
            std::int64_t left = 0;
            for (const std::size_t row : rows) {
                held += count_tasks(need, slots[row].free, count_present(present, row));
                left += std::max<std::int64_t>(slots[row].free.accelerators, 0);
            }
            if (held < need.count || left >= best_left)
                continue;
            auto places = fill(need, slots, rows, present);
            if (places) {
                best = std::move(places);
                best_left = left;
            }
        }
        return best;
    }
    std::vector<std::size_t> near_data;
    std::vector<std::size_t> rows;
    for (std::size_t row = 0; row < slots.size(); ++row) {
        if (!is_eligible(need, slots[row]))
            continue;
        rows.push_back(row);
        if (!need.data_rack.empty() && slots[row].rack == need.data_rack)
            near_data.push_back(row);
    }
    if (!near_data.empty()) {
        auto places = fill(need, slots, near_data, present);
        if (places)
            return places;
    }
    return fill(need, slots, rows, present);
}

bool could_ever_fit(const placement_need& need, std::span<const slot> slots)
{
    if (need.count > 1 && need.same_rack && could_fit_in_rack(need, slots))
        return true;
    std::int64_t held = 0;
    for (const slot& place : slots) {
        if (is_eligible(need, place))
            held += count_tasks(need, place.room, 0);
        if (held >= need.count)
            return true;
    }
    return false;
}

} // namespace wigeon
