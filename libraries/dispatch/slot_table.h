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

#include "dispatch/executor_book.h"
#include "dispatch/job_run.h"
#include "dispatch/placement.h"
#include "dispatch/run_ledger.h"

namespace wigeon {

class slot_table {
public:
    // Lists executors of which a look is at most this old. The slots are views into the book until the next call.
    void build(const executor_book& book, milliseconds look_age, boot_time now);

    [[nodiscard]] std::span<const slot> all() const { return this->slots; }
    [[nodiscard]] std::optional<std::size_t> find_row(std::string_view executor) const;

    // Marks where tasks run that fill or serve.
    void note_sharing(const run_ledger& ledger);

    // One task of the need is placed there.
    void take(std::size_t row, const placement_need& need);

    // Keeps room for one task on each of these executors, as far as they are listed.
    void keep(std::span<const std::string> executors, const resources& each);

    // Whether more than half of the accelerators are free.
    [[nodiscard]] bool is_mostly_idle() const;

    // Tasks of the unit's step by slot; empty where the step sets no bound.
    [[nodiscard]] std::vector<std::uint32_t> count_present(const job_run& job, const unit& part) const;

    // Marks the executors on which the unit failed, unless it could not run without them.
    void mark_avoided(const unit& part, const placement_need& need);

    void permit_all();
    void permit_if(const std::function<bool(std::string_view)>& is_permitted);

    // The same slots with none distrusted and none avoided.
    [[nodiscard]] std::vector<slot> copy_without_doubts() const;

private:
    std::vector<slot> slots;
    std::map<std::string_view, std::size_t> rows; // By executor.
    std::int64_t accelerators = 0;                // Of all slots, used or not.
};

} // namespace wigeon
