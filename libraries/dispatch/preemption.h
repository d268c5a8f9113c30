// Which running units to stop so that a more urgent one fits: the least work lost, whole units only. Answers urgent
// bursts on a full fleet and the reclaim of guaranteed accelerators. Pure.

#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <vector>

#include "dispatch/placement.h"

namespace wigeon {

// A running unit that may be stopped.
struct stoppable_unit {
    resources each;
    std::vector<std::size_t> rows; // The slot of each task.
    double cost = 0;               // Work lost by a stop, in core-seconds.
};

struct preemption_plan {
    std::vector<std::size_t> victims; // Rows of the units to stop.
    std::vector<std::size_t> places;  // Rows of slots, one a task.
    double cost = 0;
};

// Nothing when the need would not fit even if all units were stopped.
std::optional<preemption_plan> plan_preemption(const placement_need& need, std::span<const slot> slots,
                                               std::span<const stoppable_unit> units, count_on_executor present);

} // namespace wigeon
