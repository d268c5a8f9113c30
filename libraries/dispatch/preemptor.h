// Frees resources for units that did not fit: stops less urgent units for urgent ones, and reserves executors for wide
// units that have waited long. Used for urgent bursts on a full fleet.

#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <vector>

#include "dispatch/capacity_table.h"
#include "dispatch/dispatch_event.h"
#include "dispatch/preemption.h"
#include "dispatch/run_tracker.h"
#include "dispatch/work_queue.h"

namespace wigeon {

class preemptor {
public:
    preemptor(run_tracker& tracker, capacity_table& capacities, const work_queue& pending_work,
              dispatch_events& events);

    void begin_round();

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
    };

    void list_preemptible(boot_time now);
    void add_preemptible(job_run& job, work_unit& unit, work_rank rank, boot_time now);
    void allow_preemption_for(const waiting_step& waiting);
    void stop_victims(const waiting_step& waiting, const preemption_plan& plan, boot_time now);

    run_tracker& tracker;
    capacity_table& capacities;
    const work_queue& pending_work;
    dispatch_events& events;
    // Lists of the current round, built when they are first needed.
    std::vector<running_unit> running_units; // One for each row of `preemptible`.
    std::vector<preemptible_unit> preemptible;
    std::optional<preemption_planner> planner; // Holds views of `preemptible` and of `capacities`.
    std::size_t reservations = 0;
};

} // namespace wigeon
