// Greedy search: task by task the slot where room costs least, in each rack by itself where the unit needs one.

#include "dispatch/preemption.h"

#include <algorithm>
#include <limits>
#include <map>
#include <set>

namespace wigeon {

namespace {

class planner_of_group {
public:
    planner_of_group(const placement_need& wanted, std::span<const slot> all_slots,
                     std::span<const stoppable_unit> all_units, count_on_executor present_tasks)
        : need(wanted), slots(all_slots), units(all_units), present(present_tasks), units_on(all_slots.size())
    {
        for (std::size_t row = 0; row < units.size(); ++row) {
            for (const std::size_t place : units[row].rows) {
                std::vector<std::size_t>& list = this->units_on[place];
                if (list.empty() || list.back() != row)
                    list.push_back(row);
            }
        }
        for (std::vector<std::size_t>& list : this->units_on) {
            std::sort(list.begin(), list.end(),
                      [this](std::size_t left, std::size_t right) { return units[left].cost < units[right].cost; });
        }
    }

    std::optional<preemption_plan> plan(std::span<const std::size_t> rows) const
    {
        preemption_plan made;
        std::vector<resources> free;
        free.reserve(this->slots.size());
        for (const slot& place : this->slots)
            free.push_back(place.free);
        std::map<std::size_t, std::uint32_t> taken;
        std::set<std::size_t> victims;
        for (std::uint32_t task = 0; task < this->need.count; ++task) {
            std::vector<std::size_t> best_victims;
            double best_cost = std::numeric_limits<double>::max();
            std::size_t best_row = this->slots.size();
            for (const std::size_t row : rows) {
                const std::uint32_t already = this->present.empty() ? 0 : this->present[row];
                if (this->need.per_executor > 0 && already + taken[row] >= this->need.per_executor)
                    continue;
                double cost = 0;
                const auto chosen = this->find_room(row, free[row], victims, cost);
                if (chosen && cost < best_cost) {
                    best_victims = *chosen;
                    best_cost = cost;
                    best_row = row;
                    if (cost == 0)
                        break;
                }
            }
            if (best_row == this->slots.size())
                return std::nullopt;
            for (const std::size_t victim : best_victims) {
                victims.insert(victim);
                for (const std::size_t place : this->units[victim].rows)
                    free[place] += this->units[victim].each;
            }
            free[best_row] -= this->need.each;
            ++taken[best_row];
            made.places.push_back(best_row);
            made.cost += best_cost;
        }
        made.victims.assign(victims.begin(), victims.end());
        return made;
    }

private:
    // The cheapest units on the slot, in order, until the task fits.
    std::optional<std::vector<std::size_t>> find_room(std::size_t row, resources free,
                                                      const std::set<std::size_t>& victims, double& cost) const
    {
        std::vector<std::size_t> chosen;
        for (const std::size_t unit : this->units_on[row]) {
            if (this->need.each.fits_in(free))
                return chosen;
            if (victims.contains(unit))
                continue;
            chosen.push_back(unit);
            cost += this->units[unit].cost;
            for (const std::size_t place : this->units[unit].rows) {
                if (place == row)
                    free += this->units[unit].each;
            }
        }
        if (this->need.each.fits_in(free))
            return chosen;
        return std::nullopt;
    }

    const placement_need& need;
    std::span<const slot> slots;
    std::span<const stoppable_unit> units;
    count_on_executor present;
    std::vector<std::vector<std::size_t>> units_on; // Rows of units by slot, cheapest first.
};

} // namespace

std::optional<preemption_plan> plan_preemption(const placement_need& need, std::span<const slot> slots,
                                               std::span<const stoppable_unit> units, count_on_executor present)
{
    const planner_of_group planner(need, slots, units, present);
    std::map<std::string_view, std::vector<std::size_t>> groups;
    for (std::size_t row = 0; row < slots.size(); ++row) {
        if (!is_eligible(need, slots[row]))
            continue;
        const bool is_bound = need.same_rack && need.count > 1;
        groups[is_bound ? slots[row].rack : std::string_view()].push_back(row);
    }
    std::optional<preemption_plan> best;
    for (const auto& [rack, rows] : groups) {
        auto made = planner.plan(rows);
        if (made && (!best || made->cost < best->cost))
            best = std::move(made);
    }
    return best;
}

} // namespace wigeon
