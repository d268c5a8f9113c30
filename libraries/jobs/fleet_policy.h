// The fleet policy is the configuration that the operators published: queues with their executor pools, client accounts
// and request limits.

#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/time.h"

namespace wigeon {

// Time that a queue's advisor needs to decide which executors may run a step.
struct advisor_latency {
    milliseconds base_time{0};         // Per request.
    milliseconds time_per_executor{0}; // Added for each executor that the request names.
};

struct queue_policy {
    std::string name;
    std::string host;           // Host name in the requests that belong to the queue.
    std::string path_prefix;    // Ends with '/'; the job's id follows it in the path.
    std::string pool;           // Pool of the executors that run the queue's tasks.
    std::uint32_t priority = 0; // 0 is the highest; its jobs may preempt others.
    std::uint32_t max_attempts = 1;
    double stretch = 1; // A job is late after `stretch` times its critical path plus `target_duration`.
    milliseconds target_duration{0};
    bool is_public = false;
    std::optional<advisor_latency> advice; // None: any executor of the pool may run the queue's steps.
};

struct account_policy {
    std::string name;
    std::vector<std::string> api_keys;
    std::int64_t guaranteed_accelerators = 0;
};

struct request_limits {
    std::size_t max_body_bytes = 0; // 0: the configuration sets no limit.
};

struct fleet_policy {
    std::uint64_t version = 0;
    std::vector<queue_policy> queues;
    std::vector<std::string> pools; // All that the configuration names, also those without a queue.
    std::vector<account_policy> accounts;
    request_limits limits;

    // Returns the queue of the host with the longest path prefix that the path starts with, or nullptr.
    [[nodiscard]] const queue_policy* find_queue(std::string_view host, std::string_view path) const;
    [[nodiscard]] const queue_policy* find_queue_by_name(std::string_view name) const;
    [[nodiscard]] const account_policy* find_account_by_key(std::string_view key) const;
    [[nodiscard]] const account_policy* find_account(std::string_view name) const;
};

} // namespace wigeon
