// The configuration in force, as the operators published it: queues, client accounts and pools of executors.

#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/time.h"

namespace wigeon {

// What a queue's advisor needs to decide which executors may run a step.
struct advisor_latency {
    milliseconds base_time{0};         // For a question.
    milliseconds time_per_executor{0}; // And for each executor that is named.
};

struct queue_policy {
    std::string name;
    std::string host;           // Of the requests that belong to the queue.
    std::string path_prefix;    // Ends with '/'; the job's id follows.
    std::string pool;           // Whose executors run its tasks.
    std::uint32_t priority = 0; // 0 comes first and may stop others.
    std::uint32_t max_attempts = 1;
    double stretch = 1; // A job is late when it takes longer than this times its longest chain of work, and `target`.
    milliseconds target_duration{0};
    bool is_public = false;
    std::optional<advisor_latency> advice; // None: any executor of the pool may run its steps.
};

struct account_policy {
    std::string name;
    std::vector<std::string> api_keys;
    std::int64_t guaranteed_accelerators = 0;
};

struct request_limits {
    std::size_t max_body_bytes = 0; // 0: not said.
};

struct fleet_policy {
    std::uint64_t version = 0;
    std::vector<queue_policy> queues;
    std::vector<account_policy> accounts;
    request_limits limits;

    // The queue with the longest prefix that the path begins with, or nothing.
    [[nodiscard]] const queue_policy* find_queue(std::string_view host, std::string_view path) const;
    [[nodiscard]] const queue_policy* find_queue_by_name(std::string_view name) const;
    [[nodiscard]] const account_policy* find_account_by_key(std::string_view key) const;
    [[nodiscard]] const account_policy* find_account(std::string_view name) const;
};

} // namespace wigeon
