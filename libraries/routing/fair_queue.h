// Waiting requests of one entry, in two levels of start-time fair queueing: accounts by weight, and the classes of
// an account by weight. Cost is the executor time that requests really used, since declared sizes are wrong.
// Pure: the caller holds the lock and passes the time.

#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/time.h"

namespace wigeon {

struct queue_ticket {
    std::uint64_t id = 0;
    std::string account;
    std::string job_class;
    steady_time deadline{};
    steady_time queued_at{};
};

struct queue_weights {
    std::uint32_t account = 1;
    std::uint32_t job_class = 1;
};

class fair_queue {
public:
    explicit fair_queue(std::size_t limit) : limit(limit) {}

    // Returns false when the queue of the account and class is full.
    bool push(queue_ticket ticket, queue_weights weights, steady_time now);

    [[nodiscard]] bool has_capacity(std::string_view account, std::string_view job_class) const;

    // The ticket that may go next, charged with its expected cost. Skips tickets whose deadline has passed.
    std::optional<queue_ticket> pop(steady_time now);

    // Takes a ticket out, for example because its caller gave up. Returns false when it is not queued.
    bool remove(std::uint64_t id);

    // Replaces the expected cost, charged by pop(), by the measured one.
    void correct_cost(std::string_view account, std::string_view job_class, double cost_ms);

    [[nodiscard]] std::size_t size() const { return this->total; }

private:
    struct class_queue {
        std::deque<queue_ticket> tickets;
        double virtual_time = 0;
        std::uint32_t weight = 1;
        double expected_cost_ms = 10;
    };

    struct account_queue {
        std::map<std::string, class_queue, std::less<>> classes;
        double virtual_time = 0;
        std::uint32_t weight = 1;
        std::size_t size = 0;
    };

    queue_ticket pop_from(class_queue& queue, steady_time now) const;
    void drop_expired(steady_time now);

    const std::size_t limit;
    std::map<std::string, account_queue, std::less<>> accounts;
    double virtual_time = 0; // Of the account served last; never falls.
    std::size_t total = 0;   // Sum of the sizes of all accounts.
    steady_time last_drop{};
};

} // namespace wigeon
