// Which waiting job is served next. Answers a fleet asked for more than it has: guaranteed urgent work first, then
// what can still be in time by its slack, then what is late already. Pure.

#pragma once

#include <cstdint>
#include <string_view>
#include <tuple>

#include "base/time.h"

namespace wigeon {

enum class work_rank : std::uint8_t {
    guaranteed_urgent, // Priority 0, and all such jobs of its account fit in the account's guarantee.
    urgent,
    regular,
    background,
};

std::string_view to_string(work_rank rank);

struct job_prospect {
    work_rank rank = work_rank::regular;
    boot_time arrived;
    milliseconds chain{0}; // Expected run time of its longest chain of tasks that is still to run.
    boot_time objective;   // In time if it ends by then.
    boot_time last_use;    // Worth nothing later.
};

// Less is served earlier.
struct order_key {
    std::uint8_t tier = 0;
    std::int64_t position_ms = 0;

    friend bool operator<(const order_key& left, const order_key& right)
    {
        return std::tie(left.tier, left.position_ms) < std::tie(right.tier, right.position_ms);
    }
};

order_key find_order(const job_prospect& job, boot_time now);

// Whether the job still ends in time if it begins now.
bool is_in_time(const job_prospect& job, boot_time now);

} // namespace wigeon
