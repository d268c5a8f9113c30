// Validation of job requests: limits of the fields, and whether the job could ever run on the configured fleet.

#pragma once

#include <cstdint>
#include <string>

#include "wigeon.pb.h"

namespace wigeon {

constexpr std::uint32_t gang_task_limit = 1'024;
constexpr std::size_t key_limit_bytes = 128;
constexpr std::size_t command_limit_bytes = 4'096;

// Throws an error that names the invalid field. `configuration` is the version in force.
void check_job_request(const Configuration& configuration, const JobRequest& request);

// Accelerators that one task takes on the worker: at least the requested number, and enough that their proportional
// share of the worker's cores and memory covers the task. Returns 0 when the task can never fit on the worker.
std::uint32_t count_needed_accelerators(const JobRequest& request, const Worker& worker);

// The largest number of tasks of this request that the empty fleet could hold at once under the request's adjacency.
std::uint32_t count_startable_tasks(const Configuration& configuration, const JobRequest& request);

std::string make_job_id(const JobRequest& request);

bool is_ended(JobState state);
bool is_on_workers(JobState state);

} // namespace wigeon
