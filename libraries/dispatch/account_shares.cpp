// Counts what the accounts' tasks use and averages it over time.

#include "dispatch/account_shares.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace wigeon {

namespace {

// Time constant of the average: the run time of a typical urgent task (2.1 s). Over a shorter time, an account would
// lose its place whenever a task of another one ends; over a longer time, a flood would be noticed only after the jobs
// that wait behind it are late.
constexpr milliseconds averaging_time{2'000};

// Running tasks are counted at this interval, since a pass over all units is the costly part of an update.
constexpr milliseconds measuring_interval{200};

// Accounts without work are dropped below this share, about one executor of a fleet of a thousand.
constexpr double negligible_share = 0.001;

// Excess over the equal share, as a multiple of it, at which the penalty is largest.
constexpr double full_penalty_excess = 1.0;

double divide(std::int64_t used, std::int64_t total)
{
    return total > 0 ? static_cast<double>(used) / static_cast<double>(total) : 0;
}

// Capacity may be missing from the table for a while although tasks run on it, so the quotient may exceed 1.
double find_dominant_share(const resources& used, const resources& total)
{
    const double share =
        std::max({divide(used.cpu_millicores, total.cpu_millicores), divide(used.memory_mb, total.memory_mb),
                  divide(used.accelerators, total.accelerators)});
    return std::min(share, 1.0);
}

// Whether several accounts wait for more accelerators than the pool has free.
bool is_contended(const auto& pool)
{
    constexpr std::size_t competing_accounts = 2;
    return pool.waiting_accounts >= competing_accounts && pool.free_accelerators < pool.waiting_accelerators;
}

} // namespace

const account_shares::pool_state* account_shares::find_pool(std::string_view pool) const
{
    const auto found = this->pools.find(pool);
    return found == this->pools.end() ? nullptr : &found->second;
}

account_shares::account_state& account_shares::state_of(pool_state& pool, const std::string& account)
{
    return pool.accounts.try_emplace(account).first->second;
}

void account_shares::count_capacity(std::span<const executor_capacity> executors)
{
    for (auto& [name, pool] : this->pools) {
        pool.total = {};
        pool.free_accelerators = 0;
    }
    pool_state* pool = nullptr;
    std::string_view pool_name;
    for (const executor_capacity& entry : executors) {
        // Neighbors are mostly of the same pool.
        if (pool == nullptr || entry.pool != pool_name) {
            pool_name = entry.pool;
            pool = &this->pools.try_emplace(std::string(pool_name)).first->second;
        }
        pool->total += entry.total;
        pool->free_accelerators += std::max<std::int64_t>(entry.free.accelerators, 0);
    }
}

void account_shares::begin_waiting()
{
    for (auto& [name, pool] : this->pools) {
        pool.waiting_accelerators = 0;
        for (auto& [account, state] : pool.accounts)
            state.has_waiting = false;
    }
}

void account_shares::add_waiting(const std::string& pool, const std::string& account, std::int64_t accelerators)
{
    pool_state& entry = this->pools.try_emplace(pool).first->second;
    entry.waiting_accelerators += accelerators;
    this->state_of(entry, account).has_waiting = true;
}

// Tasks that may run count as well, which includes all that a new leader has not heard of yet.
void account_shares::count_running(const run_tracker& tracker)
{
    for (auto& [name, pool] : this->pools) {
        for (auto& [account, state] : pool.accounts) {
            state.used = {};
            state.has_running = false;
        }
    }
    for (const auto& [id, job] : tracker.jobs()) {
        if (job.unresolved_tasks == 0)
            continue;
        resources used;
        for (const step_run& step : job.steps) {
            std::int64_t tasks = 0;
            for (const work_unit& unit : job.units_of(step))
                tasks += static_cast<std::int64_t>(unit.placed_tasks.size());
            if (tasks > 0)
                used += find_task_resources(job.submission.steps(static_cast<int>(step.step))) * tasks;
        }
        pool_state& pool = this->pools.try_emplace(job.policy.pool).first->second;
        account_state& account = this->state_of(pool, job.submission.account());
        account.used += used;
        account.has_running = true;
    }
}

void account_shares::average_shares(milliseconds passed)
{
    const double weight =
        1 - std::exp(-static_cast<double>(passed.count()) / static_cast<double>(averaging_time.count()));
    for (auto& [name, pool] : this->pools) {
        const bool has_capacity =
            pool.total.cpu_millicores > 0 || pool.total.memory_mb > 0 || pool.total.accelerators > 0;
        for (auto& [account, state] : pool.accounts) {
            const double current = find_dominant_share(state.used, pool.total);
            state.share = pool.is_measured ? state.share + weight * (current - state.share) : current;
        }
        pool.is_measured = pool.is_measured || has_capacity;
        std::erase_if(pool.accounts, [](const auto& entry) {
            const account_state& state = entry.second;
            return !state.has_running && !state.has_waiting && state.share < negligible_share;
        });
    }
    std::erase_if(this->pools, [](const auto& entry) {
        return entry.second.accounts.empty() && entry.second.total.cpu_millicores == 0;
    });
}

void account_shares::end_waiting()
{
    for (auto& [name, pool] : this->pools) {
        pool.waiting_accounts = 0;
        pool.active_accounts = 0;
        for (const auto& [account, state] : pool.accounts) {
            pool.waiting_accounts += state.has_waiting ? 1 : 0;
            pool.active_accounts += state.has_waiting || state.has_running ? 1 : 0;
        }
    }
}

void account_shares::update(const run_tracker& tracker, std::span<const executor_capacity> executors, boot_time now)
{
    this->count_capacity(executors);
    if (!this->measured_at || now - *this->measured_at >= measuring_interval) {
        this->count_running(tracker);
        this->average_shares(this->measured_at ? now - *this->measured_at : milliseconds(0));
        this->measured_at = now;
    }
}

bool account_shares::is_any_short() const
{
    return std::any_of(this->pools.begin(), this->pools.end(),
                       [](const auto& entry) { return is_contended(entry.second); });
}

bool account_shares::is_short(std::string_view pool) const
{
    const pool_state* found = this->find_pool(pool);
    return found != nullptr && is_contended(*found);
}

double account_shares::find_share(std::string_view pool, std::string_view account) const
{
    const pool_state* found = this->find_pool(pool);
    if (found == nullptr)
        return 0;
    const auto entry = found->accounts.find(account);
    return entry == found->accounts.end() ? 0 : entry->second.share;
}

double account_shares::find_equal_share(std::string_view pool) const
{
    const pool_state* found = this->find_pool(pool);
    return found == nullptr || found->active_accounts == 0 ? 1 : 1 / static_cast<double>(found->active_accounts);
}

milliseconds account_shares::find_penalty(std::string_view pool, std::string_view account) const
{
    const pool_state* found = this->find_pool(pool);
    if (found == nullptr || !is_contended(*found))
        return milliseconds(0);
    const auto entry = found->accounts.find(account);
    if (entry == found->accounts.end())
        return milliseconds(0);
    const double equal_share = 1 / static_cast<double>(found->active_accounts);
    const double excess = (entry->second.share - equal_share) / equal_share;
    const double part = std::clamp(excess / full_penalty_excess, 0.0, 1.0);
    return milliseconds(static_cast<std::int64_t>(part * static_cast<double>(max_share_penalty.count())));
}

std::vector<account_shares::named_share> account_shares::list_largest(std::size_t limit) const
{
    std::map<std::string_view, double> largest;
    for (const auto& [name, pool] : this->pools) {
        for (const auto& [account, state] : pool.accounts) {
            double& share = largest[account];
            share = std::max(share, state.share);
        }
    }
    std::vector<named_share> listed;
    listed.reserve(largest.size());
    for (const auto& [account, share] : largest)
        listed.push_back({std::string(account), share});
    std::stable_sort(listed.begin(), listed.end(),
                     [](const named_share& left, const named_share& right) { return left.share > right.share; });
    if (listed.size() > limit)
        listed.resize(limit);
    return listed;
}

std::size_t account_shares::size() const
{
    std::size_t count = 0;
    for (const auto& [name, pool] : this->pools)
        count += pool.accounts.size();
    return count;
}

} // namespace wigeon
