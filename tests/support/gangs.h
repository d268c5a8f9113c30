// Shared by the tests of jobs: gang jobs, scheduler flags with short leases, and the checks of the runs that the
// workers recorded.

#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "base/time.h"
#include "support/cluster.h"
#include "wigeon.pb.h"

namespace wigeon::test {

// Short leases and call timeouts keep the tests short; max_partial_run_ms is derived from them.
inline constexpr std::uint64_t lease_ms = 2'000;
inline constexpr std::uint64_t call_timeout_ms = 400;

// The users' limit on the time from the submission of an urgent job until it runs.
inline constexpr milliseconds urgent_start_limit{3'700};

// `task_lease_ms`: the lease of running tasks.
inline std::vector<std::string> make_scheduler_flags(std::uint64_t task_lease_ms)
{
    return {"--lease_ms=" + std::to_string(task_lease_ms), "--worker_timeout_ms=400", "--hold_ms=1500",
            "--checkpoint_limit_ms=500", "--ping_interval_ms=300"};
}

inline const std::vector<std::string> short_lease_flags = make_scheduler_flags(lease_ms);

// Task leases that outlast a change of the term, as the default of 15 s does.
inline const std::vector<std::string> long_lease_flags = make_scheduler_flags(6'000);

// The longest time in which some tasks of a gang may run while others do not: the loss of a task is detected at the
// latest when its lease expires, and the other tasks are stopped within a few calls.
inline constexpr std::uint64_t max_partial_run_ms = lease_ms + 500 + 4 * call_timeout_ms;

// A job whose tasks each use 8 accelerators and run for `run_ms`, all in one rack.
JobRequest make_gang(const std::string& account, const std::string& key, std::uint32_t tasks, std::uint64_t run_ms,
                     const std::string& job_class = "batch");

// Checks that no two attempts of a job overlap and that no gang runs partially for longer than max_partial_run_ms. Each
// job has this number of tasks. Returns the longest partial run in milliseconds.
std::uint64_t check_gangs(const std::vector<task_run>& runs, std::uint32_t tasks_per_gang);

// Throws when the job does not reach the state within the timeout.
void wait_for_state(const cluster& system, const std::string& id, JobState state, milliseconds timeout);

// Submits a job and waits until it has finished. By then, each job submitted before it is accepted or refused.
void run_barrier_job(const cluster& system);

// Returns the configuration with a guarantee added to the account: this number of cells, each of two whole workers in
// one rack.
Configuration with_guarantee(Configuration configuration, const std::string& account, std::uint32_t cells);

} // namespace wigeon::test
