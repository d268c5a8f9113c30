// Order in which waiting jobs are served when the fleet can't run them all: guaranteed urgent jobs, other urgent jobs,
// then regular and background jobs. Beyond the guarantee, jobs that can still meet their deadline come first, by slack,
// then late ones, by arrival. Jobs that are too late to be useful come last. No I/O, no clock.

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
    milliseconds critical_path{0}; // Expected run time of the longest chain of tasks that is still to run.
    boot_time deadline;            // The job is in time if it ends by then.
    boot_time useful_until;        // The result is worth nothing later.
};

// Sort key; lower keys are served earlier.
struct order_key {
    std::uint8_t tier = 0;
    std::int64_t position_ms = 0;

    friend bool operator<(const order_key& left, const order_key& right)
    {
        return std::tie(left.tier, left.position_ms) < std::tie(right.tier, right.position_ms);
    }
};

// `share_penalty` moves the job back within its tier, because its account uses more than its share. Guaranteed urgent
// jobs, and those that are nearly late or nearly worthless, keep their place.
order_key make_order_key(const job_timing& timing, boot_time now, milliseconds share_penalty = milliseconds(0));

// Whether the job still ends by its deadline if it starts now.
bool can_meet_deadline(const job_timing& timing, boot_time now);

} // namespace wigeon
