// Lookups in the fleet policy by path, name and API key.

#include "jobs/fleet_policy.h"

#include <algorithm>

namespace wigeon {

const queue_policy* fleet_policy::find_queue(std::string_view host, std::string_view path) const
{
    const queue_policy* longest = nullptr;
    for (const queue_policy& queue : this->queues) {
        if (queue.host != host || !path.starts_with(queue.path_prefix))
            continue;
        if (longest == nullptr || queue.path_prefix.size() > longest->path_prefix.size())
            longest = &queue;
    }
    return longest;
}

const queue_policy* fleet_policy::find_queue_by_name(std::string_view name) const
{
    const auto found = std::find_if(this->queues.begin(), this->queues.end(),
                                    [name](const queue_policy& queue) { return queue.name == name; });
    return found == this->queues.end() ? nullptr : &*found;
}

const account_policy* fleet_policy::find_account_by_key(std::string_view key) const
{
    const auto found = std::find_if(this->accounts.begin(), this->accounts.end(), [key](const account_policy& account) {
        return std::find(account.api_keys.begin(), account.api_keys.end(), key) != account.api_keys.end();
    });
    return found == this->accounts.end() ? nullptr : &*found;
}

const account_policy* fleet_policy::find_account(std::string_view name) const
{
    const auto found = std::find_if(this->accounts.begin(), this->accounts.end(),
                                    [name](const account_policy& account) { return account.name == name; });
    return found == this->accounts.end() ? nullptr : &*found;
}

} // namespace wigeon
