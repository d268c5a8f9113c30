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

struct job_timing {
    work_rank rank = work_rank::regular;
    boot_time arrived_at;
    milliseconds critical_path{0}; // Expected run time of its longest chain of tasks that is still to run.
    boot_time deadline;            // In time if it ends by then.
    boot_time useful_until;        // Worth nothing later.
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

order_key make_order_key(const job_timing& timing, boot_time now);

// Whether the job still ends in time if it begins now.
bool can_meet_deadline(const job_timing& timing, boot_time now);

} // namespace wigeon
