// Token buckets by account and rank, and the protection of units that were stopped before.

#include "dispatch/preemption_budget.h"

#include <algorithm>
#include <utility>

namespace wigeon {

namespace {

// How long a starving unit for which nothing can be reserved lets others go first.
constexpr milliseconds pass_over_time{5'000};

// Full buckets are removed this often.
constexpr milliseconds prune_interval{10'000};

double to_seconds(milliseconds time)
{
    constexpr double milliseconds_per_second = 1000.0;
    return static_cast<double>(time.count()) / milliseconds_per_second;
}

double find_size(work_rank rank)
{
    return rank <= work_rank::urgent ? urgent_budget : regular_budget;
}

double find_growth(work_rank rank)
{
    return rank <= work_rank::urgent ? urgent_budget_growth : regular_budget_growth;
}

bool is_starving(const preemption_request& request)
{
    return request.rank != work_rank::guaranteed_urgent && request.waited >= starvation_wait;
}

// The stop must end before the slack does, or it would not prevent the lateness.
bool is_saved_by_a_stop(const preemption_request& request)
{
    return request.slack >= longest_stop_time && request.slack <= regular_slack_limit;
}

} // namespace

std::string_view to_string(preemption_verdict verdict)
{
    switch (verdict) {
    case preemption_verdict::allowed:
        return "allowed";
    case preemption_verdict::not_due:
        return "not_due";
    case preemption_verdict::exhausted:
        return "budget_exhausted";
    }
    return "unknown";
}

void preemption_budget::begin_round(boot_time now)
{
    this->starving_job = std::exchange(this->next_starving_job, {});
    this->longest_wait = milliseconds(0);
    std::erase_if(this->passed_over, [now](const auto& entry) { return entry.second <= now; });
    if (now - this->buckets_pruned_at < prune_interval)
        return;
    this->buckets_pruned_at = now;
    std::erase_if(this->buckets, [now](const auto& entry) {
        const auto& [key, tokens] = entry;
        return tokens.level + to_seconds(now - tokens.filled_at) * find_growth(key.second) >= find_size(key.second);
    });
}

double preemption_budget::find_level(const preemption_request& request, boot_time now) const
{
    const auto found = this->buckets.find({std::string(request.account), request.rank});
    const double size = find_size(request.rank);
    if (found == this->buckets.end())
        return size;
    const double growth = to_seconds(now - found->second.filled_at) * find_growth(request.rank);
    return std::min(size, found->second.level + growth);
}

bool preemption_budget::is_override_due(const preemption_request& request, boot_time now) const
{
    return is_starving(request) && request.job == this->starving_job &&
           (!this->last_override || now - *this->last_override >= override_interval);
}

void preemption_budget::pass_over(std::string_view job, boot_time now)
{
    this->passed_over.insert_or_assign(std::string(job), now + pass_over_time);
}

preemption_verdict preemption_budget::check(const preemption_request& request, boot_time now)
{
    if (request.rank == work_rank::guaranteed_urgent)
        return preemption_verdict::allowed;
    if (is_starving(request) && request.waited > this->longest_wait && !this->passed_over.contains(request.job)) {
        this->longest_wait = request.waited;
        this->next_starving_job = request.job;
    }
    if (this->is_override_due(request, now))
        return preemption_verdict::allowed;
    if (request.rank == work_rank::regular && !is_saved_by_a_stop(request) && request.waited < regular_long_wait)
        return preemption_verdict::not_due;
    // No stop costs less.
    return this->check_cost(request, preemption_base_cost, now);
}

preemption_verdict preemption_budget::check_cost(const preemption_request& request, double cost, boot_time now) const
{
    // Background work stops nothing.
    if (request.rank == work_rank::guaranteed_urgent || request.rank == work_rank::background || cost <= 0 ||
        this->is_override_due(request, now))
        return preemption_verdict::allowed;
    // A full budget allows stops that cost more than its size; it has to grow by the whole cost afterwards.
    const double needed = std::min(cost, find_size(request.rank));
    return this->find_level(request, now) >= needed ? preemption_verdict::allowed : preemption_verdict::exhausted;
}

void preemption_budget::charge(const preemption_request& request, double cost, boot_time now)
{
    if (request.rank == work_rank::guaranteed_urgent || cost <= 0)
        return;
    const double left = this->find_level(request, now) - cost;
    this->buckets.insert_or_assign({std::string(request.account), request.rank}, bucket{left, now});
}

preemption_protection preemption_budget::find_protection(const preemption_victim& victim)
{
    if (victim.was_stopped) {
        const double stop_cost_s = to_seconds(checkpoint_restore_time + longest_stop_time) +
                                   (victim.cores > 0 ? preemption_base_cost / victim.cores : 0);
        if (to_seconds(victim.run_time - checkpoint_restore_time) <= stop_cost_s)
            return preemption_protection::from_unguaranteed;
        if (victim.run_time < regular_run_protection)
            return preemption_protection::from_regular;
    }
    return victim.stops_of_job >= protected_after_stops ? preemption_protection::from_regular
                                                        : preemption_protection::none;
}

bool preemption_budget::may_stop(preemption_protection protection, work_rank rank, bool is_override)
{
    if (rank == work_rank::guaranteed_urgent || protection == preemption_protection::none)
        return true;
    if (protection == preemption_protection::from_unguaranteed)
        return false;
    return rank <= work_rank::urgent || is_override;
}

} // namespace wigeon
