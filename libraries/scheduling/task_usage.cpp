// Shares of workers, and tasks that exceed them.

#include "scheduling/task_usage.h"

#include "state/configuration.h"

namespace wigeon {

resource_share find_resource_share(const Configuration& configuration, const TaskPlacement& placement)
{
    const Worker* worker = find_worker(configuration, placement.worker());
    if (worker == nullptr || worker->accelerators() == 0)
        return {};
    resource_share share;
    share.cores = worker->cores() * placement.accelerators() / worker->accelerators();
    share.memory_gigabytes = worker->memory_gigabytes() * placement.accelerators() / worker->accelerators();
    share.worker_memory_gigabytes = worker->memory_gigabytes();
    return share;
}

resource_share find_resource_share(const replicated_state& state, const TaskReport& report)
{
    const Job* job = state.find_job(report.job());
    if (job == nullptr || static_cast<int>(report.task()) >= job->placements_size())
        return {};
    return find_resource_share(state.configuration(), job->placements(static_cast<int>(report.task())));
}

bool exceeds_core_share(const TaskReport& report, const resource_share& share)
{
    return share.cores != 0 && report.used_cores() > share.cores;
}

bool exceeds_memory_share(const TaskReport& report, const resource_share& share)
{
    return share.memory_gigabytes != 0 && report.used_memory_gigabytes() > share.memory_gigabytes;
}

const TaskReport* find_eviction_candidate(const WorkerReports& reports,
                                          const std::function<resource_share(const TaskReport&)>& share_of)
{
    const TaskReport* candidate = nullptr;
    std::uint32_t largest_excess = 0;
    for (const TaskReport& report : reports.reports()) {
        const resource_share share = share_of(report);
        const bool is_memory_exhausted = reports.used_memory_gigabytes() > share.worker_memory_gigabytes;
        if (report.state() != TASK_RUNNING || !is_memory_exhausted || !exceeds_memory_share(report, share))
            continue;
        const std::uint32_t excess = report.used_memory_gigabytes() - share.memory_gigabytes;
        if (excess <= largest_excess)
            continue;
        largest_excess = excess;
        candidate = &report;
    }
    return candidate;
}

} // namespace wigeon
