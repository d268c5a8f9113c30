// The executors that may get tasks in one round, with what is free on them as the round goes on.

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
#include "dispatch/job_run.h"
#include "dispatch/placement.h"
#include "dispatch/run_tracker.h"

namespace wigeon {

class capacity_table {
public:
    // Lists executors of which a look is at most this old. The slots are views into the book until the next call.
    void build(const executor_registry& book, milliseconds max_poll_age, boot_time now);

    [[nodiscard]] std::span<const executor_capacity> all() const { return this->entries; }
    [[nodiscard]] std::optional<std::size_t> find_row(std::string_view executor) const;

    // Marks where tasks run that fill or serve.
    void mark_filling_and_serving(const run_tracker& tracker);

    // One task of the need is placed there.
    void allocate(std::size_t row, const placement_need& need);

    // Keeps room for one task on each of these executors, as far as they are listed.
    void reserve(std::span<const std::string> executors, const resources& per_task);

    // Whether more than half of the accelerators are free.
    [[nodiscard]] bool is_mostly_idle() const;

    // Tasks of the unit's step by slot; empty where the step sets no bound.
    [[nodiscard]] std::vector<std::uint32_t> count_present(const job_run& job, const work_unit& unit) const;

    // Marks the executors on which the unit failed, unless it could not run without them.
    void mark_avoided(const work_unit& unit, const placement_need& need);

    void permit_all();
    void permit_if(const std::function<bool(std::string_view)>& is_permitted);

    // The same slots with none distrusted and none avoided.
    [[nodiscard]] std::vector<executor_capacity> copy_without_exclusions() const;

private:
    std::vector<executor_capacity> entries;
    std::map<std::string_view, std::size_t> row_by_executor; // By executor.
    std::int64_t accelerators = 0;                           // Of all slots, used or not.
};

} // namespace wigeon
