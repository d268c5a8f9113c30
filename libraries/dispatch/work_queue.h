// Lists the steps that wait for placement, in the order in which they are served when the fleet can't run them all.

#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "dispatch/account_shares.h"
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
    milliseconds slack{0};         // Until it must start to meet its deadline, by its estimates.
    milliseconds critical_path{0}; // What is still to run of the job, by its estimates.
};

class work_queue {
public:
    // Counts the accelerators that the urgent jobs of each account ask for. Ranks are based on it until the next call.
    void count_demand(const run_tracker& tracker, const fleet_policy& policy);

    [[nodiscard]] work_rank find_rank(const job_run& job) const;

    // Returns the waiting steps; the one to be served first is at the front. Counts them in `shares`, if given; the
    // work of accounts above their share then moves back while their pool is short.
    [[nodiscard]] std::vector<waiting_step> list(run_tracker& tracker, boot_time now,
                                                 account_shares* shares = nullptr) const;

private:
    [[nodiscard]] job_timing find_timing(const job_run& job) const;
    void apply_shares(std::vector<waiting_step>& waiting, const account_shares& shares, boot_time now) const;

    // An account's guaranteed accelerators, and the accelerators that its unfinished urgent jobs ask for.
    struct urgent_account {
        std::int64_t guaranteed = 0;
        std::int64_t demand = 0;
    };
    std::map<std::string, urgent_account, std::less<>> accounts;
};

} // namespace wigeon
