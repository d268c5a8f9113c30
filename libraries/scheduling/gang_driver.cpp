// The life of a gang on its workers.

#include "scheduling/gang_driver.h"

#include <algorithm>
#include <set>

#include "scheduling/gang_decisions.h"
#include "state/configuration.h"
#include "state/job_rules.h"

namespace wigeon {

namespace {

constexpr milliseconds message_lifetime{500};
// A finished task is noticed within this fraction of the time that its job ran.
constexpr int report_delay_divisor = 20;

} // namespace

void gang_driver::begin_term(std::uint64_t new_term)
{
    this->term = new_term;
    this->fenced = false;
    this->is_first_refresh = true;
    this->gangs.clear();
    this->contacts.clear();
    this->usage_judged_until.clear();
    this->forgotten.clear();
}

// Follows the log: new attempts appear, ended ones are forgotten by their workers.
void gang_driver::refresh(const replicated_state& state, steady_time now)
{
    if (!this->is_first_refresh && this->refreshed_changes == state.placement_changes())
        return;
    this->refreshed_changes = state.placement_changes();
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
            this->forgotten[entry.second.tasks[i].worker].push_back(std::move(order));
        }
        return true;
    });
    for (const auto& [id, job] : state.jobs()) {
        if (!is_on_workers(job.state()))
            continue;
        gang_view& entry = this->gangs[id];
        // A cancel changes what is due without a change of state.
        if (job.is_cancel_requested())
            entry.due_at = now;
        if (entry.attempt != job.attempt())
            entry = make_gang_view(job, state.configuration(), this->options, this->is_first_refresh, now);
        if (entry.phase != job.state()) {
            entry.phase = job.state();
            entry.phase_since = now;
            entry.due_at = now;
        }
    }
    this->is_first_refresh = false;
    this->tasks_of_worker.clear();
    for (const auto& [id, entry] : this->gangs) {
        for (std::size_t i = 0; i < entry.tasks.size(); ++i)
            this->tasks_of_worker[entry.tasks[i].worker].emplace_back(id, i);
    }
}

bool gang_driver::is_ready_to_release(const gang_view& entry) const
{
    return std::all_of(entry.tasks.begin(), entry.tasks.end(), [](const task_view& task) {
        return task.is_known && (is_live(task.known) || task.known == TASK_FINISHED);
    });
}

TaskAction gang_driver::choose_action(const Job& job, const gang_view& entry, const task_view& task, steady_time now,
                                      bool may_act) const
{
    const bool has_clock = this->contacts.find_clock_ms(task.worker, now).has_value();
    if (!may_act || !has_clock)
        return task.is_known && task.known == TASK_RUNNING && has_clock && job.state() != JOB_STOPPING ? TASK_RENEW
                                                                                                       : TASK_ASK;
    if (!task.is_known && job.state() != JOB_STOPPING)
        return TASK_ASK;
    switch (job.state()) {
    case JOB_PLACED: {
        const bool may_hold = !entry.is_released && !entry.is_adopted;
        if (task.known == TASK_ABSENT && may_hold)
            return TASK_HOLD;
        if (task.known == TASK_HELD && this->is_ready_to_release(entry))
            return TASK_RELEASE;
        return task.known == TASK_RUNNING ? TASK_RENEW : TASK_ASK;
    }
    case JOB_RUNNING:
        return task.known == TASK_RUNNING ? TASK_RENEW : TASK_ASK;
    case JOB_STOPPING: {
        if (is_stopped(task, now))
            return TASK_ASK;
        // A checkpoint saves work only where the job itself is sound.
        const bool is_sound = job.reason().starts_with("reclaimed") || job.reason().starts_with(outgrown_reason);
        const bool has_time = now - entry.phase_since < this->options.checkpoint_limit;
        return is_sound && has_time && task.is_known && task.known == TASK_RUNNING ? TASK_CHECKPOINT : TASK_STOP;
    }
    default:
        return TASK_ASK;
    }
}

// Reports of finished tasks come with the renewals. A young job is asked often; for one that ran for long, a later
// report costs a small share of its time.
milliseconds gang_driver::find_interval(TaskAction action, const gang_view& entry, steady_time now) const
{
    if (action != TASK_RENEW)
        return this->options.retry_interval;
    const milliseconds lease = this->options.lease;
    const milliseconds longest = std::clamp(lease - this->options.renewal_reserve, lease / 3, lease / 2);
    const milliseconds shortest = std::min(this->options.poll_interval, longest);
    return std::clamp(elapsed_ms(entry.phase_since, now) / report_delay_divisor, shortest, longest);
}

void gang_driver::order_gang(const Job& job, gang_view& entry, steady_time now, bool may_act,
                             std::map<std::string, WorkerOrders>& orders)
{
    for (std::size_t i = 0; i < entry.tasks.size(); ++i) {
        task_view& task = entry.tasks[i];
        const TaskAction action = this->choose_action(job, entry, task, now, may_act);
        const bool is_settled = task.is_known && !is_live(task.known) && action == TASK_ASK;
        if (is_settled || !this->contacts.may_send(task.worker, now))
            continue;
        if (now - task.asked_at < this->find_interval(action, entry, now) && task.asked_at != steady_time{})
            continue;
        this->add_order(orders[task.worker], job, entry, i, action, now);
    }
}

void gang_driver::add_order(WorkerOrders& message, const Job& job, gang_view& entry, std::size_t index,
                            TaskAction action, steady_time now)
{
    task_view& task = entry.tasks[index];
    task.asked_at = now;
    if (action == TASK_RELEASE)
        entry.is_released = true;
    TaskOrder& order = *message.add_orders();
    order.set_job(job.id());
    order.set_attempt(entry.attempt);
    order.set_task(static_cast<std::uint32_t>(index));
    order.set_action(action);
    if (action == TASK_RELEASE || action == TASK_HOLD) {
        order.set_accelerators(task.accelerators);
        order.set_expected_run_ms(job.request().expected_run_ms());
        order.set_command(job.request().command());
    }
    if (action == TASK_RENEW)
        order.set_cores_limit(task.cores_limit);
    // The lease counts from when the worker carries the order out, which it does before not_after_ms or never.
    if (action == TASK_HOLD || action == TASK_RELEASE || action == TASK_RENEW) {
        const milliseconds lease = action == TASK_HOLD ? this->options.hold : this->options.lease;
        order.set_lease_ms(static_cast<std::uint64_t>(lease.count()));
        task.ordered_until =
            std::max(task.ordered_until, now + message_lifetime + this->options.call_limit + outlast(lease));
        task.lease_until = std::max(task.lease_until, task.ordered_until);
    }
}

// True when all tasks on the worker run, as far as is known, so that renewing is all there is to do.
bool gang_driver::is_steady(const std::string& worker, steady_time now) const
{
    if (this->contacts.is_silent(worker) || !this->contacts.find_clock_ms(worker, now))
        return false;
    const auto found = this->tasks_of_worker.find(worker);
    if (found == this->tasks_of_worker.end())
        return true;
    return std::all_of(found->second.begin(), found->second.end(), [this](const auto& entry) {
        const gang_view& owner = this->gangs.at(entry.first);
        const task_view& task = owner.tasks[entry.second];
        return owner.phase == JOB_RUNNING && task.is_known && task.known == TASK_RUNNING && task.refusals == 0;
    });
}

bool gang_driver::is_relayable(const std::string& worker, const WorkerOrders& message, steady_time now) const
{
    return this->is_steady(worker, now) &&
           std::all_of(message.orders().begin(), message.orders().end(),
                       [](const TaskOrder& order) { return order.action() == TASK_RENEW && order.cores_limit() == 0; });
}

// A worker that is called anyway gets the renewals of all its running tasks, so that those of several gangs need one
// message in each interval; and so do the other workers of its group, so that one question to a standby serves all.
void gang_driver::add_renewals(std::map<std::string, WorkerOrders>& orders, const replicated_state& state,
                               steady_time now, const renewal_groups& groups)
{
    std::set<std::string_view> due;
    for (const auto& [worker, message] : orders) {
        const auto group = groups.find(worker);
        if (group != groups.end() && this->is_relayable(worker, message, now))
            due.insert(group->second);
    }
    for (const auto& [worker, group] : groups) {
        if (!due.contains(group) || orders.contains(worker) || !this->is_steady(worker, now) ||
            !this->contacts.may_send(worker, now))
            continue;
        if (now - this->contacts.find_sent_at(worker) >= this->options.lease / 6)
            orders[worker];
    }
    for (auto& [worker, message] : orders) {
        const auto found = this->tasks_of_worker.find(worker);
        if (found == this->tasks_of_worker.end())
            continue;
        for (const auto& [id, index] : found->second) {
            gang_view& entry = this->gangs.at(id);
            const task_view& task = entry.tasks[index];
            const bool is_running = entry.phase == JOB_RUNNING && task.is_known && task.known == TASK_RUNNING;
            if (is_running && task.asked_at != now)
                this->add_order(message, *state.find_job(id), entry, index, TASK_RENEW, now);
        }
    }
}

std::vector<worker_message> gang_driver::make_orders(const replicated_state& state, steady_time now, bool may_act,
                                                     const renewal_groups& groups)
{
    this->refresh(state, now);
    std::map<std::string, WorkerOrders> orders;
    for (auto& [id, entry] : this->gangs) {
        if (now >= entry.due_at)
            this->order_gang(*state.find_job(id), entry, now, may_act, orders);
    }
    for (auto& [worker, dropped] : this->forgotten) {
        if (!this->contacts.may_send(worker, now))
            continue;
        for (TaskOrder& order : dropped)
            *orders[worker].add_orders() = std::move(order);
        dropped.clear();
    }
    std::erase_if(this->forgotten, [](const auto& entry) { return entry.second.empty(); });
    this->add_pings(state, now, orders);
    this->add_renewals(orders, state, now, groups);
    if (orders.empty())
        return {};
    return this->finish_messages(state, now, orders, groups);
}

void gang_driver::add_pings(const replicated_state& state, steady_time now, std::map<std::string, WorkerOrders>& orders)
{
    if (now < this->next_ping_scan)
        return;
    this->next_ping_scan = now + this->options.retry_interval;
    for (const Worker& worker : state.configuration().workers()) {
        const bool is_idle = now - this->contacts.find_sent_at(worker.id()) >= this->options.ping_interval;
        if (is_idle && this->contacts.may_send(worker.id(), now))
            orders[worker.id()];
    }
}

// A running gang waits for its next renewal; one that starts or stops is looked at in each round.
milliseconds gang_driver::find_gang_interval(const gang_view& entry) const
{
    const bool is_steady =
        entry.phase == JOB_RUNNING && std::all_of(entry.tasks.begin(), entry.tasks.end(), [](const task_view& task) {
            return task.is_known && task.known == TASK_RUNNING && task.refusals == 0;
        });
    return is_steady ? this->options.retry_interval * 2 : milliseconds(0);
}

std::vector<worker_message> gang_driver::finish_messages(const replicated_state& state, steady_time now,
                                                         std::map<std::string, WorkerOrders>& orders,
                                                         const renewal_groups& groups)
{
    std::vector<worker_message> messages;
    for (const Worker& worker : state.configuration().workers()) {
        const auto found = orders.find(worker.id());
        if (found == orders.end())
            continue;
        WorkerOrders& order = found->second;
        order.set_worker(worker.id());
        order.set_term(this->term);
        const steady_time latest = now + message_lifetime + this->options.call_limit;
        if (const auto clock_ms = this->contacts.find_clock_ms(worker.id(), latest))
            order.set_not_after_ms(*clock_ms);
        this->contacts.note_sent(worker.id(), now);
        const auto group = groups.find(worker.id());
        std::string relay_to =
            group != groups.end() && this->is_relayable(worker.id(), order, now) ? group->second : "";
        messages.push_back({worker.address(), std::move(order), now + message_lifetime,
                            this->contacts.is_silent(worker.id()), std::move(relay_to)});
    }
    return messages;
}

// The tasks are due again at once, since nobody renewed them.
void gang_driver::note_dropped(const WorkerOrders& orders)
{
    this->contacts.note_dropped(orders.worker());
    for (const TaskOrder& order : orders.orders()) {
        const auto found = this->gangs.find(order.job());
        if (found == this->gangs.end() || found->second.attempt != order.attempt())
            continue;
        found->second.due_at = steady_time{};
        found->second.tasks.at(order.task()).asked_at = steady_time{};
    }
}

void gang_driver::note_answer(const WorkerOrders& orders, const worker_answer& answer, steady_time sent_at,
                              steady_time now, bool is_relayed)
{
    this->contacts.note_dropped(orders.worker());
    if (orders.term() != this->term)
        return;
    this->contacts.note_answer(orders.worker(), answer, sent_at, now, is_relayed);
    const bool is_answered = answer.call == worker_call::answered;
    if (is_answered && answer.reports.is_fenced()) {
        this->fenced = true;
        return;
    }
    if (!is_answered) {
        for (const TaskOrder& order : orders.orders()) {
            task_view* task = this->find_task(order.job(), order.attempt(), order.task());
            if (task == nullptr)
                continue;
            this->gangs.at(order.job()).due_at = now;
            task->refusals = answer.call == worker_call::refused ? task->refusals + 1 : 0;
            // An order whose answer was lost may have taken effect, so the task is asked about.
            if (answer.call == worker_call::uncertain)
                task->is_known = false;
        }
        return;
    }
    for (const TaskReport& report : answer.reports.reports()) {
        task_view* task = this->find_task(report.job(), report.attempt(), report.task());
        if (task == nullptr)
            continue;
        this->gangs.at(report.job()).due_at = now;
        task->refusals = 0;
        task->is_known = true;
        task->known = report.state();
        task->renewed_at = sent_at;
        // Orders of an earlier holder are fenced from here on: what they extended ends at most one lease after the
        // answer. An own order that was given up may reach the worker after it.
        const steady_time extended_until = now + outlast(std::max(this->options.lease, this->options.hold));
        task->lease_until = is_live(report.state()) ? std::max(extended_until, task->ordered_until) : now;
    }
    this->note_usage(answer.reports, now);
}

task_view* gang_driver::find_task(const std::string& job, std::uint32_t attempt, std::uint32_t task)
{
    const auto found = this->gangs.find(job);
    if (found == this->gangs.end() || found->second.attempt != attempt || task >= found->second.tasks.size())
        return nullptr;
    return &found->second.tasks[task];
}

// Sizes that were declared too small must not harm the neighbours on the worker.
void gang_driver::note_usage(const WorkerReports& reports, steady_time now)
{
    for (const TaskReport& report : reports.reports()) {
        task_view* task = this->find_task(report.job(), report.attempt(), report.task());
        if (task != nullptr && is_beyond_cores(report, task->part))
            task->cores_limit = task->part.cores;
    }
    steady_time& judged_until = this->usage_judged_until[reports.worker()];
    if (now < judged_until)
        return;
    const TaskReport* outgrown = find_outgrown(reports, [this](const TaskReport& report) {
        const task_view* task = this->find_task(report.job(), report.attempt(), report.task());
        return task == nullptr ? usage_part{} : task->part;
    });
    if (outgrown == nullptr)
        return;
    this->gangs.at(outgrown->job()).outgrown_memory = outgrown->used_memory_gigabytes();
    judged_until = now + this->options.usage_lag;
}

std::size_t gang_driver::count_throttled() const
{
    std::size_t count = 0;
    for (const auto& [id, entry] : this->gangs) {
        count += static_cast<std::size_t>(std::count_if(entry.tasks.begin(), entry.tasks.end(),
                                                        [](const task_view& task) { return task.cores_limit != 0; }));
    }
    return count;
}

std::vector<Decision> gang_driver::make_decisions(const replicated_state& state, steady_time now)
{
    std::vector<Decision> decisions;
    for (auto& [id, entry] : this->gangs) {
        if (now < entry.due_at)
            continue;
        const Job* job = state.find_job(id);
        if (job == nullptr || job->attempt() != entry.attempt)
            continue;
        if (auto decision = decide_gang(*job, entry, this->options, now))
            decisions.push_back(end_if_outgrown(std::move(*decision), *job, state.configuration()));
        else
            entry.due_at = now + this->find_gang_interval(entry);
    }
    return decisions;
}

} // namespace wigeon
