// Counts the items of each account and compares them with its share.

#include "state/account_quota.h"

#include <algorithm>

namespace wigeon {

void account_quota::add(std::string_view account)
{
    ++this->used_by_account[std::string(account)];
    ++this->total;
}

void account_quota::remove(std::string_view account)
{
    const auto found = this->used_by_account.find(account);
    if (found == this->used_by_account.end())
        return;
    --this->total;
    if (--found->second == 0)
        this->used_by_account.erase(found);
}

bool account_quota::may_add(const Configuration& configuration, std::string_view account) const
{
    const std::uint64_t half = this->limit / 2;
    if (this->total < half)
        return true;
    std::uint64_t weight = 0;
    std::uint64_t weight_sum = 0;
    for (const Account& entry : configuration.accounts()) {
        weight_sum += entry.weight();
        if (entry.name() == account)
            weight = entry.weight();
    }
    const auto found = this->used_by_account.find(account);
    const std::uint64_t own = found == this->used_by_account.end() ? 0 : found->second;
    return own < half * weight / std::max<std::uint64_t>(weight_sum, 1);
}

} // namespace wigeon
