// State transitions of gangs that are starting, running or stopping.

#include "scheduling/gang_decisions.h"

#include <algorithm>
#include <string>

#include "state/job_rules.h"

namespace wigeon {

namespace {

// After this many refused connections in a row the worker is presumed dead, and its gangs are stopped on their other
// workers. This is no proof: the job is requeued only when the leases of the tasks on that worker have expired.
constexpr std::uint32_t refusal_limit = 3;

Decision make_stop(const Job& job, const std::string& reason)
{
    Decision decision;
    decision.mutable_stop()->set_job(job.id());
    decision.mutable_stop()->set_attempt(job.attempt());
    decision.mutable_stop()->set_reason(reason);
    return decision;
}

Decision make_end(const Job& job, JobState state, const std::string& reason)
{
    Decision decision;
    decision.mutable_end()->set_job(job.id());
    decision.mutable_end()->set_attempt(job.attempt());
    decision.mutable_end()->set_state(state);
    decision.mutable_end()->set_reason(reason);
    return decision;
}

Decision make_requeue(const Job& job, const task_view* failed)
{
    Decision decision;
    RequeueJob& requeue = *decision.mutable_requeue();
    requeue.set_job(job.id());
    requeue.set_attempt(job.attempt());
    requeue.set_is_own_failure(failed != nullptr);
    if (failed != nullptr)
        requeue.set_failed_worker(failed->worker);
    requeue.set_reason(job.reason());
    return decision;
}

const task_view* find_failed(const gang_view& gang)
{
    const auto found = std::find_if(gang.tasks.begin(), gang.tasks.end(), [](const task_view& task) {
        return task.is_state_known && task.state == TASK_FAILED;
    });
    return found == gang.tasks.end() ? nullptr : &*found;
}

bool is_finished(const gang_view& gang)
{
    return std::all_of(gang.tasks.begin(), gang.tasks.end(),
                       [](const task_view& task) { return task.is_state_known && task.state == TASK_FINISHED; });
}

std::optional<Decision> decide_starting(const Job& job, const gang_view& gang, const gang_options& options,
                                        steady_time now)
{
    if (job.is_cancel_requested())
        return make_stop(job, "cancelled");
    if (const task_view* failed = find_failed(gang))
        return make_stop(job, "a task failed on " + failed->worker);
    const bool is_lost = std::any_of(gang.tasks.begin(), gang.tasks.end(), [&](const task_view& task) {
        const bool is_missing = task.state == TASK_STOPPED || task.state == TASK_ABSENT;
        return task.is_state_known && is_missing && (gang.is_released || gang.is_adopted || task.state == TASK_STOPPED);
    });
    if (is_lost)
        return make_stop(job, "a task was lost before the start");
    const bool is_release_pending = std::any_of(gang.tasks.begin(), gang.tasks.end(), [](const task_view& task) {
        return !task.is_state_known || task.state == TASK_HELD || task.state == TASK_ABSENT;
    });
    if (is_release_pending) {
        const bool is_late = now - gang.job_state_since > options.start_timeout;
        return is_late ? std::optional(make_stop(job, "the start took too long")) : std::nullopt;
    }
    Decision decision;
    decision.mutable_running()->set_job(job.id());
    decision.mutable_running()->set_attempt(job.attempt());
    return decision;
}

std::optional<Decision> decide_running(const Job& job, const gang_view& gang, steady_time now)
{
    if (job.is_cancel_requested())
        return make_stop(job, "cancelled");
    if (gang.evicted_memory_gigabytes != 0) {
        Decision decision = make_stop(job, std::string(memory_eviction_reason) + ": a task used " +
                                               std::to_string(gang.evicted_memory_gigabytes) + " GB on a full worker");
        decision.mutable_stop()->set_used_memory_gigabytes(gang.evicted_memory_gigabytes);
        return decision;
    }
    for (const task_view& task : gang.tasks) {
        if (task.is_state_known && task.state == TASK_FAILED)
            return make_stop(job, "a task failed on " + task.worker);
        const bool is_ended = task.is_state_known && task.state != TASK_FINISHED && !is_live(task.state);
        const bool is_lease_expired = !task.is_state_known && now >= task.lease_expiry;
        const bool is_unreachable = task.connection_refusals >= refusal_limit && is_live(task.state);
        if (is_ended || is_lease_expired || is_unreachable)
            return make_stop(job, "a task was lost on " + task.worker);
    }
    return is_finished(gang) ? std::optional(make_end(job, JOB_FINISHED, "")) : std::nullopt;
}

std::optional<Decision> decide_stopping(const Job& job, const gang_view& gang, const gang_options& options,
                                        steady_time now)
{
    const bool is_gang_stopped = std::all_of(gang.tasks.begin(), gang.tasks.end(),
                                             [now](const task_view& task) { return is_stopped(task, now); });
    if (!is_gang_stopped)
        return std::nullopt;
    if (is_finished(gang))
        return make_end(job, JOB_FINISHED, "");
    if (job.is_cancel_requested())
        return make_end(job, JOB_CANCELLED, "cancelled");
    const task_view* failed = find_failed(gang);
    if (failed != nullptr && job.failures() + 1 >= options.job_attempts)
        return make_end(job, JOB_FAILED,
                        "attempt " + std::to_string(job.attempt()) + ": a task failed on " + failed->worker);
    return make_requeue(job, failed);
}

} // namespace

bool is_live(TaskState state)
{
    return state == TASK_HELD || state == TASK_RUNNING;
}

bool is_stopped(const task_view& task, steady_time now)
{
    if (task.is_state_known && !is_live(task.state))
        return true;
    return now >= task.lease_expiry;
}

Decision end_if_oversized(Decision decision, const Job& job, const Configuration& configuration)
{
    if (!decision.has_requeue() || !job.reason().starts_with(memory_eviction_reason))
        return decision;
    const std::uint32_t max_tasks = count_startable_tasks(configuration, job.request());
    if (max_tasks >= job.request().tasks())
        return decision;
    return make_end(job, JOB_FAILED, job.reason() + "; the largest gang of such tasks is " + std::to_string(max_tasks));
}

std::optional<Decision> decide_gang(const Job& job, const gang_view& gang, const gang_options& options, steady_time now)
{
    switch (job.state()) {
    case JOB_PLACED:
        return decide_starting(job, gang, options, now);
    case JOB_RUNNING:
        return decide_running(job, gang, now);
    case JOB_STOPPING:
        return decide_stopping(job, gang, options, now);
    default:
        return std::nullopt;
    }
}

} // namespace wigeon
