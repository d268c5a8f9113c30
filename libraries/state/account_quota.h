// Limits the number of items that the accounts keep in the replicated state. While less than half of the limit is used,
// any account may add items. Beyond that, an account may add items only while it has fewer than its share, by weight,
// of half the limit. A flood of one account then neither exhausts the memory of the processes nor locks out the other
// accounts.

#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "wigeon.pb.h"

namespace wigeon {

class account_quota {
public:
    explicit account_quota(std::uint64_t limit) : limit(limit) {}

    void add(std::string_view account);
    void remove(std::string_view account);

    [[nodiscard]] bool may_add(const Configuration& configuration, std::string_view account) const;

private:
    std::uint64_t limit;
    std::uint64_t total = 0; // At most the limit while the accounts and their weights stay the same.
    std::map<std::string, std::uint64_t, std::less<>> used_by_account;
};

} // namespace wigeon
