// Slot shares, ejection and choice of executors.

#include "routing/executor_table.h"

#include <algorithm>

#include <boost/container_hash/hash.hpp>

#include "base/error_kind.h"

namespace wigeon {

namespace {

constexpr milliseconds share_increase_delay{2500};
constexpr milliseconds refusal_backoff{250};
constexpr milliseconds base_ejection_time{500};
constexpr std::uint32_t max_ejection_doublings = 4;
// Number of failures in a row from which on a timeout ejects the executor. Callers choose their time limits, so one
// timeout says little about the executor.
constexpr std::uint32_t timeout_ejection_threshold = 3;
// The remaining run time of an abandoned request is unknown. It is taken to be the time already spent, up to this
// limit.
constexpr double max_abandoned_ms = 1'000;
constexpr double smoothing_factor = 0.1;
// An executor whose failure rate reaches ejection_failure_rate is ejected while more than half of all executors are
// below healthy_failure_rate.
constexpr double ejection_failure_rate = 0.6;
constexpr double healthy_failure_rate = 0.2;
// An executor that fails fast has few requests in flight. Its score is raised so that it does not attract more work.
constexpr double failure_penalty = 20;

// Shorter mean durations count as this one, since their differences are random.
constexpr double min_scored_duration_ms = 1;

double score_load(const executor_state& state)
{
    const double load = (state.in_flight + 1.0) / std::max<std::uint32_t>(state.slot_share, 1);
    return load * (1 + failure_penalty * state.failure_rate);
}

double score_time(const executor_state& state)
{
    return score_load(state) * std::max(state.mean_duration_ms, min_scored_duration_ms);
}

using score_function = double (*)(const executor_state&);

class two_choices : public routing_policy {
public:
    two_choices(std::uint64_t seed, score_function score) : random(seed), score(score) {}

    std::size_t choose(const std::vector<executor_state>& executors,
                       const std::vector<std::size_t>& candidates) override
    {
        std::uniform_int_distribution<std::size_t> draw(0, candidates.size() - 1);
        const std::size_t first = candidates[draw(this->random)];
        const std::size_t second = candidates[draw(this->random)];
        return this->score(executors[second]) < this->score(executors[first]) ? second : first;
    }

private:
    std::mt19937_64 random;
    const score_function score;
};

class round_robin : public routing_policy {
public:
    std::size_t choose(const std::vector<executor_state>& /*executors*/,
                       const std::vector<std::size_t>& candidates) override
    {
        return candidates[this->next++ % candidates.size()];
    }

private:
    std::size_t next = 0;
};

} // namespace

std::unique_ptr<routing_policy> make_routing_policy(std::string_view name, std::uint64_t seed)
{
    if (name == "two_choices")
        return std::make_unique<two_choices>(seed, score_load);
    if (name == "expected_time")
        return std::make_unique<two_choices>(seed, score_time);
    if (name == "round_robin")
        return std::make_unique<round_robin>();
    throw error(error_kind::malformed_request,
                "routing_policy: '" + std::string(name) + "' is not one of two_choices, expected_time, round_robin");
}

executor_table::executor_table(std::unique_ptr<routing_policy> policy, std::string zone)
    : policy(std::move(policy)), zone(std::move(zone))
{
}

void executor_table::configure(const Configuration& configuration)
{
    if (this->configuration_version == configuration.version())
        return;
    this->configuration_version = configuration.version();
    std::vector<executor_state> next;
    for (const Executor& executor : configuration.executors()) {
        const auto known = std::find_if(this->states.begin(), this->states.end(), [&](const executor_state& state) {
            return state.executor.id() == executor.id() && state.executor.address() == executor.address();
        });
        executor_state state = known == this->states.end() ? executor_state{} : *known;
        state.executor = executor;
        next.push_back(std::move(state));
    }
    this->states = std::move(next);
}

void executor_table::set_share(executor_state& state, std::uint32_t share, steady_time now)
{
    if (share <= state.slot_share) {
        state.slot_share = share;
        this->pending_increases.erase(state.executor.id());
        return;
    }
    auto [entry, is_new] = this->pending_increases.try_emplace(state.executor.id(), share, now);
    entry->second.first = std::min(entry->second.first, share);
    if (now - entry->second.second < share_increase_delay)
        return;
    state.slot_share = entry->second.first;
    this->pending_increases.erase(entry);
}

void executor_table::divide_slots(const std::vector<entry_demand>& entries, std::uint64_t self, steady_time now)
{
    for (executor_state& state : this->states) {
        const std::size_t salt = boost::hash<std::string>()(state.executor.id());
        this->set_share(state, compute_share(state.executor.slots(), entries, self, salt), now);
    }
}

void executor_table::divide_equally(std::size_t entry_count, steady_time now)
{
    for (executor_state& state : this->states)
        this->set_share(
            state, state.executor.slots() / static_cast<std::uint32_t>(std::max<std::size_t>(entry_count, 1)), now);
}

void executor_table::set_leaving(const std::set<std::string, std::less<>>& leaving)
{
    for (executor_state& state : this->states)
        state.is_listed_leaving = leaving.contains(state.executor.id());
}

bool executor_table::is_available(const executor_state& state, steady_time now) const
{
    const auto abandoned = std::count_if(state.abandoned_until.begin(), state.abandoned_until.end(),
                                         [now](steady_time free_at) { return now < free_at; });
    return !state.is_listed_leaving && !state.executor.is_draining() &&
           state.in_flight + static_cast<std::uint32_t>(abandoned) < state.slot_share && now >= state.refused_until &&
           now >= state.ejected_until;
}

bool executor_table::has_free_slot(steady_time now) const
{
    return std::any_of(this->states.begin(), this->states.end(),
                       [&](const executor_state& state) { return this->is_available(state, now); });
}

std::vector<std::size_t> executor_table::list_candidates(const std::set<std::string>& excluded, steady_time now) const
{
    std::vector<std::size_t> local;
    std::vector<std::size_t> remote;
    for (std::size_t i = 0; i < this->states.size(); ++i) {
        const executor_state& state = this->states[i];
        if (!this->is_available(state, now) || excluded.contains(state.executor.id()))
            continue;
        (state.executor.zone() == this->zone ? local : remote).push_back(i);
    }
    return local.empty() ? remote : local;
}

std::optional<std::size_t> executor_table::acquire(const std::set<std::string>& excluded, steady_time now)
{
    std::vector<std::size_t> candidates = this->list_candidates(excluded, now);
    if (candidates.empty())
        candidates = this->list_candidates({}, now);
    if (candidates.empty())
        return std::nullopt;
    const std::size_t chosen = this->policy->choose(this->states, candidates);
    ++this->states[chosen].in_flight;
    return chosen;
}

// When most executors seem to fail, the cause is probably elsewhere, and ejecting them would cause an outage. More than
// half of them are ejected only when connections cannot be opened, and the last one is never ejected.
bool executor_table::may_eject(bool is_unreachable, steady_time now) const
{
    const auto not_ejected = static_cast<std::size_t>(std::count_if(
        this->states.begin(), this->states.end(), [now](const executor_state& s) { return now >= s.ejected_until; }));
    return is_unreachable ? not_ejected > 1
                          : (not_ejected - std::min<std::size_t>(not_ejected, 1)) * 2 >= this->states.size();
}

void executor_table::eject(executor_state& state, bool is_unreachable, steady_time now)
{
    if (!this->may_eject(is_unreachable, now))
        return;
    const std::uint32_t doublings = std::min(state.consecutive_failures, max_ejection_doublings);
    state.ejected_until = now + base_ejection_time * (1U << doublings);
}

void executor_table::release(const std::string& executor, exchange_outcome outcome, double duration_ms, steady_time now)
{
    const auto found = std::find_if(this->states.begin(), this->states.end(),
                                    [&](const executor_state& state) { return state.executor.id() == executor; });
    if (found == this->states.end())
        return;
    executor_state& state = *found;
    state.in_flight -= std::min<std::uint32_t>(state.in_flight, 1);
    std::erase_if(state.abandoned_until, [now](steady_time free_at) { return now >= free_at; });
    if (outcome == exchange_outcome::timed_out || outcome == exchange_outcome::interrupted)
        state.abandoned_until.push_back(
            now + milliseconds(static_cast<std::int64_t>(std::min(duration_ms, max_abandoned_ms))));
    switch (outcome) {
    case exchange_outcome::refused:
        state.refused_until = now + refusal_backoff;
        return;
    case exchange_outcome::unreachable:
    case exchange_outcome::interrupted:
        this->eject(state, outcome == exchange_outcome::unreachable, now);
        ++state.consecutive_failures;
        return;
    case exchange_outcome::timed_out:
        if (++state.consecutive_failures >= timeout_ejection_threshold)
            this->eject(state, false, now);
        return;
    case exchange_outcome::answered:
    case exchange_outcome::failed_answer:
        break;
    }
    state.consecutive_failures = 0;
    const double failed = outcome == exchange_outcome::failed_answer ? 1 : 0;
    state.failure_rate += smoothing_factor * (failed - state.failure_rate);
    state.mean_duration_ms = state.mean_duration_ms == 0
                                 ? duration_ms
                                 : state.mean_duration_ms + smoothing_factor * (duration_ms - state.mean_duration_ms);
    if (state.failure_rate < ejection_failure_rate)
        return;
    const auto healthy = std::count_if(this->states.begin(), this->states.end(), [](const executor_state& other) {
        return other.failure_rate < healthy_failure_rate;
    });
    if (static_cast<std::size_t>(healthy) * 2 <= this->states.size())
        return;
    this->eject(state, false, now);
    // The rate restarts just below the limit: after the ejection, a few more failures eject the executor again, while
    // successful responses lower the rate.
    state.failure_rate = ejection_failure_rate - smoothing_factor;
}

std::uint32_t executor_table::in_flight() const
{
    std::uint32_t sum = 0;
    for (const executor_state& state : this->states)
        sum += state.in_flight;
    return sum;
}

} // namespace wigeon
