// What the tests of jobs share: gangs, short leases, and the checks on the runs that the workers recorded.

#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "base/time.h"
#include "support/cluster.h"
#include "wigeon.pb.h"

namespace wigeon::test {

// Short leases keep the tests short; the bounds below are worked out from them.
inline constexpr std::uint64_t lease_ms = 2'000;
inline constexpr std::uint64_t call_timeout_ms = 400;
inline constexpr milliseconds urgent_start_limit{3'700};

// `task_lease_ms`: the lease of running tasks.
inline std::vector<std::string> make_scheduler_flags(std::uint64_t task_lease_ms)
{
    return {"--lease_ms=" + std::to_string(task_lease_ms), "--worker_timeout_ms=400", "--hold_ms=1500",
            "--checkpoint_limit_ms=500", "--ping_interval_ms=300"};
}

inline const std::vector<std::string> short_lease_flags = make_scheduler_flags(lease_ms);

// The leases of tasks outlast a change of the term, as the default of 15 s does.
inline const std::vector<std::string> long_lease_flags = make_scheduler_flags(6'000);

// The bound on the time in which some members of a gang run and others do not: a lost member is noticed at the
// latest when its lease lapsed, and the others are stopped within a few calls.
inline constexpr std::uint64_t max_partial_run_ms = lease_ms + 500 + 4 * call_timeout_ms;

JobRequest make_gang(const std::string& account, const std::string& key, std::uint32_t tasks, std::uint64_t run_ms,
                     const std::string& job_class = "batch");

// No two attempts of a job run at once, and no gang runs partially beyond the bound. Returns the longest partial time.
std::uint64_t check_gangs(const std::vector<task_run>& runs, std::uint32_t tasks);

void wait_for_state(const cluster& system, const std::string& id, JobState state, milliseconds timeout);

// Runs a job that was accepted after all before it: what came earlier is settled when it has run.
void run_barrier_job(const cluster& system);

// The account is guaranteed this many pairs of whole workers in one rack.
Configuration with_guarantee(Configuration configuration, const std::string& account, std::uint32_t cells);

} // namespace wigeon::test
