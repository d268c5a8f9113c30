// Decides which work may be stopped for work that no guarantee covers, and how much. Answers the load of accounts that
// compete for too little capacity: without a bound, regular work stops background work so often that most runs of the
// fleet are thrown away. Guaranteed urgent work is never limited. No I/O, no clock.

#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "base/time.h"
#include "dispatch/queue_order.h"

namespace wigeon {

// The waiting unit for which others would be stopped.
struct preemption_request {
    std::string_view job;
    std::string_view account;
    work_rank rank = work_rank::regular;
    milliseconds slack{0};  // Until it must start to meet its deadline; negative if it is late.
    milliseconds waited{0}; // Since the unit waits for placement.
};

// What is known of a running unit that might be stopped.
struct preemption_victim {
    bool was_stopped = false;       // By an earlier preemption in this leader's term.
    milliseconds run_time{0};       // Of the present run.
    double cores = 0;               // Core equivalents of all its tasks.
    std::uint32_t stops_of_job = 0; // Preemptions of its job in this leader's term.
};

// From which work a running unit is protected.
enum class preemption_protection : std::uint8_t {
    none,
    from_regular,      // Unless the regular job is starving.
    from_unguaranteed, // It has not gained yet what a stop costs.
};

enum class preemption_verdict : std::uint8_t {
    allowed,
    not_due,   // Would not be late without a stop, or is late even with it; and has not waited long.
    exhausted, // The account's budget is used up.
};

std::string_view to_string(preemption_verdict verdict);

class preemption_budget {
public:
    // Called at the start of each scheduling round.
    void begin_round(boot_time now);

    // Whether stops may be planned for the unit at all. Must be called for each unit that does not fit: the one that
    // has starved the longest is found by it.
    [[nodiscard]] preemption_verdict check(const preemption_request& request, boot_time now);

    // Whether stops of this cost, in core-seconds, may be made for the unit.
    [[nodiscard]] preemption_verdict check_cost(const preemption_request& request, double cost, boot_time now) const;

    // Takes the cost of stops that are made for the unit from its account's budget.
    void charge(const preemption_request& request, double cost, boot_time now);

    // Whether the unit is served whatever the budget says: it has starved the longest, and it is time for the next such
    // unit.
    [[nodiscard]] bool is_override_due(const preemption_request& request, boot_time now) const;

    // Called when a unit was served under is_override_due().
    void record_override(boot_time now) { this->last_override = now; }

    // Called when nothing can be reserved for such a unit; others come first for a while.
    void pass_over(std::string_view job, boot_time now);

    [[nodiscard]] static preemption_protection find_protection(const preemption_victim& victim);

    // Whether a victim may be stopped for a unit of the rank; `is_override`: is_override_due() for the unit.
    [[nodiscard]] static bool may_stop(preemption_protection protection, work_rank rank, bool is_override);

private:
    // Tokens in core-seconds; below zero after a stop that cost more than was left.
    struct bucket {
        double level = 0;
        boot_time filled_at;
    };
    using bucket_key = std::pair<std::string, work_rank>;

    [[nodiscard]] double find_level(const preemption_request& request, boot_time now) const;

    std::map<bucket_key, bucket> buckets; // Without those that are full.
    boot_time buckets_pruned_at;
    std::string starving_job; // Of the last round, the one that has waited the longest; empty: none.
    std::string next_starving_job;
    milliseconds longest_wait{0}; // Of next_starving_job.
    std::optional<boot_time> last_override;
    std::map<std::string, boot_time, std::less<>> passed_over; // Until when, by job.
};

// Time that a checkpointing task loses by a stop.
constexpr milliseconds checkpoint_restore_time{250};

// Time that an executor takes for a stop, at most.
constexpr milliseconds longest_stop_time{900};

// Cost of a stop in addition to the lost work, in core-seconds: the wait of the stopped job's caller, for an
// 8-accelerator task.
constexpr double preemption_base_cost = 5.0;

// Regular work whose slack is above this waits for running work to end. The slack must cover a stop, the poll that
// reports it, and one round.
constexpr milliseconds regular_slack_limit{2'500};

// Regular work may ask for stops after this time, late or not: four times the wait for a reservation.
constexpr milliseconds regular_long_wait{10'000};

// A unit that has waited this long counts as starving.
constexpr milliseconds starvation_wait{30'000};

// Time between two units that are served whatever the budget says.
constexpr milliseconds override_interval{1'000};

// A unit that was stopped is not stopped for regular work within this time of its next run.
constexpr milliseconds regular_run_protection{5'000};

// A job that was stopped this often is not stopped for regular work.
constexpr std::uint32_t protected_after_stops = 3;

// Size of an account's budget in core-seconds, and its growth in core-seconds per second. An 8-accelerator task that
// saved its checkpoint a second ago costs about 85.
constexpr double regular_budget = 200;
constexpr double regular_budget_growth = 4;
constexpr double urgent_budget = 1'600;
constexpr double urgent_budget_growth = 64;

} // namespace wigeon
