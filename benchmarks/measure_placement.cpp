// Compares the placement policies on the same arrivals in a discrete-event simulation of arrivals, placements,
// finishes, cancels and stops. Usage: measure-placement [seed...]

#include <algorithm>
#include <array>
#include <cstdio>
#include <map>
#include <queue>

#include "benchmarks/fleet_maker.h"
#include "placement/planner.h"
#include "state/configuration.h"
#include "state/job_rules.h"

namespace wigeon::test {

namespace {

struct policy_case {
    const char* name = "";
    const char* policy = "";
    bool has_rebinding = false;
    bool has_backfill_reservation = false;
    std::uint64_t backfill_grace_ms = 0;
};

// Size classes of gangs: highest number of accelerators, and name.
constexpr std::array<std::uint32_t, 3> size_limits{8, 63, UINT32_MAX};
constexpr std::array<const char*, 3> size_names{"1 to 8", "9 to 63", "64 and more"};

struct summary {
    std::vector<double> completion_s;
    std::array<std::vector<double>, size_limits.size()> completion_by_size_s;
    std::vector<double> large_wait_s;            // Waits of the gangs of 64 and more accelerators.
    std::vector<double> slowdown_other_accounts; // Of accounts other than the first.
    std::vector<double> slowdown_first_account;
    double fragmentation_time = 0; // Integral of the fragmentation over time, in ms.
    double measured_time = 0;
    double lost_work = 0; // Accelerator-hours of stopped attempts.
    int reclaims = 0;
    int late_reclaims = 0; // Jobs within their account's unused guarantee that waited longer than reclaim_limit_ms.
    int unfinished = 0;
};

constexpr std::uint64_t stop_duration_ms = 1'600; // Time of a checkpoint, with a margin.
constexpr std::uint64_t reclaim_limit_ms = 3'700;

enum class event_kind : std::uint8_t { arrives, cancelled, finishes, stopped, check };

struct event {
    std::uint64_t at_ms = 0;
    std::uint64_t sequence = 0;
    event_kind kind = event_kind::arrives;
    std::size_t index = 0;
    std::uint32_t attempt = 0;

    bool operator>(const event& other) const
    {
        return std::tie(this->at_ms, this->sequence) > std::tie(other.at_ms, other.sequence);
    }
};

double compute_quantile(std::vector<double> values, double quantile)
{
    if (values.empty())
        return 0;
    std::sort(values.begin(), values.end());
    return values[static_cast<std::size_t>(quantile * static_cast<double>(values.size() - 1))];
}

double compute_mean(const std::vector<double>& values)
{
    double sum = 0;
    for (const double value : values)
        sum += value;
    return values.empty() ? 0 : sum / static_cast<double>(values.size());
}

// Simulates one list of arrivals under one policy.
class policy_simulation {
public:
    policy_simulation(const fleet_size& size, const std::vector<arrival>& arrivals, const policy_case& chosen)
        : arrivals(arrivals), job_planner(make_placement_policy(chosen.policy), make_options(chosen))
    {
        SystemState state;
        *state.mutable_configuration() = make_fleet(size);
        state.set_term(1);
        state.set_holder(1);
        this->state = replicated_state(state);
        for (std::size_t i = 0; i < arrivals.size(); ++i) {
            this->arrival_index[make_job_id(arrivals[i].job)] = i;
            this->add_event(arrivals[i].at_ms, event_kind::arrives, i, 0);
            if (arrivals[i].is_cancelled)
                this->add_event(arrivals[i].cancel_at_ms, event_kind::cancelled, i, 0);
        }
    }

    summary run()
    {
        constexpr std::uint64_t limit_ms = 96ULL * 3'600'000;
        while (!this->events.empty() && this->events.top().at_ms < limit_ms) {
            const event next = this->events.top();
            this->events.pop();
            this->measure_fragmentation(next.at_ms);
            this->now_ms = next.at_ms;
            this->handle(next);
            const bool has_more_events_now = !this->events.empty() && this->events.top().at_ms == this->now_ms;
            if (!has_more_events_now)
                this->plan();
        }
        for (const auto& [id, job] : this->state.jobs())
            this->result.unfinished += !is_ended(job.state());
        return std::move(this->result);
    }

private:
    static planner_options make_options(const policy_case& chosen)
    {
        planner_options options;
        options.has_rebinding = chosen.has_rebinding;
        options.has_backfill_reservation = chosen.has_backfill_reservation;
        options.backfill_grace_ms = chosen.backfill_grace_ms;
        return options;
    }

    void add_event(std::uint64_t at_ms, event_kind kind, std::size_t index, std::uint32_t attempt)
    {
        this->events.push({at_ms, ++this->last_event_sequence, kind, index, attempt});
    }

    void write(Record record)
    {
        record.set_author(1);
        record.set_sequence(++this->sequence);
        record.set_time_ms(1 + this->now_ms);
        this->state.apply(this->state.next_offset(), record.SerializeAsString());
    }

    void handle(const event& next)
    {
        const arrival& job = this->arrivals[next.index];
        const std::string id = make_job_id(job.job);
        Record record;
        switch (next.kind) {
        case event_kind::arrives:
            *record.mutable_submit() = job.job;
            this->write(record);
            this->track_guarantee(next.index);
            return;
        case event_kind::cancelled:
            record.mutable_cancel()->add_jobs(id);
            this->write(record);
            return;
        case event_kind::check:
            return;
        default:
            break;
        }
        const Job* current = this->state.find_job(id);
        if (current == nullptr || current->attempt() != next.attempt || !is_on_workers(current->state()))
            return;
        record.mutable_decisions()->set_term(1);
        Decision& decision = *record.mutable_decisions()->add_decisions();
        if (next.kind == event_kind::finishes && current->state() == JOB_PLACED) {
            decision.mutable_end()->set_job(id);
            decision.mutable_end()->set_attempt(next.attempt);
            decision.mutable_end()->set_state(JOB_FINISHED);
            this->record_completion(*current, job);
        }
        else if (next.kind == event_kind::stopped) {
            decision.mutable_requeue()->set_job(id);
            decision.mutable_requeue()->set_attempt(next.attempt);
        }
        this->write(record);
    }

    // Records the job if it fits its account's unused guarantee now, so that it must start within reclaim_limit_ms.
    void track_guarantee(std::size_t index)
    {
        const fleet_view view(this->state, {});
        const JobRequest& job = this->arrivals[index].job;
        // Another waiting job of the account may use up the guarantee first.
        for (const auto& [id, other] : this->state.jobs()) {
            if (other.state() == JOB_ACCEPTED && other.request().account() == job.account() &&
                other.request().key() != job.key())
                return;
        }
        std::vector<std::uint32_t> needed;
        for (const worker_location& location : view.layout().locations)
            needed.push_back(count_needed_accelerators(job, *location.worker));
        const gang_shape gang{job.tasks(), job.adjacency(), needed};
        const auto policy = make_placement_policy("first_fit");
        if (policy->choose(view.layout(), view.unused_guarantee(job.account()), gang)) {
            this->guaranteed_since[make_job_id(job)] = this->now_ms;
            ++this->result.reclaims;
        }
    }

    void record_completion(const Job& job, const arrival& source)
    {
        const double completion = static_cast<double>(this->now_ms - source.at_ms) / 1000;
        const double slowdown = completion * 1000 / static_cast<double>(source.run_ms);
        this->result.completion_s.push_back(completion);
        (source.job.account() == "account0" ? this->result.slowdown_first_account
                                            : this->result.slowdown_other_accounts)
            .push_back(slowdown);
        const std::uint32_t accelerators = source.job.tasks() * source.job.accelerators_per_task();
        const auto* size = std::lower_bound(size_limits.begin(), size_limits.end(), accelerators);
        this->result.completion_by_size_s[static_cast<std::size_t>(size - size_limits.begin())].push_back(completion);
        if (accelerators >= 64)
            this->result.large_wait_s.push_back(static_cast<double>(job.placed_at_ms() - 1 - source.at_ms) / 1000);
    }

    void plan()
    {
        for (int i = 0; i < 2; ++i) {
            plan_result = this->job_planner.make_plan(this->state, {}, {}, this->now_ms);
            if (plan_result.decisions.empty())
                return;
            Record record;
            record.mutable_decisions()->set_term(1);
            for (const Decision& decision : plan_result.decisions)
                *record.mutable_decisions()->add_decisions() = decision;
            this->write(record);
            for (const Decision& decision : plan_result.decisions)
                this->schedule_outcome(decision);
        }
    }

    void schedule_outcome(const Decision& decision)
    {
        if (decision.has_place()) {
            const std::size_t index = this->arrival_index.at(decision.place().job());
            this->add_event(this->now_ms + this->arrivals[index].run_ms, event_kind::finishes, index,
                            decision.place().attempt());
            const auto waited = this->guaranteed_since.find(decision.place().job());
            if (waited != this->guaranteed_since.end()) {
                this->result.late_reclaims += this->now_ms - waited->second > reclaim_limit_ms;
                this->guaranteed_since.erase(waited);
            }
        }
        if (decision.has_stop()) {
            const std::size_t index = this->arrival_index.at(decision.stop().job());
            const Job& job = *this->state.find_job(decision.stop().job());
            const double hours = static_cast<double>(this->now_ms + 1 - job.placed_at_ms()) / 3'600'000;
            this->result.lost_work += hours * job.request().tasks() * job.request().accelerators_per_task();
            this->add_event(this->now_ms + stop_duration_ms, event_kind::stopped, index, decision.stop().attempt());
        }
    }

    // Integrates the fragmentation since the last event: 1 - largest / possible, where `largest` is the largest gang of
    // whole workers that could start in one rack, and `possible` what the number of free accelerators would allow, both
    // in accelerators.
    void measure_fragmentation(std::uint64_t until_ms)
    {
        const fleet_view view(this->state, {});
        std::uint64_t free = 0;
        std::uint64_t largest = 0;
        std::uint64_t rack_capacity = 0;
        for (const index_range& rack : view.layout().racks) {
            std::uint64_t startable = 0;
            std::uint64_t capacity = 0;
            for (std::size_t i = rack.begin; i < rack.end; ++i) {
                const worker_occupancy& occupancy = view.occupancies()[i];
                free += occupancy.free();
                capacity += occupancy.capacity;
                startable += occupancy.free() == occupancy.capacity ? occupancy.capacity : 0;
            }
            largest = std::max(largest, startable);
            rack_capacity = std::max(rack_capacity, capacity);
        }
        const std::uint64_t possible = std::min(free, rack_capacity);
        const double elapsed = static_cast<double>(until_ms - this->now_ms);
        if (possible == 0)
            return;
        this->result.measured_time += elapsed;
        this->result.fragmentation_time += elapsed * (1 - static_cast<double>(largest) / static_cast<double>(possible));
    }

    const std::vector<arrival>& arrivals;
    planner job_planner;
    replicated_state state;
    std::priority_queue<event, std::vector<event>, std::greater<>> events;
    std::map<std::string, std::size_t> arrival_index;
    std::map<std::string, std::uint64_t> guaranteed_since;
    std::uint64_t now_ms = 0;
    std::uint64_t sequence = 0;
    std::uint64_t last_event_sequence = 0;
    wigeon::plan plan_result;
    summary result;
};

struct scenario {
    const char* name = "";
    fleet_size size;
    arrival_options arrivals;
};

std::string format_by_size(const summary& result)
{
    std::string row;
    for (const std::vector<double>& times : result.completion_by_size_s) {
        std::array<char, 64> text{};
        std::snprintf(text.data(), text.size(), " %8.0f %8.0f %8.0f", compute_mean(times), compute_quantile(times, 0.5),
                      compute_quantile(times, 0.99));
        row += text.data();
    }
    return row;
}

void compare(const scenario& chosen_scenario)
{
    const std::vector<arrival> arrivals = make_arrivals(chosen_scenario.size, chosen_scenario.arrivals);
    std::printf("\n%s, seed %lu, %d jobs\n", chosen_scenario.name, chosen_scenario.arrivals.seed,
                chosen_scenario.arrivals.jobs);
    std::printf("%-24s %9s %9s %9s %8s %10s %10s %9s %9s %7s %5s %7s\n", "policy", "mean s", "p50 s", "p99 s", "fragm",
                "wait64+ s", "p99 64+", "slow sm", "slow lg", "lost h", "late", "open");
    constexpr std::array<policy_case, 6> cases{{{"first fit", "first_fit"},
                                                {"best fit", "best_fit"},
                                                {"nested cells", "nested_cells"},
                                                {"nested, rebinding", "nested_cells", true},
                                                {"same, hold 30 s", "nested_cells", true, true, 30'000},
                                                {"same, hold 30 min", "nested_cells", true, true, 1'800'000}}};
    std::array<std::string, cases.size()> by_size;
    for (std::size_t i = 0; i < cases.size(); ++i) {
        const policy_case& chosen = cases[i];
        const summary result = policy_simulation(chosen_scenario.size, arrivals, chosen).run();
        std::printf("%-24s %9.0f %9.0f %9.0f %8.3f %10.0f %10.0f %9.2f %9.2f %7.0f %2d/%-3d %6d\n", chosen.name,
                    compute_mean(result.completion_s), compute_quantile(result.completion_s, 0.5),
                    compute_quantile(result.completion_s, 0.99),
                    result.measured_time > 0 ? result.fragmentation_time / result.measured_time : 0,
                    compute_mean(result.large_wait_s), compute_quantile(result.large_wait_s, 0.99),
                    compute_mean(result.slowdown_other_accounts), compute_mean(result.slowdown_first_account),
                    result.lost_work, result.late_reclaims, result.reclaims, result.unfinished);
        by_size[i] = format_by_size(result);
    }
    std::printf("completion by accelerators of the job, s: mean, p50, p99\n%-24s", "policy");
    for (const char* name : size_names)
        std::printf(" %26s", name);
    std::printf("\n");
    for (std::size_t i = 0; i < cases.size(); ++i)
        std::printf("%-24s%s\n", cases[i].name, by_size[i].c_str());
}

} // namespace

} // namespace wigeon::test

int main(int argc, char** argv)
{
    using namespace wigeon::test;
    std::vector<std::uint64_t> seeds;
    for (int i = 1; i < argc; ++i)
        seeds.push_back(std::stoull(argv[i]));
    if (seeds.empty())
        seeds = {1, 2};
    for (const std::uint64_t seed : seeds) {
        compare({"Liitutaulu: 50 workers of 8, 6 to a rack", {50, 8, 6, 4, 4, 1}, {seed, 600, 86'400'000, 6.5e6, 32}});
        compare({"Roofing division: 50 workers of 8, 8 to a rack",
                 {50, 8, 8, 3, 4, 1},
                 {seed, 500, 86'400'000, 6.5e6, 64}});
        compare({"Two years: one region, 317 workers of 2, gangs to 128",
                 {317, 2, 16, 3, 15, 1},
                 {seed, 580, 86'400'000, 7.2e6, 128}});
    }
}
