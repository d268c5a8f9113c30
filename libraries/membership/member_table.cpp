// Membership, and the division of units among entries by the largest remainder method.

#include "membership/member_table.h"

#include <algorithm>

#include <boost/container_hash/hash.hpp>

namespace wigeon {

bool member_table::record_heartbeat(const Beat& heartbeat, steady_time now)
{
    this->highest_configuration_version =
        std::max(this->highest_configuration_version, heartbeat.configuration_version());
    std::erase_if(this->members, [&heartbeat](const auto& entry) {
        return entry.second.heartbeat.address() == heartbeat.address() && entry.first != heartbeat.incarnation();
    });
    const bool is_new = !this->members.contains(heartbeat.incarnation());
    if (this->members.size() >= max_members && is_new)
        return false;
    this->members[heartbeat.incarnation()] = member{heartbeat, now};
    std::size_t& peak = this->peak_live_counts[heartbeat.role()];
    peak = std::max(peak, this->list_live(heartbeat.role()).size());
    return is_new;
}

std::size_t member_table::expire(steady_time now)
{
    return std::erase_if(this->members, [now](const auto& entry) {
        return now - entry.second.last_heartbeat_at > milliseconds(entry.second.heartbeat.valid_ms());
    });
}

std::vector<member> member_table::list_live(std::string_view role) const
{
    std::vector<member> live;
    for (const auto& [incarnation, entry] : this->members) {
        if (entry.heartbeat.role() == role && !entry.heartbeat.is_leaving())
            live.push_back(entry);
    }
    return live;
}

std::vector<member> member_table::list_all() const
{
    std::vector<member> all;
    for (const auto& [incarnation, entry] : this->members)
        all.push_back(entry);
    return all;
}

std::size_t member_table::peak_live_count(std::string_view role) const
{
    const auto found = this->peak_live_counts.find(role);
    return found == this->peak_live_counts.end() ? 0 : found->second;
}

namespace {

std::size_t compute_tie_break(std::uint64_t incarnation, std::uint64_t salt)
{
    std::size_t seed = 0;
    boost::hash_combine(seed, incarnation);
    boost::hash_combine(seed, salt);
    // The high bits of Boost's integer hash are weak; a second round mixes them.
    boost::hash_combine(seed, incarnation * 0x9E3779B97F4A7C15ULL);
    return seed;
}

} // namespace

std::uint32_t compute_share(std::uint32_t total, const std::vector<entry_demand>& entries, std::uint64_t self,
                            std::uint64_t salt)
{
    struct entry_share {
        std::uint64_t incarnation = 0;
        std::uint64_t quotient = 0;
        std::uint64_t remainder = 0;
        std::size_t tie_break = 0;
    };
    std::vector<entry_share> shares;
    std::uint64_t demand_sum = 0;
    for (const entry_demand& entry : entries)
        demand_sum += std::uint64_t{entry.demand} + 1;
    const bool is_one_each_possible = total >= entries.size();
    const std::uint64_t proportional_units = is_one_each_possible ? total - entries.size() : total;
    std::uint64_t assigned = 0;
    for (const entry_demand& entry : entries) {
        const std::uint64_t scaled = proportional_units * (std::uint64_t{entry.demand} + 1);
        entry_share share{entry.incarnation, scaled / demand_sum, scaled % demand_sum,
                          compute_tie_break(entry.incarnation, salt)};
        assigned += share.quotient;
        shares.push_back(share);
    }
    std::sort(shares.begin(), shares.end(), [](const entry_share& a, const entry_share& b) {
        if (a.remainder != b.remainder)
            return a.remainder > b.remainder;
        return a.tie_break != b.tie_break ? a.tie_break < b.tie_break : a.incarnation < b.incarnation;
    });
    std::uint64_t unassigned = proportional_units - assigned;
    for (const entry_share& candidate : shares) {
        const std::uint64_t extra = unassigned > 0 ? 1 : 0;
        unassigned -= extra;
        if (candidate.incarnation == self)
            return static_cast<std::uint32_t>(candidate.quotient + extra + (is_one_each_possible ? 1 : 0));
    }
    return 0;
}

} // namespace wigeon
