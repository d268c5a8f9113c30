// Frees resources for units that did not fit: stops less urgent units for urgent ones, and reserves executors for wide
// units that have waited long. Used for urgent bursts on a full fleet.

#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "dispatch/capacity_table.h"
#include "dispatch/dispatch_event.h"
#include "dispatch/dispatch_options.h"
#include "dispatch/preemption.h"
#include "dispatch/preemption_budget.h"
#include "dispatch/run_tracker.h"
#include "dispatch/work_queue.h"

namespace wigeon {

class preemptor {
public:
    preemptor(run_tracker& tracker, capacity_table& capacities, const work_queue& pending_work, dispatch_events& events,
              const dispatch_options& options);

    void begin_round(boot_time now);

    // Takes the reservations of units of this rank, and of more urgent ones, out of the free resources.
    void hold_reservations(work_rank rank);

    // Gives the unit's held reservation back, so that the unit itself can be placed there. Returns whether there was
    // one.
    bool release_reservation(const work_unit& unit, std::string_view job);

    // Stops other units if that is worth it, and reserves executors for the unit. The unit can be placed at the
    // earliest when the stopped tasks have ended; until then the executors stay reserved for it.
    void reserve_or_preempt(const waiting_step& waiting, std::uint32_t unit_row, const placement_need& need,
                            present_counts present, boot_time now);

private:
    struct running_unit {
        job_run* job = nullptr;
        work_unit* unit = nullptr;
        work_rank rank = work_rank::regular;
        bool is_checkpointing = false;
        bool is_stopping = false;
        double lost = 0; // Core-seconds that a stop loses.
        preemption_protection protection = preemption_protection::none;
    };

    // A reservation that is taken out of the free resources before units of lower ranks are placed.
    struct held_reservation {
        std::string job;
        std::uint32_t unit_row = 0;
        resources per_task;
        work_rank rank = work_rank::regular; // Hidden from units of this rank and of less urgent ones.
        bool is_drain = false;               // Awaits the ends of running work, which is not stopped.
        bool is_applied = false;             // In the capacities of this round.
    };

    // What a plan is made for.
    struct asking_unit {
        const waiting_step& waiting;
        work_unit& unit;
        const placement_need& need;
        present_counts present;
        preemption_request request;
        bool is_override = false; // Served whatever the budget says.
    };

    [[nodiscard]] held_reservation* find_held(const work_unit& unit, std::string_view job);
    void list_preemptible(boot_time now);
    void add_preemptible(job_run& job, work_unit& unit, work_rank rank, boot_time now);
    void add_ending(const job_run& job, const work_unit& unit, boot_time now);
    void allow_preemption_for(const asking_unit& asking);
    void stop_victims(const asking_unit& asking, const preemption_plan& plan, boot_time now);
    [[nodiscard]] bool keeps_reservation(work_unit& unit, boot_time now);
    [[nodiscard]] bool is_still_running(const awaited_run& awaited);
    void await_victims(work_unit& unit, const preemption_plan& plan, boot_time until);
    void reserve(const asking_unit& asking, std::span<const std::size_t> places, bool is_drain, boot_time now);
    [[nodiscard]] bool reserve_ending(const asking_unit& asking, boot_time now);
    [[nodiscard]] bool reserve_until_ended(const asking_unit& asking, boot_time now);
    [[nodiscard]] bool is_due(const asking_unit& asking, boot_time now);
    [[nodiscard]] bool is_worth(const asking_unit& asking, const preemption_plan& plan, bool is_first_attempt,
                                boot_time now);
    void report_refusal(const asking_unit& asking, preemption_verdict verdict);

    run_tracker& tracker;
    capacity_table& capacities;
    const work_queue& pending_work;
    dispatch_events& events;
    const bool is_bounded;    // dispatch_options::bounds_preemption
    preemption_budget budget; // Used only if is_bounded.
    // Lists of the current round, built when they are first needed.
    std::vector<running_unit> running_units; // One for each row of `preemptible`.
    std::vector<preemptible_unit> preemptible;
    std::optional<preemption_planner> planner; // Holds views of `preemptible` and of `capacities`.
    std::vector<resources> ending;             // By row of the executor: of tasks that are about to end.
    std::size_t reservations = 0;              // For units that are not urgent.
    std::size_t plans = 0;                     // Likewise, only if is_bounded.
    std::vector<held_reservation> held;        // Only if is_bounded, and not of guaranteed urgent units.
};

} // namespace wigeon
