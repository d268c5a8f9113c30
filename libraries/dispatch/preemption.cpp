// Greedy search: task by task the slot where room costs least, in each rack by itself where the unit needs one.

#include "dispatch/preemption.h"

#include <algorithm>
#include <limits>
#include <map>

namespace wigeon {

preemption_planner::preemption_planner(std::span<const slot> all_slots, std::span<const stoppable_unit> all_units)
    : slots(all_slots), units(all_units), units_on(all_slots.size())
{
    for (std::size_t row = 0; row < this->units.size(); ++row) {
        for (const std::size_t place : this->units[row].rows) {
            std::vector<std::size_t>& list = this->units_on[place];
            if (list.empty() || list.back() != row)
                list.push_back(row);
        }
    }
    for (std::vector<std::size_t>& list : this->units_on) {
        std::sort(list.begin(), list.end(), [this](std::size_t left, std::size_t right) {
            return this->units[left].cost < this->units[right].cost;
        });
    }
}

// The cheapest units on the slot, in order, until the task fits.
bool preemption_planner::find_room(std::size_t row, const resources& each, resources free,
                                   const std::set<std::size_t>& victims, std::vector<std::size_t>& chosen,
                                   double& cost) const
{
    chosen.clear();
    cost = 0;
    for (const std::size_t candidate : this->units_on[row]) {
        if (each.fits_in(free))
            return true;
        const stoppable_unit& running = this->units[candidate];
        if (!running.is_allowed || victims.contains(candidate))
            continue;
        chosen.push_back(candidate);
        cost += running.cost;
        free += running.each * std::count(running.rows.begin(), running.rows.end(), row);
    }
    return each.fits_in(free);
}

std::optional<preemption_plan> preemption_planner::plan_in(const placement_need& need, count_on_executor present,
                                                           std::span<const std::size_t> rows) const
{
    preemption_plan made;
    std::map<std::size_t, resources> changed; // What is free in the plan, where that differs.
    std::map<std::size_t, std::uint32_t> taken;
    std::set<std::size_t> victims;
    const auto find_free = [&](std::size_t row) {
        const auto found = changed.find(row);
        return found == changed.end() ? this->slots[row].free : found->second;
    };
    std::vector<std::size_t> chosen;
    for (std::uint32_t task = 0; task < need.count; ++task) {
        std::vector<std::size_t> best_victims;
        double best_cost = std::numeric_limits<double>::max();
        std::size_t best_row = this->slots.size();
        for (const std::size_t row : rows) {
            const std::uint32_t already = present.empty() ? 0 : present[row];
            if (need.per_executor > 0 && already + taken[row] >= need.per_executor)
                continue;
            double cost = 0;
            if (!this->find_room(row, need.each, find_free(row), victims, chosen, cost) || cost >= best_cost)
                continue;
            best_victims = chosen;
            best_cost = cost;
            best_row = row;
            if (cost == 0)
                break;
        }
        if (best_row == this->slots.size())
            return std::nullopt;
        for (const std::size_t victim : best_victims) {
            victims.insert(victim);
            for (const std::size_t place : this->units[victim].rows)
                changed[place] = find_free(place) + this->units[victim].each;
        }
        changed[best_row] = find_free(best_row) - need.each;
        ++taken[best_row];
        made.places.push_back(best_row);
        made.cost += best_cost;
    }
    made.victims.assign(victims.begin(), victims.end());
    return made;
}

std::optional<preemption_plan> preemption_planner::plan(const placement_need& need, count_on_executor present) const
{
    std::map<std::string_view, std::vector<std::size_t>> groups;
    for (std::size_t row = 0; row < this->slots.size(); ++row) {
        if (!is_eligible(need, this->slots[row]))
            continue;
        const bool is_bound = need.same_rack && need.count > 1;
        groups[is_bound ? this->slots[row].rack : std::string_view()].push_back(row);
    }
    std::optional<preemption_plan> best;
    for (const auto& [rack, rows] : groups) {
        auto made = this->plan_in(need, present, rows);
        if (made && (!best || made->cost < best->cost))
            best = std::move(made);
    }
    return best;
}

} // namespace wigeon
