// Orders to executors to start or stop one task of one run.

#pragma once

#include <cstdint>
#include <string>
#include <tuple>

#include "base/time.h"

namespace wigeon {

// Identifies one task of one run.
struct task_reference {
    std::string job;
    std::uint32_t unit_row = 0;
    std::uint32_t task_row = 0;
    std::uint32_t run = 0;

    friend bool operator==(const task_reference&, const task_reference&) = default;
    friend bool operator<(const task_reference& left, const task_reference& right)
    {
        return std::tie(left.job, left.unit_row, left.task_row, left.run) <
               std::tie(right.job, right.unit_row, right.task_row, right.run);
    }
};

struct start_order {
    task_reference reference;
    std::string executor;
    std::uint64_t incarnation_ms = 0; // Of the executor that was chosen.
    std::string task;
    std::string payload;
    std::string checkpoint; // Empty: the task starts from the beginning.
    std::string ticket;     // From the queue's advisor; empty if it has none.
    boot_time decided_at;
};

struct stop_order {
    task_reference reference; // The job is empty if the run tracker does not know the task.
    std::string executor;
    std::string task;
};

enum class start_answer : std::uint8_t {
    accepted,
    no_capacity,
    ticket_refused,
    refused, // Certainly not started.
    unknown,
};

} // namespace wigeon
