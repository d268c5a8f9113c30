// Chooses the executors that a heartbeat names, and keeps them apart until a heartbeat without them is in the store.

#include "dispatch/lease_suspensions.h"

#include <algorithm>

namespace wigeon {

namespace {

// Most executors that a heartbeat names, so that it stays small. A later leader assumes the worst of any others.
constexpr std::size_t max_suspended_leases = 500;

// An executor is named for this long after its last task was resolved: the record of the task's unit may still say that
// it runs there.
constexpr milliseconds resolved_task_retention{30'000};

// A new leader reaches executors that are up within this time.
constexpr milliseconds max_first_answer_delay{2'000};

} // namespace

bool lease_suspensions::is_unanswering(std::string_view id, boot_time now) const
{
    const executor* target = this->registry.find(id);
    if (target != nullptr && target->is_reached)
        return this->registry.is_silent(id, now);
    return this->registry.former_leases().contains(id) || now - this->registry.led_since() >= max_first_answer_delay;
}

suspended_lease lease_suspensions::make_record(const std::string& id, boot_time now) const
{
    suspended_lease record;
    record.executor = id;
    if (const executor* target = this->registry.find(id)) {
        record.address = target->entry.address;
        record.incarnation_ms = target->entry.incarnation_ms;
    }
    else if (const auto former = this->registry.former_leases().find(id);
             former != this->registry.former_leases().end()) {
        record.address = former->second.address;
        record.incarnation_ms = former->second.incarnation_ms;
    }
    record.left = std::max(this->registry.find_lease_expiry(id).at - now, milliseconds(0));
    return record;
}

lease_record lease_suspensions::suspend(const task_index& tasks, boot_time now)
{
    executor_set named;
    for (const auto& [id, references] : tasks.all()) {
        if (named.size() < max_suspended_leases && !references.empty() && this->is_unanswering(id, now))
            named.emplace(id, std::nullopt);
    }
    const auto keep = [this, &named, now](const std::string& id, boot_time idle_since) {
        if (named.size() < max_suspended_leases && now - idle_since < resolved_task_retention &&
            this->is_unanswering(id, now))
            named.emplace(id, idle_since);
    };
    for (const auto& [id, idle_since] : this->recorded)
        keep(id, idle_since.value_or(now));
    for (const auto& [id, former] : this->registry.former_leases())
        keep(id, this->registry.led_since());
    lease_record record;
    record.executors = this->registry.count_for_record();
    record.suspended.reserve(named.size());
    for (const auto& [id, idle_since] : named)
        record.suspended.push_back(this->make_record(id, now));
    this->in_flight = std::move(named);
    return record;
}

void lease_suspensions::handle_recorded()
{
    if (this->in_flight)
        this->recorded = std::move(*this->in_flight);
    this->in_flight.reset();
}

bool lease_suspensions::is_return_pending(boot_time now) const
{
    return std::any_of(this->recorded.begin(), this->recorded.end(),
                       [this, now](const auto& entry) { return !this->is_unanswering(entry.first, now); });
}

} // namespace wigeon
