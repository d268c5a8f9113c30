// Start-time fair queueing.

#include "routing/fair_queue.h"

#include <algorithm>

namespace wigeon {

namespace {

constexpr double cost_smoothing = 0.1;
constexpr milliseconds drop_interval{50};

// Returns the backlogged queue with the lowest virtual time, or nullptr.
template <typename Table, typename IsBacklogged>
auto* find_next(Table& table, IsBacklogged is_backlogged)
{
    typename Table::mapped_type* next = nullptr;
    for (auto& [name, entry] : table) {
        if (is_backlogged(entry) && (next == nullptr || entry.virtual_time < next->virtual_time))
            next = &entry;
    }
    return next;
}

} // namespace

bool fair_queue::push(queue_ticket ticket, queue_weights weights, steady_time now)
{
    this->drop_expired(now);
    account_queue& account = this->accounts[ticket.account];
    class_queue& queue = account.classes[ticket.job_class];
    account.weight = std::max<std::uint32_t>(weights.account, 1);
    queue.weight = std::max<std::uint32_t>(weights.job_class, 1);
    if (queue.tickets.size() >= this->limit)
        return false;
    // An account that was idle starts at the current virtual time, unless it is ahead of it: idle time gives no credit.
    if (account.size == 0)
        account.virtual_time = std::max(account.virtual_time, this->virtual_time);
    if (queue.tickets.empty()) {
        const auto* least_served = find_next(account.classes, [](const class_queue& q) { return !q.tickets.empty(); });
        if (least_served != nullptr)
            queue.virtual_time = std::max(queue.virtual_time, least_served->virtual_time);
    }
    queue.tickets.push_back(std::move(ticket));
    ++account.size;
    ++this->total;
    return true;
}

bool fair_queue::has_capacity(std::string_view account, std::string_view job_class) const
{
    const auto found = this->accounts.find(account);
    if (found == this->accounts.end())
        return true;
    const auto queue = found->second.classes.find(job_class);
    return queue == found->second.classes.end() || queue->second.tickets.size() < this->limit;
}

// Removes the oldest ticket, or the newest one once the oldest has waited for half of its time limit: under overload,
// the old requests would miss their deadlines anyway, and serving them would make the new ones late too.
queue_ticket fair_queue::pop_from(class_queue& queue, steady_time now) const
{
    const queue_ticket& oldest = queue.tickets.front();
    const bool is_overloaded = (now - oldest.queued_at) * 2 > oldest.deadline - oldest.queued_at;
    queue_ticket taken = is_overloaded ? std::move(queue.tickets.back()) : std::move(queue.tickets.front());
    if (is_overloaded)
        queue.tickets.pop_back();
    else
        queue.tickets.pop_front();
    return taken;
}

std::optional<queue_ticket> fair_queue::pop(steady_time now)
{
    this->drop_expired(now);
    account_queue* account = find_next(this->accounts, [](const account_queue& a) { return a.size > 0; });
    if (account == nullptr)
        return std::nullopt;
    class_queue* queue = find_next(account->classes, [](const class_queue& q) { return !q.tickets.empty(); });
    queue_ticket taken = this->pop_from(*queue, now);
    this->virtual_time = std::max(this->virtual_time, account->virtual_time);
    account->virtual_time += queue->expected_cost_ms / account->weight;
    queue->virtual_time += queue->expected_cost_ms / queue->weight;
    --account->size;
    --this->total;
    return taken;
}

bool fair_queue::remove(std::uint64_t id)
{
    for (auto& [account_name, account] : this->accounts) {
        for (auto& [class_name, queue] : account.classes) {
            const auto erased = std::erase_if(queue.tickets, [id](const queue_ticket& t) { return t.id == id; });
            account.size -= erased;
            this->total -= erased;
            if (erased > 0)
                return true;
        }
    }
    return false;
}

void fair_queue::correct_cost(std::string_view account_name, std::string_view class_name, double cost_ms)
{
    const auto account = this->accounts.find(account_name);
    if (account == this->accounts.end())
        return;
    const auto queue = account->second.classes.find(class_name);
    if (queue == account->second.classes.end())
        return;
    class_queue& entry = queue->second;
    const double correction = cost_ms - entry.expected_cost_ms;
    account->second.virtual_time += correction / account->second.weight;
    entry.virtual_time += correction / entry.weight;
    entry.expected_cost_ms += cost_smoothing * correction;
}

void fair_queue::drop_expired(steady_time now)
{
    if (now - this->last_drop < drop_interval)
        return;
    this->last_drop = now;
    for (auto& [account_name, account] : this->accounts) {
        for (auto& [class_name, queue] : account.classes) {
            const auto erased =
                std::erase_if(queue.tickets, [now](const queue_ticket& ticket) { return ticket.deadline <= now; });
            account.size -= erased;
            this->total -= erased;
        }
    }
}

} // namespace wigeon
