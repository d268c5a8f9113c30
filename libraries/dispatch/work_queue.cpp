// Ranks jobs by priority and guarantee, and sorts their waiting steps.

#include "dispatch/work_queue.h"

#include <algorithm>
#include <optional>
#include <tuple>

#include "jobs/job_table.h"

namespace wigeon {

namespace {

// The result of a job is useful until this multiple of its allowed time has passed, by contract with the users.
constexpr int useful_time_factor = 3;

// Time between submission and the first work, and between the last work and the state that callers see: two appends to
// the store and two calls, 20 ms each.
constexpr milliseconds overhead_time{150};

std::int64_t count_accelerators(const records::Submission& submission)
{
    std::int64_t sum = 0;
    for (const records::Step& step : submission.steps())
        sum += static_cast<std::int64_t>(step.accelerators()) * std::max(1U, step.count());
    return sum;
}

// Estimated run time of the longest chain of steps. A step that is done in any occurrence counts only
// with `include_done`.
milliseconds find_critical_path(const job_run& job, bool include_done)
{
    std::vector<bool> is_done(static_cast<std::size_t>(job.submission.steps_size()), false);
    if (!include_done) {
        is_done.assign(is_done.size(), !job.finished_occurrences.empty());
        for (const step_run& run : job.steps)
            is_done[run.step] = is_done[run.step] || run.units_left == 0;
    }
    // Steps depend on earlier ones only, so one pass finds the longest chain.
    std::vector<std::int64_t> path(is_done.size(), 0);
    std::int64_t longest = 0;
    for (int row = 0; row < job.submission.steps_size(); ++row) {
        const records::Step& step = job.submission.steps(row);
        std::int64_t before = 0;
        for (const std::uint32_t earlier : step.after()) {
            if (earlier < path.size())
                before = std::max(before, path[earlier]);
        }
        path[static_cast<std::size_t>(row)] =
            before + (is_done[static_cast<std::size_t>(row)] ? 0 : step.estimate_ms());
        longest = std::max(longest, path[static_cast<std::size_t>(row)]);
    }
    return milliseconds(longest);
}

} // namespace

void work_queue::count_demand(const run_tracker& tracker, const fleet_policy& policy)
{
    this->accounts.clear();
    for (const auto& [id, job] : tracker.jobs()) {
        if (job.policy.priority != 0 || is_final(job.phase))
            continue;
        const std::string& name = job.submission.account();
        const auto [entry, is_new] = this->accounts.try_emplace(name);
        if (const account_policy* account = is_new ? policy.find_account(name) : nullptr)
            entry->second.guaranteed = account->guaranteed_accelerators;
        entry->second.demand += count_accelerators(job.submission);
    }
}

work_rank work_queue::find_rank(const job_run& job) const
{
    if (job.policy.priority == 1)
        return work_rank::regular;
    if (job.policy.priority > 1)
        return work_rank::background;
    const auto account = this->accounts.find(job.submission.account());
    const bool is_guaranteed = account != this->accounts.end() && account->second.demand <= account->second.guaranteed;
    return is_guaranteed ? work_rank::guaranteed_urgent : work_rank::urgent;
}

job_timing work_queue::find_timing(const job_run& job) const
{
    const auto total_ms = static_cast<double>(find_critical_path(job, true).count());
    job_timing timing;
    timing.rank = this->find_rank(job);
    timing.arrived_at = job.arrived_at;
    timing.critical_path = find_critical_path(job, false) + overhead_time;
    const auto allowed =
        milliseconds(static_cast<std::int64_t>(job.policy.stretch * total_ms)) + job.policy.target_duration;
    timing.deadline = job.arrived_at + allowed;
    timing.useful_until = job.arrived_at + useful_time_factor * allowed;
    return timing;
}

// Moves the work of accounts above their share back.
void work_queue::apply_shares(std::vector<waiting_step>& waiting, const account_shares& shares, boot_time now) const
{
    const job_run* last = nullptr;
    milliseconds penalty{0};
    order_key key;
    for (waiting_step& step : waiting) {
        // The steps of a job are neighbors and have the same key.
        if (step.job != last) {
            last = step.job;
            key = step.key;
            penalty = shares.find_penalty(step.job->policy.pool, step.job->submission.account());
            if (penalty > milliseconds(0))
                key = make_order_key(this->find_timing(*step.job), now, penalty);
        }
        step.key = key;
    }
}

std::vector<waiting_step> work_queue::list(run_tracker& tracker, boot_time now, account_shares* shares) const
{
    std::vector<waiting_step> waiting;
    if (shares != nullptr)
        shares->begin_waiting();
    for (auto& [id, job] : tracker.jobs()) {
        if (is_final(job.phase))
            continue;
        std::optional<waiting_step> common; // What all steps of the job share.
        std::int64_t accelerators = 0;      // Requested by its waiting units.
        for (const step_run& step : job.steps) {
            if (step.waiting.empty())
                continue;
            if (!common) {
                const job_timing timing = this->find_timing(job);
                common = waiting_step{&job,
                                      step.row,
                                      timing.rank,
                                      make_order_key(timing, now),
                                      can_meet_deadline(timing, now),
                                      timing.deadline - now - timing.critical_path,
                                      timing.critical_path};
            }
            common->step_row = step.row;
            waiting.push_back(*common);
            const records::Step& submitted = job.submission.steps(static_cast<int>(step.step));
            const std::uint32_t tasks_per_unit = submitted.gang() ? std::max(1U, submitted.count()) : 1;
            accelerators += static_cast<std::int64_t>(step.waiting.size()) * tasks_per_unit * submitted.accelerators();
        }
        if (common && shares != nullptr)
            shares->add_waiting(job.policy.pool, job.submission.account(), accelerators);
    }
    if (shares != nullptr) {
        shares->end_waiting();
        if (shares->is_any_short())
            this->apply_shares(waiting, *shares, now);
    }
    std::sort(waiting.begin(), waiting.end(), [](const waiting_step& left, const waiting_step& right) {
        return std::tie(left.key, left.job->id, left.step_row) < std::tie(right.key, right.job->id, right.step_row);
    });
    return waiting;
}

} // namespace wigeon
