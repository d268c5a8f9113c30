// Orders to executors, and which task of which run each of them is about.

#pragma once

#include <cstdint>
#include <string>

namespace wigeon {

// Names one task of one run.
struct member_reference {
    std::string job;
    std::uint32_t unit = 0;
    std::uint32_t member = 0;
    std::uint32_t run = 0;

    friend bool operator==(const member_reference&, const member_reference&) = default;
};

struct start_order {
    member_reference target;
    std::string executor;
    std::uint64_t born_ms = 0;
    std::string task;
    std::string payload;
    std::string checkpoint; // Empty: from the beginning.
    std::string ticket;     // Where the queue has an advisor; else empty.
};

struct stop_order {
    member_reference target; // The job is empty when the ledger does not know the task.
    std::string executor;
    std::string task;
};

enum class start_answer : std::uint8_t {
    accepted,
    refused_for_room,
    refused_ticket,
    refused, // Certainly not started.
    unknown,
};

} // namespace wigeon
