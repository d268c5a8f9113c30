// Where a unit of work fits: packs tight, keeps whole executors and racks free for wide work. Answers a fleet whose
// accelerators are short while its cores and memory are not always. Pure.

#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "dispatch/resources.h"

namespace wigeon {

// An executor as placement sees it.
struct executor_capacity {
    std::string_view executor;
    std::string_view pool;
    std::string_view rack;
    std::span<const std::string> labels;
    resources total;             // All of it.
    resources free;              // Not used and not reserved; may be negative.
    bool is_quarantined = false; // Gets no new task for now.
    bool is_avoided = false;     // The unit that is being placed failed there.
    bool is_permitted = true;    // The unit that is being placed may run there at all.
    bool has_filling = false;    // A task runs there that takes what others leave unused.
    bool has_serving = false;    // A task runs there whose users' response times have a target.
};

struct placement_need {
    std::string_view pool;
    resources per_task;
    std::uint32_t count = 1;
    bool same_rack = false;
    std::string_view required_label;
    std::string_view data_rack;
    bool may_leave_data_rack = false; // Far from its data it runs several times as long.
    bool is_filling = false;          // Not beside serving tasks: how much it disturbs them is not known beforehand.
    bool is_serving = false;
    std::uint32_t max_per_executor = 0; // At most this many tasks on one executor; 0: no bound.
};

// Tasks of the same step that an executor has already.
using present_counts = std::span<const std::uint32_t>; // One a slot; empty: none anywhere.

// Rows of slots, one a task, or nothing when the unit does not fit now.
std::optional<std::vector<std::size_t>>
find_places(const placement_need& need, std::span<const executor_capacity> executors, present_counts present);

// Whether the unit would fit on these executors if they were empty; in one rack if it asks for that.
bool could_ever_fit(const placement_need& need, std::span<const executor_capacity> executors);

// Whether the slot may take tasks of this need at all, whatever is free.
bool is_eligible(const placement_need& need, const executor_capacity& candidate);

} // namespace wigeon
