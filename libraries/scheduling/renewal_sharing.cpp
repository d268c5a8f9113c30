// Assignment of workers to standbys, task digests, and the conversion of messages to and from the requests and reports
// of standbys.

#include "scheduling/renewal_sharing.h"

#include <algorithm>
#include <functional>
#include <set>

#include "scheduling/task_usage.h"

namespace wigeon {

namespace {

// A standby with stale state reads the missing record within milliseconds of the holder, unless the log is slow.
constexpr milliseconds stale_backoff{1'000};
constexpr milliseconds failure_backoff{10'000};

// NOTE: A cyclic redundancy check is unsuitable: it is linear, so that one scheduler would rank highest for all of many
// workers with similar names. If the standard libraries of two builds hash differently, only the digests differ, and
// the holder sends the renewals itself.
std::uint32_t hash_text(const std::string& text)
{
    return static_cast<std::uint32_t>(std::hash<std::string>{}(text));
}

std::uint32_t digest_message(const WorkerOrders& message)
{
    std::uint32_t digest = 0;
    for (const TaskOrder& order : message.orders())
        digest += digest_task(order.job(), order.attempt(), order.task());
    return digest;
}

void add_renewal(WorkerOrders& message, const Job& job, int task, std::uint64_t lease_ms)
{
    TaskOrder& order = *message.add_orders();
    order.set_job(job.id());
    order.set_attempt(job.attempt());
    order.set_task(static_cast<std::uint32_t>(task));
    order.set_action(TASK_RENEW);
    order.set_lease_ms(lease_ms);
}

} // namespace

standby_health assess_standby(const std::optional<RenewalAnswer>& response, std::size_t message_count)
{
    if (!response || static_cast<std::size_t>(response->reports_size()) != message_count)
        return standby_health::unanswered;
    const auto has_outcome = [](RenewalOutcome outcome) {
        return [outcome](const RenewalReport& report) { return report.outcome() == outcome; };
    };
    if (std::ranges::any_of(response->reports(), has_outcome(RENEWAL_NOT_SENT)))
        return standby_health::stale;
    if (std::ranges::any_of(response->reports(), has_outcome(RENEWAL_ANSWERED)))
        return standby_health::healthy;
    return standby_health::cut_off;
}

milliseconds find_backoff(standby_health health)
{
    if (health == standby_health::healthy)
        return milliseconds(0);
    return health == standby_health::stale ? stale_backoff : failure_backoff;
}

renewal_assignments assign_renewals(const Configuration& configuration, std::uint64_t holder,
                                    std::span<const standby_scheduler> standbys)
{
    renewal_assignments assignments;
    for (const Worker& worker : configuration.workers()) {
        std::uint32_t highest_rank = hash_text(worker.id() + "/" + std::to_string(holder));
        const standby_scheduler* chosen = nullptr;
        for (const standby_scheduler& standby : standbys) {
            const std::uint32_t rank = hash_text(worker.id() + "/" + std::to_string(standby.incarnation));
            if (rank <= highest_rank)
                continue;
            highest_rank = rank;
            chosen = &standby;
        }
        if (chosen != nullptr)
            assignments.emplace(worker.id(), chosen->address);
    }
    return assignments;
}

std::uint32_t digest_task(std::string_view job, std::uint32_t attempt, std::uint32_t task)
{
    return hash_text(std::string(job) + "/" + std::to_string(attempt) + "/" + std::to_string(task));
}

RenewalQuestion make_renewal_request(std::span<const WorkerOrders> messages)
{
    RenewalQuestion request;
    for (const WorkerOrders& message : messages) {
        request.set_term(message.term());
        if (message.orders_size() > 0)
            request.set_lease_ms(message.orders(0).lease_ms());
        RenewalOrder& order = *request.add_orders();
        order.set_worker(message.worker());
        order.set_tasks_digest(digest_message(message));
        order.set_not_after_ms(message.not_after_ms());
    }
    return request;
}

std::vector<WorkerOrders> expand_renewals(const replicated_state& state, const RenewalQuestion& request)
{
    std::vector<WorkerOrders> expanded(static_cast<std::size_t>(request.orders_size()));
    if (state.term() != request.term())
        return expanded;
    std::map<std::string_view, WorkerOrders*> message_of_worker;
    for (int i = 0; i < request.orders_size(); ++i)
        message_of_worker.emplace(request.orders(i).worker(), &expanded[static_cast<std::size_t>(i)]);
    for (const auto& [id, job] : state.jobs()) {
        if (job.state() != JOB_RUNNING)
            continue;
        for (int task = 0; task < job.placements_size(); ++task) {
            const auto found = message_of_worker.find(job.placements(task).worker());
            if (found != message_of_worker.end())
                add_renewal(*found->second, job, task, request.lease_ms());
        }
    }
    for (int i = 0; i < request.orders_size(); ++i) {
        const RenewalOrder& order = request.orders(i);
        WorkerOrders& message = expanded[static_cast<std::size_t>(i)];
        if (digest_message(message) != order.tasks_digest()) {
            message.Clear();
            continue;
        }
        message.set_worker(order.worker());
        message.set_term(request.term());
        message.set_not_after_ms(order.not_after_ms());
    }
    return expanded;
}

RenewalReport make_renewal_report(const replicated_state& state, const WorkerOrders& sent,
                                  const worker_response& response)
{
    RenewalReport report;
    if (response.outcome != call_outcome::answered) {
        report.set_outcome(response.outcome == call_outcome::refused ? RENEWAL_REFUSED : RENEWAL_UNCERTAIN);
        return report;
    }
    report.set_outcome(RENEWAL_ANSWERED);
    report.set_clock_ms(response.reports.clock_ms());
    report.set_is_fenced(response.reports.is_fenced());
    // A worker that fenced the message or received it too late reports no tasks.
    if (response.reports.reports_size() != sent.orders_size() && !report.is_fenced())
        report.set_outcome(RENEWAL_UNCERTAIN);
    report.set_used_memory_gigabytes(response.reports.used_memory_gigabytes());
    for (const TaskReport& task : response.reports.reports()) {
        const resource_share share = find_resource_share(state, task);
        if (task.state() != TASK_RUNNING || exceeds_core_share(task, share) || exceeds_memory_share(task, share))
            *report.add_changed() = task;
    }
    return report;
}

worker_response read_renewal_report(const WorkerOrders& message, const RenewalReport& report)
{
    worker_response response;
    if (report.outcome() != RENEWAL_ANSWERED) {
        response.outcome = report.outcome() == RENEWAL_REFUSED ? call_outcome::refused : call_outcome::uncertain;
        return response;
    }
    response.outcome = call_outcome::answered;
    response.reports.set_worker(message.worker());
    response.reports.set_clock_ms(report.clock_ms());
    response.reports.set_is_fenced(report.is_fenced());
    response.reports.set_used_memory_gigabytes(report.used_memory_gigabytes());
    if (report.is_fenced())
        return response;
    using task_id = std::tuple<std::string_view, std::uint32_t, std::uint32_t>;
    std::set<task_id> changed;
    for (const TaskReport& task : report.changed()) {
        changed.emplace(task.job(), task.attempt(), task.task());
        *response.reports.add_reports() = task;
    }
    for (const TaskOrder& order : message.orders()) {
        if (changed.contains(task_id(order.job(), order.attempt(), order.task())))
            continue;
        TaskReport& task = *response.reports.add_reports();
        task.set_job(order.job());
        task.set_attempt(order.attempt());
        task.set_task(order.task());
        task.set_state(TASK_RUNNING);
    }
    return response;
}

} // namespace wigeon
