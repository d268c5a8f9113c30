// State of one gang on its workers as known to the holder of the term, and the timeouts and intervals for gangs.

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
    milliseconds retry_interval{100};          // Between two attempts of an unanswered order.
    milliseconds unresponsive_interval{1'000}; // Between two messages to a worker that does not respond.
    milliseconds call_timeout{800};            // For one request to a worker and its response.
    milliseconds ping_interval{2'000};         // Longest time without a message to a worker.
    milliseconds start_timeout{2'500};         // From the placement to the last release; shorter than hold_lease.
    // Remaining time of a lease when its renewal is due, if the lease is long enough. Leaves time for retries and for
    // a change of the holder.
    milliseconds renewal_reserve{7'500};
    milliseconds poll_interval{1'000}; // Shortest time between two renewals of a running task.
    // After this time, leases that an earlier holder granted on an unreachable worker have certainly expired.
    milliseconds adopted_lease_limit{915'000};
    std::uint32_t job_attempts = 3;
    // Usage reports lag behind: for this long after an eviction, the memory usage of the worker is not evaluated again.
    milliseconds usage_report_delay{10'000};
};

struct task_view {
    std::string worker;
    std::uint32_t accelerators = 0;
    TaskState state = TASK_ABSENT;
    // False for an adopted gang, and after an order that may or may not have taken effect, until the worker reports.
    bool is_state_known = false;
    steady_time lease_expiry{}; // When the task has certainly stopped, even without an order.
    // The same from this holder's orders alone: an unanswered order may still be executed.
    steady_time ordered_lease_expiry{};
    steady_time last_order_at{};           // When the newest order was made.
    steady_time last_answered_order_at{};  // When the newest answered order was sent.
    std::uint32_t connection_refusals = 0; // Connections refused in a row.
    resource_share share;
    std::uint32_t cores_limit = 0; // Cores to which the task is throttled; 0 if it is not.
};

struct gang_view {
    std::uint32_t attempt = 0;
    JobState job_state = JOB_UNKNOWN;
    steady_time job_state_since{};
    bool is_adopted = false;     // An earlier holder may have started it.
    bool is_released = false;    // A release was ordered: no further task may be held.
    steady_time next_check_at{}; // When orders or decisions may be due next; a response sets it to the current time.
    std::vector<task_view> tasks;
    std::uint32_t evicted_memory_gigabytes = 0; // Memory use of one task for which the gang is evicted; 0 if it is not.
};

// Returns the view of a job's current attempt before any report. `is_adopted`: an earlier holder may have started it.
gang_view make_gang_view(const Job& job, const Configuration& configuration, const gang_options& options,
                         bool is_adopted, steady_time now);

} // namespace wigeon
