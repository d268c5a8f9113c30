// Admission of requests: the thread of a caller waits in the fair queue until an executor has a free slot. One lock
// guards the queue and the table of executors.

#pragma once

#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>
#include <set>
#include <string>

#include "routing/executor_table.h"
#include "routing/fair_queue.h"

namespace wigeon {

struct admission_request {
    std::string account;
    std::string job_class;
    queue_weights weights;
    std::set<std::string> excluded; // Executors that refused or failed earlier attempts of this request.
    steady_time deadline{};
};

class admission {
public:
    admission(std::size_t queue_limit, executor_table table) : queue(queue_limit), table(std::move(table)) {}

    // Throws error(queue_full) when the queue of the request's account and class is full.
    void check_queue_capacity(const admission_request& request) const;

    // Waits for a slot of an executor and takes it. Throws error(queue_full), error(deadline_in_queue) or
    // error(no_executor).
    Executor acquire(const admission_request& request);

    // Releases the slot, and records the outcome and the duration of the exchange.
    void release(const admission_request& request, const std::string& executor, exchange_outcome outcome,
                 double duration_ms);

    // Runs `change` on the table, then dispatches waiting requests to free slots.
    template <typename Change>
    void update_table(Change&& change)
    {
        const std::lock_guard lock(this->mutex);
        change(this->table);
        this->dispatch(read_steady_clock());
    }

    // Number of requests that wait or are in flight.
    [[nodiscard]] std::uint32_t demand() const;

private:
    struct waiter {
        const admission_request* request = nullptr;
        std::condition_variable decided;
        bool is_decided = false;
        std::optional<Executor> executor;
    };

    void dispatch(steady_time now);

    mutable std::mutex mutex;
    fair_queue queue; // Guarded by mutex, as are all members below.
    executor_table table;
    std::map<std::uint64_t, waiter*> waiters; // By ticket id, for the queued tickets.
    std::uint64_t last_id = 0;
};

} // namespace wigeon
