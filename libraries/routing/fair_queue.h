// Queue of the waiting requests of one entry, with two levels of start-time fair queueing: accounts by weight, and the
// classes of an account by weight. The cost of a request is its measured executor time, since declared sizes are
// unreliable. Not thread-safe: the caller holds a lock, and passes the time.

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

    // Removes the next ticket and charges its expected cost to its account and class. Drops expired tickets before
    // that, but only at short intervals, so the returned ticket may have just expired.
    std::optional<queue_ticket> pop(steady_time now);

    // Removes a ticket, for example because its caller stopped waiting. Returns false when it is not queued.
    bool remove(std::uint64_t id);

    // Replaces the expected cost that pop() charged by the measured one.
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
    double virtual_time = 0; // Of the account served last; never decreases.
    std::size_t total = 0;   // Sum of the sizes of all accounts.
    steady_time last_drop{};
};

} // namespace wigeon
