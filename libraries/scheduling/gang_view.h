// What the holder of the term knows of one gang on its workers, and the times that bound its life.

#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "base/time.h"
#include "scheduling/task_usage.h"
#include "wigeon.pb.h"

namespace wigeon {

struct gang_options {
    milliseconds lease{15'000};
    milliseconds hold_lease{3'000};
    milliseconds checkpoint_limit{1'500};
    milliseconds retry_interval{100};          // Between two tries of an unanswered order.
    milliseconds unresponsive_interval{1'000}; // Between two messages to a worker that does not answer.
    milliseconds call_timeout{800};            // Time limit of one exchange.
    milliseconds ping_interval{2'000};         // Longest time without a message to a worker.
    milliseconds start_timeout{2'500};         // From the placement to the last release; less than the hold.
    // Part of a lease that a renewal leaves for retries and for a change of the holder, if the lease is long enough.
    milliseconds renewal_reserve{7'500};
    milliseconds poll_interval{1'000};         // Shortest time between two renewals of a running task.
    milliseconds adopted_lease_limit{915'000}; // After which tasks of an unreachable worker, started by an
                                               // earlier holder, have lapsed for certain.
    std::uint32_t job_attempts = 3;
    // Usage is reported with a lag: for this long after a stop, a worker's memory is not judged again.
    milliseconds usage_report_delay{10'000};
};

struct task_view {
    std::string worker;
    std::uint32_t accelerators = 0;
    TaskState state = TASK_ABSENT;
    bool is_state_known = false;          // False until the worker answered under this term.
    steady_time lease_expiry{};           // When the task has certainly stopped by itself.
    steady_time ordered_lease_expiry{};   // The same for this holder's orders alone: one without an answer may still be
                                          // carried out.
    steady_time last_order_at{};          // When an order was last made for it.
    steady_time last_answered_order_at{}; // Start of the newest answered exchange.
    std::uint32_t connection_refusals = 0; // Connections refused in a row.
    resource_share share;
    std::uint32_t cores_limit = 0; // To which the task is to be throttled; 0 while it keeps to its part.
};

struct gang_view {
    std::uint32_t attempt = 0;
    JobState job_state = JOB_UNKNOWN;
    steady_time job_state_since{};
    bool is_adopted = false;     // Was on workers before this holder saw it.
    bool is_released = false;    // A release went out: no task may be held anew.
    steady_time next_check_at{}; // When orders or decisions may be due next; an answer makes it sooner.
    std::vector<task_view> tasks;
    std::uint32_t evicted_memory_gigabytes =
        0; // Gigabytes that one task used when the gang had to go for it; 0: it has not.
};

// The view of a job's present attempt before anything was heard of it. `is_adopted`: an earlier holder may have started
// it.
gang_view make_gang_view(const Job& job, const Configuration& configuration, const gang_options& options,
                         bool is_adopted, steady_time now);

} // namespace wigeon
