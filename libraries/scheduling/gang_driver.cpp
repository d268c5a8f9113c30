// Orders to workers, their responses, and the decisions that follow.

#include "scheduling/gang_driver.h"

#include <algorithm>
#include <set>

#include "scheduling/gang_decisions.h"
#include "state/configuration.h"
#include "state/job_rules.h"

namespace wigeon {

namespace {

constexpr milliseconds message_lifetime{500};
// The renewal interval of a job is its run time divided by this, within limits, so that a finished task is noticed
// after about that fraction of the run time.
constexpr int report_delay_divisor = 20;

} // namespace

void gang_driver::begin_term(std::uint64_t new_term)
{
    this->term = new_term;
    this->fenced = false;
    this->is_first_sync = true;
    this->gangs.clear();
    this->connectivity.clear();
    this->next_memory_check_at.clear();
    this->pending_forgets.clear();
}

// Creates views of new attempts, and orders the workers of ended attempts to forget their tasks.
void gang_driver::sync_gangs(const replicated_state& state, steady_time now)
{
    if (!this->is_first_sync && this->synced_changes == state.placement_changes())
        return;
    this->synced_changes = state.placement_changes();
    std::erase_if(this->gangs, [&](const auto& entry) {
        const Job* job = state.find_job(entry.first);
        const bool is_current = job != nullptr && is_on_workers(job->state()) && job->attempt() == entry.second.attempt;
        if (is_current)
            return false;
        for (std::size_t i = 0; i < entry.second.tasks.size(); ++i) {
            TaskOrder order;
            order.set_job(entry.first);
            order.set_attempt(entry.second.attempt);
            order.set_task(static_cast<std::uint32_t>(i));
            order.set_action(TASK_FORGET);
            this->pending_forgets[entry.second.tasks[i].worker].push_back(std::move(order));
        }
        return true;
    });
    for (const auto& [id, job] : state.jobs()) {
        if (!is_on_workers(job.state()))
            continue;
        gang_view& gang = this->gangs[id];
        // A cancel request makes orders and decisions due without a change of the job's state.
        if (job.is_cancel_requested())
            gang.next_check_at = now;
        if (gang.attempt != job.attempt())
            gang = make_gang_view(job, state.configuration(), this->options, this->is_first_sync, now);
        if (gang.job_state != job.state()) {
            gang.job_state = job.state();
            gang.job_state_since = now;
            gang.next_check_at = now;
        }
    }
    this->is_first_sync = false;
    this->tasks_of_worker.clear();
    for (const auto& [id, gang] : this->gangs) {
        for (std::size_t i = 0; i < gang.tasks.size(); ++i)
            this->tasks_of_worker[gang.tasks[i].worker].emplace_back(id, i);
    }
}

bool gang_driver::is_ready_to_release(const gang_view& gang) const
{
    return std::all_of(gang.tasks.begin(), gang.tasks.end(), [](const task_view& task) {
        return task.is_state_known && (is_live(task.state) || task.state == TASK_FINISHED);
    });
}

TaskAction gang_driver::choose_action(const Job& job, const gang_view& gang, const task_view& task, steady_time now,
                                      bool may_act) const
{
    const bool has_clock = this->connectivity.find_clock_ms(task.worker, now).has_value();
    if (!may_act || !has_clock)
        return task.is_state_known && task.state == TASK_RUNNING && has_clock && job.state() != JOB_STOPPING
                   ? TASK_RENEW
                   : TASK_ASK;
    if (!task.is_state_known && job.state() != JOB_STOPPING)
        return TASK_ASK;
    switch (job.state()) {
    case JOB_PLACED: {
        const bool may_hold = !gang.is_released && !gang.is_adopted;
        if (task.state == TASK_ABSENT && may_hold)
            return TASK_HOLD;
        if (task.state == TASK_HELD && this->is_ready_to_release(gang))
            return TASK_RELEASE;
        return task.state == TASK_RUNNING ? TASK_RENEW : TASK_ASK;
    }
    case JOB_RUNNING:
        return task.state == TASK_RUNNING ? TASK_RENEW : TASK_ASK;
    case JOB_STOPPING: {
        if (is_stopped(task, now))
            return TASK_ASK;
        // A checkpoint preserves useful work only if the job itself did not fail: its accelerators were reclaimed, or
        // it exceeded its memory.
        const bool is_resumable =
            job.reason().starts_with("reclaimed") || job.reason().starts_with(memory_eviction_reason);
        const bool has_time = now - gang.job_state_since < this->options.checkpoint_limit;
        return is_resumable && has_time && task.is_state_known && task.state == TASK_RUNNING ? TASK_CHECKPOINT
                                                                                             : TASK_STOP;
    }
    default:
        return TASK_ASK;
    }
}

// Workers report finished tasks in their responses to renewals. A job that began recently is polled often; for a
// long-running job, a later report adds only a small fraction to its run time.
milliseconds gang_driver::find_order_interval(TaskAction action, const gang_view& gang, steady_time now) const
{
    if (action != TASK_RENEW)
        return this->options.retry_interval;
    const milliseconds lease = this->options.lease;
    const milliseconds longest = std::clamp(lease - this->options.renewal_reserve, lease / 3, lease / 2);
    const milliseconds shortest = std::min(this->options.poll_interval, longest);
    return std::clamp(elapsed_ms(gang.job_state_since, now) / report_delay_divisor, shortest, longest);
}

void gang_driver::add_gang_orders(const Job& job, gang_view& gang, steady_time now, bool may_act,
                                  std::map<std::string, WorkerOrders>& orders)
{
    for (std::size_t i = 0; i < gang.tasks.size(); ++i) {
        task_view& task = gang.tasks[i];
        const TaskAction action = this->choose_action(job, gang, task, now, may_act);
        const bool is_ended = task.is_state_known && !is_live(task.state) && action == TASK_ASK;
        if (is_ended || !this->connectivity.may_send(task.worker, now))
            continue;
        if (now - task.last_order_at < this->find_order_interval(action, gang, now) &&
            task.last_order_at != steady_time{})
            continue;
        this->add_order(orders[task.worker], job, gang, i, action, now);
    }
}

void gang_driver::add_order(WorkerOrders& message, const Job& job, gang_view& gang, std::size_t index,
                            TaskAction action, steady_time now)
{
    task_view& task = gang.tasks[index];
    task.last_order_at = now;
    if (action == TASK_RELEASE)
        gang.is_released = true;
    TaskOrder& order = *message.add_orders();
    order.set_job(job.id());
    order.set_attempt(gang.attempt);
    order.set_task(static_cast<std::uint32_t>(index));
    order.set_action(action);
    if (action == TASK_RELEASE || action == TASK_HOLD) {
        order.set_accelerators(task.accelerators);
        order.set_expected_run_ms(job.request().expected_run_ms());
        order.set_command(job.request().command());
    }
    if (action == TASK_RENEW)
        order.set_cores_limit(task.cores_limit);
    // The lease begins when the worker executes the order, which it does before not_after_ms or never.
    if (action == TASK_HOLD || action == TASK_RELEASE || action == TASK_RENEW) {
        const milliseconds lease = action == TASK_HOLD ? this->options.hold_lease : this->options.lease;
        order.set_lease_ms(static_cast<std::uint64_t>(lease.count()));
        task.ordered_lease_expiry = std::max(
            task.ordered_lease_expiry, now + message_lifetime + this->options.call_timeout + add_clock_drift(lease));
        task.lease_expiry = std::max(task.lease_expiry, task.ordered_lease_expiry);
    }
}

// True when the worker responds and all its tasks are known to run, so that only renewals are due.
bool gang_driver::needs_only_renewals(const std::string& worker, steady_time now) const
{
    if (this->connectivity.is_unresponsive(worker) || !this->connectivity.find_clock_ms(worker, now))
        return false;
    const auto found = this->tasks_of_worker.find(worker);
    if (found == this->tasks_of_worker.end())
        return true;
    return std::all_of(found->second.begin(), found->second.end(), [this](const auto& entry) {
        const gang_view& gang = this->gangs.at(entry.first);
        const task_view& task = gang.tasks[entry.second];
        return gang.job_state == JOB_RUNNING && task.is_state_known && task.state == TASK_RUNNING &&
               task.connection_refusals == 0;
    });
}

bool gang_driver::is_relayable(const std::string& worker, const WorkerOrders& message, steady_time now) const
{
    return this->needs_only_renewals(worker, now) &&
           std::all_of(message.orders().begin(), message.orders().end(),
                       [](const TaskOrder& order) { return order.action() == TASK_RENEW && order.cores_limit() == 0; });
}

// Any message to a worker also renews all its running tasks, so that several gangs need only one message per interval.
// When one worker of a standby is due, the standby's other workers are renewed too, so that one request to the standby
// serves all of them.
void gang_driver::add_renewals(std::map<std::string, WorkerOrders>& orders, const replicated_state& state,
                               steady_time now, const renewal_assignments& assignments)
{
    std::set<std::string_view> due_standbys;
    for (const auto& [worker, message] : orders) {
        const auto assignment = assignments.find(worker);
        if (assignment != assignments.end() && this->is_relayable(worker, message, now))
            due_standbys.insert(assignment->second);
    }
    for (const auto& [worker, standby] : assignments) {
        if (!due_standbys.contains(standby) || orders.contains(worker) || !this->needs_only_renewals(worker, now) ||
            !this->connectivity.may_send(worker, now))
            continue;
        if (now - this->connectivity.find_sent_at(worker) >= this->options.lease / 6)
            orders[worker];
    }
    for (auto& [worker, message] : orders) {
        const auto found = this->tasks_of_worker.find(worker);
        if (found == this->tasks_of_worker.end())
            continue;
        for (const auto& [id, index] : found->second) {
            gang_view& gang = this->gangs.at(id);
            const task_view& task = gang.tasks[index];
            const bool is_running = gang.job_state == JOB_RUNNING && task.is_state_known && task.state == TASK_RUNNING;
            if (is_running && task.last_order_at != now)
                this->add_order(message, *state.find_job(id), gang, index, TASK_RENEW, now);
        }
    }
}

std::vector<worker_message> gang_driver::make_orders(const replicated_state& state, steady_time now, bool may_act,
                                                     const renewal_assignments& assignments)
{
    this->sync_gangs(state, now);
    std::map<std::string, WorkerOrders> orders;
    for (auto& [id, gang] : this->gangs) {
        if (now >= gang.next_check_at)
            this->add_gang_orders(*state.find_job(id), gang, now, may_act, orders);
    }
    for (auto& [worker, forgets] : this->pending_forgets) {
        if (!this->connectivity.may_send(worker, now))
            continue;
        for (TaskOrder& order : forgets)
            *orders[worker].add_orders() = std::move(order);
        forgets.clear();
    }
    std::erase_if(this->pending_forgets, [](const auto& entry) { return entry.second.empty(); });
    this->add_pings(state, now, orders);
    this->add_renewals(orders, state, now, assignments);
    if (orders.empty())
        return {};
    return this->finish_messages(state, now, orders, assignments);
}

void gang_driver::add_pings(const replicated_state& state, steady_time now, std::map<std::string, WorkerOrders>& orders)
{
    if (now < this->next_ping_scan_at)
        return;
    this->next_ping_scan_at = now + this->options.retry_interval;
    for (const Worker& worker : state.configuration().workers()) {
        const bool is_idle = now - this->connectivity.find_sent_at(worker.id()) >= this->options.ping_interval;
        if (is_idle && this->connectivity.may_send(worker.id(), now))
            orders[worker.id()];
    }
}

// A gang whose tasks all run is checked again after an interval; one that starts or stops is checked in every round.
milliseconds gang_driver::find_check_interval(const gang_view& gang) const
{
    const bool is_running =
        gang.job_state == JOB_RUNNING && std::all_of(gang.tasks.begin(), gang.tasks.end(), [](const task_view& task) {
            return task.is_state_known && task.state == TASK_RUNNING && task.connection_refusals == 0;
        });
    return is_running ? this->options.retry_interval * 2 : milliseconds(0);
}

std::vector<worker_message> gang_driver::finish_messages(const replicated_state& state, steady_time now,
                                                         std::map<std::string, WorkerOrders>& orders,
                                                         const renewal_assignments& assignments)
{
    std::vector<worker_message> messages;
    for (const Worker& worker : state.configuration().workers()) {
        const auto found = orders.find(worker.id());
        if (found == orders.end())
            continue;
        WorkerOrders& message = found->second;
        message.set_worker(worker.id());
        message.set_term(this->term);
        const steady_time execution_deadline = now + message_lifetime + this->options.call_timeout;
        if (const auto clock_ms = this->connectivity.find_clock_ms(worker.id(), execution_deadline))
            message.set_not_after_ms(*clock_ms);
        this->connectivity.record_sent(worker.id(), now);
        const auto assignment = assignments.find(worker.id());
        std::string relay_address =
            assignment != assignments.end() && this->is_relayable(worker.id(), message, now) ? assignment->second : "";
        messages.push_back({worker.address(), std::move(message), now + message_lifetime,
                            this->connectivity.is_unresponsive(worker.id()), std::move(relay_address)});
    }
    return messages;
}

// The orders count as not executed, so they are due again at once.
void gang_driver::handle_dropped(const WorkerOrders& orders)
{
    this->connectivity.clear_in_flight(orders.worker());
    for (const TaskOrder& order : orders.orders()) {
        const auto found = this->gangs.find(order.job());
        if (found == this->gangs.end() || found->second.attempt != order.attempt())
            continue;
        found->second.next_check_at = steady_time{};
        found->second.tasks.at(order.task()).last_order_at = steady_time{};
    }
}

void gang_driver::handle_response(const WorkerOrders& orders, const worker_response& response, steady_time sent_at,
                                  steady_time now, bool is_relayed)
{
    this->connectivity.clear_in_flight(orders.worker());
    if (orders.term() != this->term)
        return;
    this->connectivity.record_response(orders.worker(), response, sent_at, now, is_relayed);
    const bool is_answered = response.outcome == call_outcome::answered;
    if (is_answered && response.reports.is_fenced()) {
        this->fenced = true;
        return;
    }
    if (!is_answered) {
        for (const TaskOrder& order : orders.orders()) {
            task_view* task = this->find_task(order.job(), order.attempt(), order.task());
            if (task == nullptr)
                continue;
            this->gangs.at(order.job()).next_check_at = now;
            task->connection_refusals = response.outcome == call_outcome::refused ? task->connection_refusals + 1 : 0;
            // An order without a response may have taken effect, so the worker is asked for the state of the task.
            if (response.outcome == call_outcome::uncertain)
                task->is_state_known = false;
        }
        return;
    }
    for (const TaskReport& report : response.reports.reports()) {
        task_view* task = this->find_task(report.job(), report.attempt(), report.task());
        if (task == nullptr)
            continue;
        this->gangs.at(report.job()).next_check_at = now;
        task->connection_refusals = 0;
        task->is_state_known = true;
        task->state = report.state();
        task->last_answered_order_at = sent_at;
        // From this response on, the worker fences orders of earlier holders: leases that these extended end at most
        // one lease after the response. An order of this holder that timed out may still reach the worker later.
        const steady_time extended_until =
            now + add_clock_drift(std::max(this->options.lease, this->options.hold_lease));
        task->lease_expiry = is_live(report.state()) ? std::max(extended_until, task->ordered_lease_expiry) : now;
    }
    this->handle_usage(response.reports, now);
}

task_view* gang_driver::find_task(const std::string& job, std::uint32_t attempt, std::uint32_t task)
{
    const auto found = this->gangs.find(job);
    if (found == this->gangs.end() || found->second.attempt != attempt || task >= found->second.tasks.size())
        return nullptr;
    return &found->second.tasks[task];
}

// Jobs that declared too small sizes must not harm other jobs on the worker: a task above its share of cores is
// throttled, and one task is evicted when the worker's memory is exhausted.
void gang_driver::handle_usage(const WorkerReports& reports, steady_time now)
{
    for (const TaskReport& report : reports.reports()) {
        task_view* task = this->find_task(report.job(), report.attempt(), report.task());
        if (task != nullptr && exceeds_core_share(report, task->share))
            task->cores_limit = task->share.cores;
    }
    steady_time& next_check_at = this->next_memory_check_at[reports.worker()];
    if (now < next_check_at)
        return;
    const TaskReport* evicted = find_eviction_candidate(reports, [this](const TaskReport& report) {
        const task_view* task = this->find_task(report.job(), report.attempt(), report.task());
        return task == nullptr ? resource_share{} : task->share;
    });
    if (evicted == nullptr)
        return;
    this->gangs.at(evicted->job()).evicted_memory_gigabytes = evicted->used_memory_gigabytes();
    next_check_at = now + this->options.usage_report_delay;
}

std::size_t gang_driver::count_throttled() const
{
    std::size_t count = 0;
    for (const auto& [id, gang] : this->gangs) {
        count += static_cast<std::size_t>(std::count_if(gang.tasks.begin(), gang.tasks.end(),
                                                        [](const task_view& task) { return task.cores_limit != 0; }));
    }
    return count;
}

std::vector<Decision> gang_driver::make_decisions(const replicated_state& state, steady_time now)
{
    std::vector<Decision> decisions;
    for (auto& [id, gang] : this->gangs) {
        if (now < gang.next_check_at)
            continue;
        const Job* job = state.find_job(id);
        if (job == nullptr || job->attempt() != gang.attempt)
            continue;
        if (auto decision = decide_gang(*job, gang, this->options, now))
            decisions.push_back(end_if_oversized(std::move(*decision), *job, state.configuration()));
        else
            gang.next_check_at = now + this->find_check_interval(gang);
    }
    return decisions;
}

} // namespace wigeon
