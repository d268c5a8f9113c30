// Parts of workers, and who goes beyond them.

#include "scheduling/task_usage.h"

#include "state/configuration.h"

namespace wigeon {

usage_part find_part(const Configuration& configuration, const TaskPlacement& placement)
{
    const Worker* worker = find_worker(configuration, placement.worker());
    if (worker == nullptr || worker->accelerators() == 0)
        return {};
    usage_part part;
    part.cores = worker->cores() * placement.accelerators() / worker->accelerators();
    part.memory_gigabytes = worker->memory_gigabytes() * placement.accelerators() / worker->accelerators();
    part.worker_memory_gigabytes = worker->memory_gigabytes();
    return part;
}

usage_part find_part(const replicated_state& state, const TaskReport& report)
{
    const Job* job = state.find_job(report.job());
    if (job == nullptr || static_cast<int>(report.task()) >= job->placements_size())
        return {};
    return find_part(state.configuration(), job->placements(static_cast<int>(report.task())));
}

bool is_beyond_cores(const TaskReport& report, const usage_part& part)
{
    return part.cores != 0 && report.used_cores() > part.cores;
}

bool is_beyond_memory(const TaskReport& report, const usage_part& part)
{
    return part.memory_gigabytes != 0 && report.used_memory_gigabytes() > part.memory_gigabytes;
}

const TaskReport* find_outgrown(const WorkerReports& reports,
                                const std::function<usage_part(const TaskReport&)>& find_part)
{
    const TaskReport* furthest = nullptr;
    std::uint32_t largest_excess = 0;
    for (const TaskReport& report : reports.reports()) {
        const usage_part part = find_part(report);
        const bool is_overfull = reports.used_memory_gigabytes() > part.worker_memory_gigabytes;
        if (report.state() != TASK_RUNNING || !is_overfull || !is_beyond_memory(report, part))
            continue;
        const std::uint32_t excess = report.used_memory_gigabytes() - part.memory_gigabytes;
        if (excess <= largest_excess)
            continue;
        largest_excess = excess;
        furthest = &report;
    }
    return furthest;
}

} // namespace wigeon
