// Makes the leader's scheduling decisions: where waiting units are placed, which running units are stopped, and which
// executors are quarantined. Owns the run tracker and the executor registry. No I/O, no clock.

#pragma once

#include <cstddef>
#include <cstdint>
#include <limits>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "dispatch/account_shares.h"
#include "dispatch/advice_broker.h"
#include "dispatch/capacity_table.h"
#include "dispatch/dispatch_event.h"
#include "dispatch/dispatch_options.h"
#include "dispatch/executor_registry.h"
#include "dispatch/executor_speed.h"
#include "dispatch/lease_suspensions.h"
#include "dispatch/lease_waits.h"
#include "dispatch/placement.h"
#include "dispatch/preemptor.h"
#include "dispatch/run_tracker.h"
#include "dispatch/work_queue.h"
#include "dispatch/zone_evacuations.h"
#include "jobs/fleet_policy.h"

namespace wigeon {

// How the progress of jobs is recorded in the store.
enum class progress_format : std::uint8_t {
    per_job,  // One record with all units of a job, as earlier builds read it.
    per_unit, // A record of each unit, and one of the job's phase.
};

struct dispatch_limits {
    milliseconds max_lease{0};     // Length of the leases that the leader sends to executors.
    milliseconds max_stop_time{0}; // Longest time that an executor takes for a stop.
    milliseconds max_poll_age{0};  // An executor whose newest answered poll is older gets no new task.
    dispatch_options options{};
};

// Changes to be written to the store, and the start orders that may be sent once they are stored. The records of units
// and the phases are appended apart, and those beyond the store's limits of one call in further appends, so that a part
// of them may be stored without the rest.
struct dispatch_changes {
    struct job_record {
        std::string job;
        records::JobProgress progress;
    };
    struct unit_record {
        std::string key;
        std::optional<records::UnitRecord> content; // None: the record is removed, because the job has ended.
    };
    struct phase_record {
        std::string job;
        records::JobPhase phase = records::JOB_PHASE_QUEUED;
    };
    struct recorded_ends {
        std::string executor;
        std::uint64_t incarnation_ms = 0;
        std::uint64_t last_end = 0;
    };

    std::vector<job_record> records; // Only with progress_format::per_job.
    std::vector<unit_record> units;  // These and the phases only with progress_format::per_unit.
    std::vector<phase_record> phases;
    std::vector<start_order> starts;
    std::vector<recorded_ends> ends;

    [[nodiscard]] bool is_empty() const
    {
        return this->records.empty() && this->units.empty() && this->phases.empty() && this->ends.empty();
    }
};

// Urgent tasks that were placed while the fleet was uneven.
struct speed_counts {
    std::uint64_t urgent_tasks = 0;
    std::uint64_t urgent_tasks_on_fast = 0; // On the fastest classes, a third of the fleet.
};

class dispatcher {
public:
    dispatcher(const dispatch_limits& limits, boot_time leading_since);

    dispatcher(const dispatcher&) = delete;
    dispatcher& operator=(const dispatcher&) = delete;

    void set_policy(const fleet_policy& new_policy);

    // The zones in which nothing may be started from now on.
    void set_evacuations(const zone_evacuations& newest) { this->evacuations = newest; }

    // Speeds of executors that the next rounds use in place of those estimated from polls; empty: the estimated ones.
    // Without the option `places_by_speed` they have no effect.
    void set_speeds(std::map<std::string, executor_pace, std::less<>> newest) { this->speeds = std::move(newest); }

    // Must not be called after the first change was collected. The default is progress_format::per_unit.
    void set_progress_format(progress_format new_format) { this->format = new_format; }

    // Counts the pool that runs the job as known. add_job() does so too.
    void add_pool_of(const records::Submission& submission);

    // Does nothing if the job is known already. `wall_ms` is the wall clock in milliseconds, here and in decide(); the
    // job's age is derived from it.
    void add_job(const std::string& id, const records::Submission& submission, const records::JobProgress& progress,
                 std::uint64_t wall_ms, boot_time now);
    void cancel_job(std::string_view id, boot_time now);

    // Whether a configuration or a job of this term has named the pool. An executor of another pool belongs to another
    // system.
    [[nodiscard]] bool is_known_pool(std::string_view pool) const { return this->known_pools.contains(pool); }
    void update_executor(const executor_entry& entry, boot_time now);
    void remove_executor(std::string_view id, boot_time now);
    void handle_poll_report(std::string_view executor_id, const poll_report& report, boot_time sent_at, boot_time now);
    void handle_start_answer(const start_order& order, start_answer answer, boot_time now);
    void handle_stop_answer(const stop_order& order, bool is_acknowledged, boot_time now);

    // Returns a request to the advisor if one is due and none is pending. The caller must pass its response, or the
    // lack of one, to handle_advice_response.
    std::optional<advice_request> take_advice_request(boot_time now) { return this->advice.take_request(now); }
    void handle_advice_response(const advice_request& request, const std::optional<advice_response>& response,
                                boot_time sent_at, boot_time now)
    {
        this->advice.handle_response(request, response, sent_at, now);
    }

    // Runs one scheduling round: places waiting units and stops others for them.
    void decide(std::uint64_t wall_ms, boot_time now);

    // Returns the changes since the last call. Must not be called again before these are in the store.
    dispatch_changes collect_changes();

    // Called when the changes are in the store. Returns the start orders that are still wanted.
    std::vector<start_order> confirm_changes(const dispatch_changes& changes, boot_time now);

    // Called before confirm_changes() when the starts may not be sent: their units wait for placement again.
    void withdraw_starts(std::span<const start_order> starts, boot_time now);

    std::vector<stop_order> collect_stops(boot_time now, std::size_t limit = std::numeric_limits<std::size_t>::max())
    {
        return this->tracker.collect_stops(now, limit);
    }

    [[nodiscard]] executor_registry& executors() { return this->registry; }
    [[nodiscard]] const executor_registry& executors() const { return this->registry; }
    // Whether the stop was acknowledged, but no poll has confirmed yet that the task is gone.
    [[nodiscard]] bool awaits_stop_confirmation(const stop_order& order)
    {
        return this->tracker.awaits_stop_confirmation(order.reference);
    }
    [[nodiscard]] milliseconds max_stop_time() const { return this->limits.max_stop_time; }
    [[nodiscard]] run_tracker& job_runs() { return this->tracker; }

    // Updated in each round with dispatch_options::shares_by_account; otherwise empty.
    [[nodiscard]] const account_shares& accounts() const { return this->shares; }

    // Returns what the heartbeat that is recorded now says of leases. handle_suspensions_recorded() must
    // be called when it is in the store, and before the next call.
    lease_record suspend_leases(boot_time now)
    {
        return this->suspensions.suspend(this->tracker.unresolved_tasks(), now);
    }
    void handle_suspensions_recorded() { this->suspensions.handle_recorded(); }
    // Whether an executor waits for the next heartbeat to get leases again.
    [[nodiscard]] bool is_lease_return_pending(boot_time now) const { return this->suspensions.is_return_pending(now); }
    // Whether the executor may be given a lease.
    [[nodiscard]] bool may_give_lease(std::string_view executor) const { return !this->suspensions.contains(executor); }

    // Number of executors whose tasks wait until a lease has expired.
    [[nodiscard]] std::size_t count_lease_waits() const { return this->waits.size(); }

    // Number of unresolved tasks on the executor.
    [[nodiscard]] std::size_t count_tasks_on(std::string_view executor) const
    {
        return this->tracker.tasks_on(executor).size();
    }

    // The estimated speeds of the executors, and the number of executors that may get tasks by speed class.
    [[nodiscard]] const executor_speed& estimated_speeds() const { return this->executor_speeds; }
    [[nodiscard]] bool places_by_speed() const { return this->limits.options.places_by_speed; }
    [[nodiscard]] std::vector<std::size_t> count_speed_classes() const;
    // Tasks placed by speed since the last call.
    speed_counts take_speed_counts() { return std::exchange(this->placed_by_speed, {}); }

    // Returns the decisions since the last call.
    std::vector<dispatch_event> take_events() { return this->events.take(); }

private:
    [[nodiscard]] queue_policy find_policy(const records::Submission& submission) const;
    [[nodiscard]] placement_need make_need(const waiting_step& waiting, const work_unit& unit, boot_time now) const;
    void set_preference(placement_need& need, const waiting_step& waiting) const;
    [[nodiscard]] bool is_better_place_reserved(const waiting_step& waiting, std::uint32_t unit_row,
                                                const placement_need& need, std::span<const std::size_t> places,
                                                present_counts present, boot_time now);
    void count_by_speed(const waiting_step& waiting, std::span<const std::size_t> places);
    [[nodiscard]] std::string format_speed(std::span<const std::string> executors, const records::Step& step) const;
    [[nodiscard]] bool is_known_not_to_fit(const placement_need& need) const;
    [[nodiscard]] std::optional<std::vector<std::size_t>> find_relaxed_places(placement_need need,
                                                                              present_counts present) const;
    void place_step(const waiting_step& waiting, boot_time now);
    std::optional<std::vector<std::string>> place_unit(const waiting_step& waiting, std::uint32_t unit_row,
                                                       boot_time now);
    [[nodiscard]] std::string describe_share(const job_run& job) const;
    [[nodiscard]] bool collect_job_records(dispatch_changes& changes);
    [[nodiscard]] bool collect_unit_records(dispatch_changes& changes);
    [[nodiscard]] bool collect_units_of(job_run& job, dispatch_changes& changes, std::size_t& bytes);
    [[nodiscard]] bool remove_unit_records(job_run& job, dispatch_changes& changes, std::size_t& bytes);
    void handle_end_stored(std::string_view id);
    void withdraw_start(const start_order& order, boot_time now);
    void withdraw_starts_in_evacuated_zones(std::span<const start_order> starts, boot_time now);
    void report_evacuations(boot_time now);
    void observe_speed(const executor& source, const poll_report& report, boot_time now);
    void update_speeds(boot_time now);
    void stop_stalled_units(boot_time now);
    void stop_if_stalled(job_run& job, work_unit& unit, boot_time now);

    dispatch_limits limits;
    progress_format format = progress_format::per_unit;
    executor_registry registry;
    run_tracker tracker;
    lease_suspensions suspensions{registry};
    fleet_policy policy;
    std::set<std::string, std::less<>> known_pools;
    // Rebuilt or updated in each round.
    capacity_table capacities;
    account_shares shares;
    work_queue pending_work;
    advice_broker advice;
    std::vector<placement_need> unplaced_needs; // Did not fit in this round.
    std::size_t placed_in_round = 0;            // Tasks.
    dispatch_events events;
    lease_waits waits{registry, events};
    preemptor preemption;
    std::optional<boot_time> stalls_checked_at;
    zone_evacuations evacuations;
    bool has_current_evacuations = true; // When the last round was decided.
    executor_speed executor_speeds;      // Empty unless the options say that placement uses it.
    bool reported_uneven = false;        // What the last event about the fleet's evenness said.
    std::optional<boot_time> evenness_reported_at;
    std::map<std::string, executor_pace, std::less<>> speeds;
    speed_counts placed_by_speed;
};

} // namespace wigeon
