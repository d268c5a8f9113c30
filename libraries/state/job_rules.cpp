// Validation of job requests.

#include "state/job_rules.h"

#include <algorithm>
#include <map>

#include "base/error_kind.h"
#include "state/configuration.h"

namespace wigeon {

namespace {

[[noreturn]] void refuse(const std::string& detail)
{
    throw error(error_kind::malformed_request, detail);
}

std::uint32_t divide_rounding_up(std::uint64_t amount, std::uint64_t unit)
{
    return static_cast<std::uint32_t>((amount + unit - 1) / unit);
}

} // namespace

void check_job_request(const Configuration& configuration, const JobRequest& request)
{
    if (find_account(configuration, request.account()) == nullptr)
        throw error(error_kind::unknown_account,
                    "account: '" + request.account().substr(0, name_limit_bytes) + "' is not configured");
    if (find_class(configuration, request.job_class()) == nullptr)
        throw error(error_kind::unknown_class,
                    "job_class: '" + request.job_class().substr(0, name_limit_bytes) + "' is not configured");
    if (request.key().size() > key_limit_bytes || !is_valid_name(request.key().substr(0, name_limit_bytes)))
        refuse("key: empty, too long or has characters beyond A-Z a-z 0-9 - _ .");
    if (request.tasks() == 0 || request.tasks() > gang_task_limit)
        refuse("tasks: " + std::to_string(request.tasks()) + " is not in 1 to " + std::to_string(gang_task_limit));
    if (request.accelerators_per_task() == 0 || request.accelerators_per_task() > accelerators_per_worker_limit)
        refuse("accelerators_per_task: " + std::to_string(request.accelerators_per_task()) + " is not in 1 to " +
               std::to_string(accelerators_per_worker_limit));
    if (request.command().size() > command_limit_bytes)
        refuse("command: longer than " + std::to_string(command_limit_bytes) + " bytes");
    if (!Adjacency_IsValid(request.adjacency()))
        refuse("adjacency: not a known value");
    const std::uint32_t startable = count_startable_tasks(configuration, request);
    if (startable < request.tasks())
        throw error(error_kind::never_fits, "tasks: " + std::to_string(request.tasks()) +
                                                " asked, the largest gang of this shape is " +
                                                std::to_string(startable));
}

std::uint32_t count_needed_accelerators(const JobRequest& request, const Worker& worker)
{
    std::uint32_t needed = request.accelerators_per_task();
    if (request.cores_per_task() > 0) {
        if (worker.cores() < request.cores_per_task())
            return 0;
        needed = std::max(needed, divide_rounding_up(std::uint64_t{request.cores_per_task()} * worker.accelerators(),
                                                     worker.cores()));
    }
    if (request.memory_gigabytes_per_task() > 0) {
        if (worker.memory_gigabytes() < request.memory_gigabytes_per_task())
            return 0;
        needed = std::max(needed,
                          divide_rounding_up(std::uint64_t{request.memory_gigabytes_per_task()} * worker.accelerators(),
                                             worker.memory_gigabytes()));
    }
    return needed <= worker.accelerators() ? needed : 0;
}

std::uint32_t count_startable_tasks(const Configuration& configuration, const JobRequest& request)
{
    std::map<std::string, std::uint32_t> groups;
    std::uint32_t largest = 0;
    for (const Worker& worker : configuration.workers()) {
        const std::uint32_t needed = count_needed_accelerators(request, worker);
        if (needed == 0)
            continue;
        std::string group;
        if (request.adjacency() != ADJACENCY_ANY)
            group = worker.zone();
        if (request.adjacency() == ADJACENCY_RACK)
            group += "/" + worker.rack();
        std::uint32_t& tasks = groups[group];
        tasks += worker.accelerators() / needed;
        largest = std::max(largest, tasks);
    }
    return largest;
}

std::string make_job_id(const JobRequest& request)
{
    return request.account() + "/" + request.key();
}

bool is_ended(JobState state)
{
    return state == JOB_FINISHED || state == JOB_FAILED || state == JOB_CANCELLED || state == JOB_REFUSED;
}

bool is_on_workers(JobState state)
{
    return state == JOB_PLACED || state == JOB_RUNNING || state == JOB_STOPPING;
}

} // namespace wigeon
