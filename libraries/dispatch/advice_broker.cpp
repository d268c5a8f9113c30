// Builds requests to a queue's advisor and applies its responses.

#include "dispatch/advice_broker.h"

#include <algorithm>
#include <utility>

namespace wigeon {

namespace {

// Number of executors in one request. The advisor accepts at most 100 and takes time for each; users plan for 30.
constexpr std::size_t usual_executor_limit = 30;
constexpr std::size_t max_executor_limit = 100;

// Wait after a request that got no response or that the advisor was too busy for.
constexpr milliseconds failure_backoff{100};

} // namespace

std::string make_step_name(const job_run& job, const work_unit& unit)
{
    const step_run& step = job.steps[unit.step_row];
    return job.id + "." + std::to_string(step.occurrence) + "." + std::to_string(step.step);
}

void advice_broker::begin_round()
{
    // Drops the tickets of steps that no longer wait. While a request is pending, all tickets are kept.
    if (!this->is_request_pending)
        this->tickets.keep_only(this->waiting_steps);
    this->waiting_steps.clear();
    this->next_request.reset();
}

void advice_broker::mark_permitted(capacity_table& capacities, const job_run& job, const work_unit& unit, boot_time now)
{
    if (!job.policy.advice) {
        capacities.permit_all();
        return;
    }
    const std::string step = make_step_name(job, unit);
    capacities.permit_if(
        [&](std::string_view executor) { return this->tickets.find(step, executor, now).has_value(); });
    this->waiting_steps.insert(step);
}

void advice_broker::prepare_request(const capacity_table& capacities, const job_run& job, const work_unit& unit,
                                    const placement_need& need, bool may_preempt)
{
    if (this->next_request || this->is_request_pending || !job.policy.advice)
        return;
    advice_request request;
    request.step = make_step_name(job, unit);
    std::vector<const executor_capacity*> candidates =
        this->list_ticket_candidates(capacities, request.step, need, false);
    if (candidates.empty() && may_preempt)
        candidates = this->list_ticket_candidates(capacities, request.step, need, true);
    if (candidates.empty())
        return;
    std::stable_sort(candidates.begin(), candidates.end(),
                     [](const executor_capacity* left, const executor_capacity* right) {
                         return left->free.accelerators > right->free.accelerators;
                     });
    const std::size_t waiting = job.steps[unit.step_row].waiting.size() * unit.task_count;
    candidates.resize(std::min(candidates.size(), std::clamp(waiting, usual_executor_limit, max_executor_limit)));
    for (const executor_capacity* candidate : candidates)
        request.executors.emplace_back(candidate->executor);
    request.decision_time = job.policy.advice->base_time +
                            job.policy.advice->time_per_executor * static_cast<std::int64_t>(request.executors.size());
    this->next_request = std::move(request);
}

std::vector<const executor_capacity*> advice_broker::list_ticket_candidates(const capacity_table& capacities,
                                                                            std::string_view step,
                                                                            const placement_need& need,
                                                                            bool may_be_full) const
{
    std::vector<const executor_capacity*> candidates;
    for (const executor_capacity& candidate : capacities.all()) {
        if (candidate.is_permitted || this->tickets.is_denied(step, candidate.executor))
            continue;
        executor_capacity permitted = candidate;
        permitted.is_permitted = true;
        if (is_eligible(need, permitted) && need.per_task.fits_in(may_be_full ? candidate.total : candidate.free))
            candidates.push_back(&candidate);
    }
    return candidates;
}

std::optional<advice_request> advice_broker::take_request(boot_time now)
{
    if (!this->next_request || this->is_request_pending ||
        (this->failed_at && now - *this->failed_at < failure_backoff))
        return std::nullopt;
    this->is_request_pending = true;
    return std::exchange(this->next_request, std::nullopt);
}

void advice_broker::handle_response(const advice_request& request, const std::optional<advice_response>& response,
                                    boot_time sent_at, boot_time now)
{
    this->is_request_pending = false;
    this->failed_at.reset();
    if (response)
        this->tickets.store_response(request, *response, sent_at);
    else
        this->failed_at = now;
    // Keeps the tickets of this step at least until the next round has used them.
    this->waiting_steps.insert(request.step);
}

std::string advice_broker::find_ticket(const std::string& step, std::string_view executor, boot_time now) const
{
    return std::string(this->tickets.find(step, executor, now).value_or(std::string_view()));
}

} // namespace wigeon
