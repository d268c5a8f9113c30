// The executors that may get tasks in one scheduling round, and the resources that are still free on them during the
// round.

#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "dispatch/executor_registry.h"
#include "dispatch/executor_speed.h"
#include "dispatch/job_run.h"
#include "dispatch/lease_suspensions.h"
#include "dispatch/placement.h"
#include "dispatch/run_tracker.h"
#include "dispatch/zone_evacuations.h"

namespace wigeon {

class capacity_table {
public:
    // Lists the executors whose newest answered poll was sent at most `max_poll_age` ago and to which the evacuations
    // admit tasks. The entries hold views into the registry until the next call.
    void build(const executor_registry& registry, const lease_suspensions& suspensions,
               const zone_evacuations& evacuations, milliseconds max_poll_age, boot_time now);

    [[nodiscard]] std::span<const executor_capacity> all() const { return this->entries; }
    [[nodiscard]] std::optional<std::size_t> find_row(std::string_view executor) const;

    // The rows of those executors that are listed.
    [[nodiscard]] std::vector<std::size_t> find_rows(std::span<const std::string> executors) const;

    // Marks the executors that run filling or serving tasks.
    void mark_filling_and_serving(const run_tracker& tracker);

    // Sets the run time multiples and speed classes while the fleet counts as uneven.
    void mark_speeds(const executor_speed& speeds, boot_time now);
    // Sets the speeds of the executors that are listed; the others keep the multiple 1 and the class 0.
    void set_speeds(const std::map<std::string, executor_pace, std::less<>>& speeds);

    // Whether the executors are of several speed classes.
    [[nodiscard]] bool is_uneven() const { return this->has_several_classes; }

    // The last of the classes that are kept for urgent work.
    [[nodiscard]] std::int32_t last_fast_class() const { return this->fast_class; }

    // The lowest run-time multiple of any executor.
    [[nodiscard]] double fastest_multiple() const { return this->lowest_multiple; }

    // Takes the resources for one task of the need from the executor.
    void allocate(std::size_t row, const placement_need& need);

    // Takes the resources for one task from each of these executors; skips executors that are not listed.
    void reserve(std::span<const std::string> executors, const resources& per_task);

    // Returns what reserve() took.
    void release(std::span<const std::string> executors, const resources& per_task);

    // Whether the rack has executors, and all of them are in evacuated zones.
    [[nodiscard]] bool is_rack_evacuated(std::string_view rack) const;

    // Whether more than half of the accelerators are free.
    [[nodiscard]] bool is_mostly_idle() const;

    // Number of tasks of the unit's step on each executor, by row; empty if the step does not limit it.
    [[nodiscard]] std::vector<std::uint32_t> count_present(const job_run& job, const work_unit& unit) const;

    // Marks the executors on which the unit failed, unless the other executors could not hold the unit even when empty.
    void mark_avoided(const work_unit& unit, const placement_need& need);

    void permit_all();
    void permit_if(const std::function<bool(std::string_view)>& is_permitted);

    // A copy of the entries in which no executor is quarantined or avoided.
    [[nodiscard]] std::vector<executor_capacity> copy_without_exclusions() const;

private:
    void summarize_speeds();
    void find_evacuated_racks(const executor_registry& registry, const zone_evacuations& evacuations);

    std::vector<executor_capacity> entries;
    std::map<std::string_view, std::size_t> row_by_executor;
    std::int64_t accelerators = 0; // Of all entries, used or not.
    bool has_several_classes = false;
    std::int32_t fast_class = 0;
    double lowest_multiple = 1.0;
    // Racks with executors in evacuated zones, and whether they have others as well. Empty while no zone is evacuated.
    std::map<std::string_view, bool> evacuated_racks;
};

} // namespace wigeon
