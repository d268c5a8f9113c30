// Dispatches waiting requests to free slots.

#include "routing/admission.h"

#include "base/error_kind.h"

namespace wigeon {

void admission::check_queue_capacity(const admission_request& request) const
{
    const std::lock_guard lock(this->mutex);
    if (!this->queue.has_capacity(request.account, request.job_class))
        throw error(error_kind::queue_full, "account '" + request.account + "', class '" + request.job_class + "'");
}

Executor admission::acquire(const admission_request& request)
{
    std::unique_lock lock(this->mutex);
    const steady_time now = read_steady_clock();
    waiter own;
    own.request = &request;
    queue_ticket ticket{++this->last_id, request.account, request.job_class, request.deadline, now};
    const std::uint64_t id = ticket.id;
    if (!this->queue.push(std::move(ticket), request.weights, now))
        throw error(error_kind::queue_full, "account '" + request.account + "', class '" + request.job_class + "'");
    this->waiters.emplace(id, &own);
    this->dispatch(now);
    own.decided.wait_until(lock, request.deadline, [&own] { return own.is_decided; });
    this->waiters.erase(id);
    if (!own.is_decided) {
        this->queue.remove(id);
        throw error(error_kind::deadline_in_queue, "no slot became free in time");
    }
    if (!own.executor)
        throw error(error_kind::no_executor, "each executor that is left refused the request");
    return *own.executor;
}

void admission::dispatch(steady_time now)
{
    while (this->table.has_free_slot(now)) {
        const auto ticket = this->queue.pop(now);
        if (!ticket)
            return;
        const auto found = this->waiters.find(ticket->id);
        // The caller has stopped waiting because its deadline passed.
        if (found == this->waiters.end())
            continue;
        waiter& next = *found->second;
        if (const auto chosen = this->table.acquire(next.request->excluded, now))
            next.executor = this->table.executors()[*chosen].executor;
        next.is_decided = true;
        next.decided.notify_one();
    }
}

void admission::release(const admission_request& request, const std::string& executor, exchange_outcome outcome,
                        double duration_ms)
{
    const std::lock_guard lock(this->mutex);
    const steady_time now = read_steady_clock();
    this->table.release(executor, outcome, duration_ms, now);
    this->queue.correct_cost(request.account, request.job_class, duration_ms);
    this->dispatch(now);
}

std::uint32_t admission::demand() const
{
    const std::lock_guard lock(this->mutex);
    return static_cast<std::uint32_t>(this->queue.size()) + this->table.in_flight();
}

} // namespace wigeon
