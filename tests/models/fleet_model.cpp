// The rules of executors, step by step.

#include "models/fleet_model.h"

#include <algorithm>

#include "dispatch/job_run.h"

namespace wigeon {

void fleet_model::add_executor(const executor_entry& entry, boot_time now, int clock_rate)
{
    host_state host;
    host.entry = entry;
    host.entry.incarnation_ms = ++this->births;
    host.born = now - milliseconds(1'000);
    host.clock_rate = clock_rate;
    this->hosts[entry.id] = host;
}

void fleet_model::define_job(const std::string& job, const records::Submission& submission)
{
    this->jobs[job] = submission;
}

const records::Step* fleet_model::find_step(const std::string& task) const
{
    const auto name = parse_task_name(task);
    if (!name)
        return nullptr;
    const auto job = this->jobs.find(name->job);
    if (job == this->jobs.end())
        return nullptr;
    return &job->second.steps(static_cast<int>(name->position.step));
}

std::vector<std::string> fleet_model::list_members(const std::string& task) const
{
    const records::Step* step = this->find_step(task);
    if (step == nullptr || !step->gang())
        return {task};
    const auto name = parse_task_name(task);
    std::vector<std::string> members;
    for (std::uint32_t index = 0; index < step->count(); ++index)
        members.push_back(make_task_name(name->job, {name->position.occurrence, name->position.step, index}));
    return members;
}

fleet_model::host_state* fleet_model::find_host_of(const std::string& task, std::uint32_t run)
{
    for (auto& [id, host] : this->hosts) {
        const auto found = host.running.find(task);
        if (found != host.running.end() && found->second.run == run)
            return &host;
    }
    return nullptr;
}

void fleet_model::extend(host_state& host, milliseconds deadline, boot_time now)
{
    const milliseconds longest = read_clock(host, now) + this->bounds.longest_lease;
    host.lease_end = std::max(host.lease_end, std::min(deadline, longest));
}

poll_result fleet_model::look(const std::string& id, const poll_request& request, boot_time now)
{
    this->advance(now);
    poll_result result;
    const auto found = this->hosts.find(id);
    if (found == this->hosts.end())
        return result;
    host_state& host = found->second;
    if (request.fencing_token < host.token) {
        result.outcome = request_outcome::fenced;
        return result;
    }
    host.token = request.fencing_token;
    if (request.lease_deadline)
        this->extend(host, *request.lease_deadline, now);
    for (const ended_task& ended : host.ended) {
        if (ended.sequence > request.last_end_recorded)
            continue;
        if (ended.outcome == run_outcome::failed)
            ++this->noted_failed[ended.task];
        if (ended.outcome != run_outcome::done)
            continue;
        for (const std::string& member : this->list_members(ended.task))
            this->noted_done.insert(member);
    }
    std::erase_if(host.ended, [&](const ended_task& ended) { return ended.sequence <= request.last_end_recorded; });
    result.outcome = request_outcome::accepted;
    result.report.incarnation_ms = host.entry.incarnation_ms;
    result.report.clock = read_clock(host, now);
    for (const auto& [task, run] : host.running)
        result.report.running.push_back({task, run.run, "", this->find_percent(task, run, now)});
    result.report.ended = host.ended;
    return result;
}

std::uint32_t fleet_model::find_percent(const std::string& task, const run_state& run, boot_time now) const
{
    const records::Step* step = this->find_step(task);
    if (!run.working_since || step == nullptr || step->estimate_ms() == 0)
        return 0;
    constexpr std::int64_t whole = 100;
    return static_cast<std::uint32_t>(
        std::min<std::int64_t>((now - *run.working_since).count() * whole / step->estimate_ms(), whole));
}

order_result fleet_model::start(const start_order& order, milliseconds deadline, std::uint64_t token, boot_time now)
{
    this->advance(now);
    const auto found = this->hosts.find(order.executor);
    if (found == this->hosts.end())
        return {request_outcome::unreachable, ""};
    host_state& host = found->second;
    if (token < host.token)
        return {request_outcome::fenced, "fence"};
    host.token = token;
    if (deadline <= read_clock(host, now))
        return {request_outcome::refused, "late"};
    this->extend(host, deadline, now);
    const auto present = host.running.find(order.task);
    if (present != host.running.end() && present->second.run == order.reference.run)
        return {request_outcome::accepted, ""};
    const auto highest = host.highest_ended.find(order.task);
    if (highest != host.highest_ended.end() && order.reference.run <= highest->second)
        return {request_outcome::refused, "old"};
    const records::Step* step = this->find_step(order.task);
    if (step == nullptr) {
        this->broken.push_back("unasked start of " + order.task);
        return {request_outcome::refused, "unknown"};
    }
    ++this->start_count;
    this->jobs_started.insert(order.task.substr(0, order.task.find('.')));
    for (const auto& [id, other] : this->hosts) {
        if (other.running.contains(order.task))
            this->broken.push_back("two runs at once of " + order.task + " on " + id + " and " + order.executor);
    }
    if (this->noted_done.contains(order.task))
        this->broken.push_back("start after a noted end of " + order.task);
    this->check_order(order.task, *step);
    this->check_budget(order.task);
    run_state run;
    run.run = order.reference.run;
    run.started = now;
    run.each = find_task_resources(*step);
    host.used += run.each;
    if (!host.used.fits_in(host.entry.capacity))
        this->broken.push_back("no room for " + order.task + " on " + order.executor);
    host.running[order.task] = run;
    return {request_outcome::accepted, ""};
}

bool fleet_model::is_step_done(const std::string& job, std::uint32_t occurrence, std::uint32_t row) const
{
    const records::Step& step = this->jobs.at(job).steps(static_cast<int>(row));
    for (std::uint32_t index = 0; index < std::max(1U, step.count()); ++index) {
        if (!this->done_by_task.contains(make_task_name(job, {occurrence, row, index})))
            return false;
    }
    return true;
}

void fleet_model::check_order(const std::string& task, const records::Step& step)
{
    const auto name = parse_task_name(task);
    for (const std::uint32_t earlier : step.after()) {
        if (!this->is_step_done(name->job, name->position.occurrence, earlier))
            this->broken.push_back("start before an earlier step was done: " + task);
    }
}

// A gang fails as one, whichever of its members did.
std::uint32_t fleet_model::count_failures(const std::string& task,
                                          const std::map<std::string, std::uint32_t>& counts) const
{
    std::uint32_t sum = 0;
    for (const std::string& member : this->list_members(task)) {
        const auto found = counts.find(member);
        sum += found == counts.end() ? 0 : found->second;
    }
    return sum;
}

void fleet_model::check_budget(const std::string& task)
{
    if (this->count_failures(task, this->noted_failed) >= this->bounds.max_attempts)
        this->broken.push_back("start after the last attempt of " + task);
}

bool fleet_model::is_all_done(const std::string& job) const
{
    const auto steps = static_cast<std::uint32_t>(this->jobs.at(job).steps_size());
    for (std::uint32_t row = 0; row < steps; ++row) {
        if (!this->is_step_done(job, 0, row))
            return false;
    }
    return true;
}

bool fleet_model::has_used_up_attempts(const std::string& job) const
{
    return std::any_of(this->failed_by_task.begin(), this->failed_by_task.end(), [&](const auto& entry) {
        return parse_task_name(entry.first)->job == job &&
               this->count_failures(entry.first, this->failed_by_task) >= this->bounds.max_attempts;
    });
}

order_result fleet_model::stop(const stop_order& order, std::uint64_t token, boot_time now)
{
    this->advance(now);
    const auto found = this->hosts.find(order.executor);
    if (found == this->hosts.end())
        return {request_outcome::unreachable, ""};
    host_state& host = found->second;
    if (token < host.token)
        return {request_outcome::fenced, "fence"};
    host.token = token;
    const auto run = host.running.find(order.task);
    if (run != host.running.end() && run->second.run == order.reference.run)
        this->end_run(host, order.task, run_outcome::stopped, now);
    std::uint32_t& highest = host.highest_ended[order.task];
    highest = std::max(highest, order.reference.run);
    return {request_outcome::accepted, ""};
}

void fleet_model::end_run(host_state& host, const std::string& task, run_outcome ending, boot_time now)
{
    const auto found = host.running.find(task);
    const run_state run = found->second;
    host.running.erase(found);
    host.used -= run.each;
    host.ended.push_back({++host.last_number, task, run.run, ending, ""});
    std::uint32_t& highest = host.highest_ended[task];
    highest = std::max(highest, run.run);
    if (ending == run_outcome::done)
        ++this->done_by_task[task];
    if (ending == run_outcome::failed)
        ++this->failed_by_task[task];
    if (ending == run_outcome::done || ending == run_outcome::partner_lost)
        return;
    for (const std::string& member : this->list_members(task)) {
        host_state* other = member == task ? nullptr : this->find_host_of(member, run.run);
        if (other != nullptr)
            this->end_run(*other, member, run_outcome::partner_lost, now);
    }
}

void fleet_model::advance(boot_time now)
{
    // Leases first: what lapsed did not end in time.
    for (auto& [id, host] : this->hosts) {
        if (read_clock(host, now) < host.lease_end)
            continue;
        while (!host.running.empty()) {
            // The key is removed with its run.
            const std::string task = host.running.begin()->first;
            this->end_run(host, task, run_outcome::lapsed, now);
        }
    }
    for (auto& [id, host] : this->hosts) {
        std::vector<std::string> tasks;
        for (const auto& [task, run] : host.running)
            tasks.push_back(task);
        for (const std::string& task : tasks) {
            const auto found = host.running.find(task);
            if (found == host.running.end())
                continue;
            run_state& run = found->second;
            if (!run.working_since) {
                const std::vector<std::string> members = this->list_members(task);
                const bool is_whole = std::all_of(members.begin(), members.end(), [&](const std::string& member) {
                    return this->find_host_of(member, run.run) != nullptr;
                });
                if (is_whole)
                    run.working_since = now;
                else if (now - run.started >= this->bounds.gang_wait) {
                    this->end_run(host, task, run_outcome::left_alone, now);
                    continue;
                }
            }
            const records::Step* step = this->find_step(task);
            if (!run.working_since || now - *run.working_since < milliseconds(step->estimate_ms()))
                continue;
            const bool is_failing = this->failing_tasks.contains(task) || this->failing_executors.contains(id);
            if (is_failing) {
                this->end_run(host, task, run_outcome::failed, now);
                continue;
            }
            const std::uint32_t number = run.run;
            for (const std::string& member : this->list_members(task)) {
                host_state* other = this->find_host_of(member, number);
                if (other != nullptr)
                    this->end_run(*other, member, run_outcome::done, now);
            }
        }
    }
}

void fleet_model::restart(const std::string& id, boot_time now)
{
    host_state& host = this->hosts[id];
    for (const auto& [task, run] : host.running) {
        for (const std::string& member : this->list_members(task)) {
            host_state* other = member == task ? nullptr : this->find_host_of(member, run.run);
            if (other != nullptr && other != &host)
                this->end_run(*other, member, run_outcome::partner_lost, now);
        }
    }
    this->add_executor(host.entry, now, host.clock_rate);
}

std::size_t fleet_model::count_running() const
{
    std::size_t count = 0;
    for (const auto& [id, host] : this->hosts)
        count += host.running.size();
    return count;
}

std::vector<executor_entry> fleet_model::list_entries() const
{
    std::vector<executor_entry> entries;
    for (const auto& [id, host] : this->hosts)
        entries.push_back(host.entry);
    return entries;
}

} // namespace wigeon
