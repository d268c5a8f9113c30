// Greedy search: places one task after another on the executor where stops cost least. Plans each rack separately if
// the unit needs a single rack.

#include "dispatch/preemption.h"

#include <algorithm>
#include <limits>
#include <map>

namespace wigeon {

namespace {

// Costs are alike up to this ratio and this difference for each task, in core-seconds: a stop for a place where the
// job would be late anyway gains nothing.
constexpr double like_cost_ratio = 2.0;
constexpr double like_cost_difference = 5.0;

} // namespace

preemption_planner::preemption_planner(std::span<const executor_capacity> all_executors,
                                       std::span<const preemptible_unit> all_units)
    : executors(all_executors), units(all_units), units_on(all_executors.size())
{
    for (std::size_t row = 0; row < this->units.size(); ++row) {
        for (const std::size_t executor_row : this->units[row].executor_rows) {
            std::vector<std::size_t>& list = this->units_on[executor_row];
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

// Chooses the cheapest units on the executor, in order, until the task fits; false if it does not fit even without all
// allowed units.
bool preemption_planner::find_victims(std::size_t row, const resources& per_task, resources free,
                                      const std::set<std::size_t>& victims, std::vector<std::size_t>& chosen,
                                      double& cost) const
{
    chosen.clear();
    cost = 0;
    for (const std::size_t candidate : this->units_on[row]) {
        if (per_task.fits_in(free))
            return true;
        const preemptible_unit& running = this->units[candidate];
        if (!running.is_allowed || victims.contains(candidate))
            continue;
        chosen.push_back(candidate);
        cost += running.cost;
        free += running.per_task * std::count(running.executor_rows.begin(), running.executor_rows.end(), row);
    }
    return per_task.fits_in(free);
}

std::optional<preemption_plan> preemption_planner::plan_within(const placement_need& need, present_counts present,
                                                               std::span<const std::size_t> rows) const
{
    preemption_plan made;
    std::map<std::size_t, resources> changed; // Free resources under the plan, where they differ from the current ones.
    std::map<std::size_t, std::uint32_t> taken;
    std::set<std::size_t> victims;
    const auto find_free = [&](std::size_t row) {
        const auto found = changed.find(row);
        return found == changed.end() ? this->executors[row].free : found->second;
    };
    std::vector<std::size_t> chosen;
    for (std::uint32_t task = 0; task < need.count; ++task) {
        std::vector<std::size_t> best_victims;
        double best_cost = std::numeric_limits<double>::max();
        std::size_t best_row = this->executors.size();
        for (const std::size_t row : rows) {
            const std::uint32_t present_tasks = present.empty() ? 0 : present[row];
            if (need.max_per_executor > 0 && present_tasks + taken[row] >= need.max_per_executor)
                continue;
            double cost = 0;
            if (!this->find_victims(row, need.per_task, find_free(row), victims, chosen, cost) || cost >= best_cost)
                continue;
            best_victims = chosen;
            best_cost = cost;
            best_row = row;
            if (cost == 0)
                break;
        }
        if (best_row == this->executors.size())
            return std::nullopt;
        for (const std::size_t victim : best_victims) {
            victims.insert(victim);
            for (const std::size_t executor_row : this->units[victim].executor_rows)
                changed[executor_row] = find_free(executor_row) + this->units[victim].per_task;
        }
        changed[best_row] = find_free(best_row) - need.per_task;
        ++taken[best_row];
        made.places.push_back(best_row);
        made.cost += best_cost;
    }
    made.victims.assign(victims.begin(), victims.end());
    return made;
}

std::optional<preemption_plan> preemption_planner::plan_up_to(const placement_need& need, present_counts present,
                                                              double max_multiple) const
{
    std::map<std::string_view, std::vector<std::size_t>> groups;
    for (std::size_t row = 0; row < this->executors.size(); ++row) {
        if (!is_eligible(need, this->executors[row]) || this->executors[row].run_time_multiple > max_multiple)
            continue;
        const bool is_rack_bound = need.same_rack && need.count > 1;
        groups[is_rack_bound ? this->executors[row].rack : std::string_view()].push_back(row);
    }
    std::optional<preemption_plan> best;
    for (const auto& [rack, rows] : groups) {
        auto made = this->plan_within(need, present, rows);
        if (made && (!best || made->cost < best->cost))
            best = std::move(made);
    }
    return best;
}

std::optional<preemption_plan> preemption_planner::plan(const placement_need& need, present_counts present) const
{
    constexpr double any_multiple = std::numeric_limits<double>::infinity();
    if (need.preference != speed_preference::fastest)
        return this->plan_up_to(need, present, any_multiple);
    auto in_time = this->plan_up_to(need, present, need.in_time_multiple);
    if (need.must_be_in_time || (in_time && in_time->cost == 0))
        return in_time;
    auto any = this->plan_up_to(need, present, any_multiple);
    if (in_time && any && in_time->cost <= any->cost * like_cost_ratio + like_cost_difference * need.count)
        return in_time;
    return any;
}

} // namespace wigeon
