// What makes a job request valid, and whether it could ever run on the configured fleet.

#pragma once

#include <cstdint>
#include <string>

#include "wigeon.pb.h"

namespace wigeon {

constexpr std::uint32_t gang_task_limit = 1'024;
constexpr std::size_t key_limit_bytes = 128;
constexpr std::size_t command_limit_bytes = 4'096;

// Throws an error that names the field. `configuration` is the version in force.
void check_job_request(const Configuration& configuration, const JobRequest& request);

// Accelerators that one task takes of the worker: at least those asked for, and enough that the worker's
// proportional share of processors and memory covers the task. Returns 0 when the worker can never hold it.
std::uint32_t count_needed_accelerators(const JobRequest& request, const Worker& worker);

// The largest number of tasks of this shape that the whole fleet could hold at once under the adjacency.
std::uint32_t count_startable_tasks(const Configuration& configuration, const JobRequest& request);

std::string make_job_id(const JobRequest& request);

bool is_ended(JobState state);
bool is_on_workers(JobState state);

} // namespace wigeon
