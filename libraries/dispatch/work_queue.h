// The steps that wait for a place, in the order in which they are served. Answers a fleet asked for more than it has.

#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "dispatch/job_run.h"
#include "dispatch/queue_order.h"
#include "dispatch/run_tracker.h"
#include "jobs/fleet_policy.h"

namespace wigeon {

struct waiting_step {
    job_run* job = nullptr;
    std::uint32_t step_row = 0;
    work_rank rank = work_rank::regular;
    order_key key;
    bool can_meet_deadline = false;
    milliseconds slack{0}; // Until it must begin to end in time, by its estimates.
};

class work_queue {
public:
    // Counts what the urgent jobs of each account ask for; ranks go by it until the next call.
    void count_demand(const run_tracker& tracker, const fleet_policy& policy);

    [[nodiscard]] work_rank find_rank(const job_run& job) const;

    // The first to be served first.
    [[nodiscard]] std::vector<waiting_step> list(run_tracker& tracker, boot_time now) const;

private:
    [[nodiscard]] job_timing find_timing(const job_run& job) const;

    // By account: what it is guaranteed, and the accelerators of its unended urgent jobs.
    struct urgent_account {
        std::int64_t guaranteed = 0;
        std::int64_t demand = 0;
    };
    std::map<std::string, urgent_account, std::less<>> accounts;
};

} // namespace wigeon
