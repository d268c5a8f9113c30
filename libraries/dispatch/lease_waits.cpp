// Compares the executors that are waited for now with those of the last update.

#include "dispatch/lease_waits.h"

namespace wigeon {

void lease_waits::update(const task_index& tasks, boot_time now)
{
    for (const auto& [id, references] : tasks.all()) {
        if (references.empty() || !this->registry.is_silent(id, now))
            continue;
        const lease_expiry expiry = this->registry.find_lease_expiry(id);
        const auto [found, is_new] = this->waits.try_emplace(id, wait{now, expiry});
        if (is_new)
            this->report("lease_wait_began", id, references.size(), expiry, now);
        else if (found->second.expiry.basis != expiry.basis)
            this->report("lease_wait_changed", id, references.size(), expiry, now);
        found->second.expiry = expiry;
    }
    std::erase_if(this->waits, [this, &tasks, now](const auto& entry) {
        const bool has_tasks = !tasks.tasks_on(entry.first).empty();
        if (has_tasks && this->registry.is_silent(entry.first, now))
            return false;
        this->report_end(entry.first, entry.second, has_tasks, now);
        return true;
    });
}

void lease_waits::report(std::string_view event, const std::string& id, std::size_t task_count,
                         const lease_expiry& expiry, boot_time now)
{
    const executor* target = this->registry.find(id);
    std::string missing = "unknown";
    if (target != nullptr && target->is_listed)
        missing = "listed";
    else if (target != nullptr && target->unlisted_since)
        missing = std::to_string((now - *target->unlisted_since).count());
    this->events.add(std::string(event), {},
                     "executor=" + id + " tasks=" + std::to_string(task_count) + " missing_ms=" + missing +
                         " basis=" + std::string(to_string(expiry.basis)) +
                         " ends_in_ms=" + std::to_string((expiry.at - now).count()));
}

void lease_waits::report_end(const std::string& id, const wait& ended, bool has_tasks, boot_time now)
{
    std::string_view outcome = "tasks_ended";
    if (has_tasks)
        outcome = "answered";
    else if (this->registry.is_replaced(id))
        outcome = "replaced";
    else if (now > ended.expiry.at)
        outcome = "expired";
    this->events.add("lease_wait_ended", {},
                     "executor=" + id + " outcome=" + std::string(outcome) +
                         " basis=" + std::string(to_string(ended.expiry.basis)) +
                         " after_ms=" + std::to_string((now - ended.began_at).count()));
}

} // namespace wigeon
