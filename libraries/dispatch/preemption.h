// Plans which running units to stop so that a more urgent unit fits, with the least lost work. Stops whole units only.
// Used for urgent bursts on a full fleet and to reclaim guaranteed accelerators. No I/O, no clock.

#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <span>
#include <vector>

#include "dispatch/placement.h"

namespace wigeon {

// A running unit that may be stopped.
struct preemptible_unit {
    resources per_task;
    std::vector<std::size_t> executor_rows; // The executor of each task.
    double cost = 0;                        // Work lost by a stop, in core-seconds.
    bool is_allowed = true;                 // May be stopped for the need that is planned now.
};

struct preemption_plan {
    std::vector<std::size_t> victims; // Rows of the units to stop.
    std::vector<std::size_t> places;  // Rows of executors, one per task.
    double cost = 0;
};

// Makes plans for several needs of one round. The executors and units must outlive the planner; `free` and `is_allowed`
// may change between plans.
class preemption_planner {
public:
    preemption_planner(std::span<const executor_capacity> executors, std::span<const preemptible_unit> units);

    // Nothing if the need would not fit even if all allowed units were stopped. A need that prefers the fastest
    // executors gets places on which it ends in time, unless such places cost much more than others.
    [[nodiscard]] std::optional<preemption_plan> plan(const placement_need& need, present_counts present) const;

private:
    [[nodiscard]] std::optional<preemption_plan> plan_up_to(const placement_need& need, present_counts present,
                                                            double max_multiple) const;
    [[nodiscard]] std::optional<preemption_plan> plan_within(const placement_need& need, present_counts present,
                                                             std::span<const std::size_t> rows) const;
    [[nodiscard]] bool find_victims(std::size_t row, const resources& per_task, resources free,
                                    const std::set<std::size_t>& victims, std::vector<std::size_t>& chosen,
                                    double& cost) const;

    std::span<const executor_capacity> executors;
    std::span<const preemptible_unit> units;
    std::vector<std::vector<std::size_t>> units_on; // Rows of units by executor, cheapest first.
};

} // namespace wigeon
