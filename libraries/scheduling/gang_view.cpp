// Creates the view of a new attempt.

#include "scheduling/gang_view.h"

namespace wigeon {

gang_view make_gang_view(const Job& job, const Configuration& configuration, const gang_options& options,
                         bool is_adopted, steady_time now)
{
    gang_view view;
    view.attempt = job.attempt();
    view.is_adopted = is_adopted;
    const milliseconds lease_limit = is_adopted ? options.adopted_lease_limit : milliseconds(0);
    for (const TaskPlacement& placement : job.placements()) {
        task_view task;
        task.worker = placement.worker();
        task.accelerators = placement.accelerators();
        task.share = find_resource_share(configuration, placement);
        task.lease_expiry = now + lease_limit;
        // An attempt that this holder placed itself was never on the worker before, so its tasks are known to be
        // absent.
        task.is_state_known = !is_adopted;
        view.tasks.push_back(std::move(task));
    }
    return view;
}

} // namespace wigeon
