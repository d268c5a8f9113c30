// Finds executors for a unit of work. Packs tightly, so that whole executors and racks stay free for wide units. Made
// for fleets where accelerators are scarce, and cores and memory only sometimes. On a fleet whose executors differ in
// speed, urgent gangs get the fastest set that fits, and other work leaves the fastest executors to them. No I/O, no
// clock.

#pragma once

#include <cstdint>
#include <limits>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "dispatch/resources.h"

namespace wigeon {

// How fast an executor is.
struct executor_pace {
    double run_time_multiple = 1.0; // Expected run time of a task as a multiple of that on the fleet's median executor.
    std::int32_t speed_class = 0;   // 0 is the fastest.
};

// The resources of an executor and its restrictions for the unit that is being placed.
struct executor_capacity {
    std::string_view executor;
    std::string_view pool;
    std::string_view rack;
    std::span<const std::string> labels;
    resources total;             // Used or not.
    resources free;              // Not used and not reserved; may be negative.
    bool is_quarantined = false; // Gets no new tasks for now.
    bool is_avoided = false;     // The unit that is being placed failed there.
    bool is_permitted = true;    // The unit that is being placed may run there at all.
    bool has_filling = false;    // Runs a task that uses what others leave unused.
    bool has_serving = false;    // Runs a task with a target for its users' response times.
    // Expected run time of a task as a multiple of that on the fleet's median executor, and its class; class 0 is the
    // fastest. While the fleet counts as even, all executors have the multiple 1 and the class 0.
    double run_time_multiple = 1.0;
    std::int32_t speed_class = 0;
};

// Which executors a unit takes first while the fleet is uneven.
enum class speed_preference : std::uint8_t { none, fastest, slowest };

struct placement_need {
    std::string_view pool;
    resources per_task;
    std::uint32_t count = 1;
    bool same_rack = false;
    std::string_view required_label;
    std::string_view data_rack;
    bool may_leave_data_rack = false; // Away from its data it runs several times as long.
    bool is_filling = false; // Not placed beside serving tasks: how much it disturbs them is not known in advance.
    bool is_serving = false;
    std::uint32_t max_per_executor = 0; // At most this many tasks of the step on one executor; 0: no limit.
    speed_preference preference = speed_preference::none;
    // The run-time multiple up to which the job ends in time by its estimates, and with a margin for their error.
    double in_time_multiple = std::numeric_limits<double>::infinity();
    double safe_multiple = std::numeric_limits<double>::infinity();
    bool must_be_in_time = false; // Work is stopped only for places on which the job ends in time.
};

// Slower classes count as this one.
constexpr std::int32_t max_speed_class = 15;

// Number of tasks of the same step that each executor already has.
using present_counts = std::span<const std::uint32_t>; // By row of the executor; empty: none anywhere.

// Returns the row of an executor for each task, or nothing if the unit does not fit now. The preference decides where
// the unit is placed, never whether it is.
std::optional<std::vector<std::size_t>>
find_places(const placement_need& need, std::span<const executor_capacity> executors, present_counts present);

// Whether the unit would fit on these executors if they were empty. A unit that asks for one rack but is too large for
// any rack may spread over several.
bool could_ever_fit(const placement_need& need, std::span<const executor_capacity> executors);

// The last of the fastest classes, which are kept for urgent work and have about a third of the accelerators.
std::int32_t find_last_fast_class(std::span<const executor_capacity> executors);

// The highest run-time multiple among the executors of these rows: a gang runs at the pace of its slowest member.
double find_pace(std::span<const executor_capacity> executors, std::span<const std::size_t> rows);

// Whether the executor may run tasks of this need, whatever is free on it.
bool is_eligible(const placement_need& need, const executor_capacity& candidate);

} // namespace wigeon
