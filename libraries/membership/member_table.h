// Tracks from their heartbeats which peers are alive. Each process start draws a new incarnation, so that a process
// that was restarted at the same address is another member.

#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "base/time.h"
#include "wigeon.pb.h"

namespace wigeon {

struct member {
    Beat heartbeat;
    steady_time last_heartbeat_at;
};

class member_table {
public:
    // Adds or refreshes the sender, which at once replaces a member with the same address and another incarnation. Does
    // not add members beyond max_members. Returns true for a new member.
    bool record_heartbeat(const Beat& heartbeat, steady_time now);

    // Removes members whose last heartbeat is older than its validity. Returns how many.
    std::size_t expire(steady_time now);

    // Returns the members of the role that have not expired and are not leaving, ordered by incarnation.
    [[nodiscard]] std::vector<member> list_live(std::string_view role) const;

    [[nodiscard]] std::vector<member> list_all() const;

    // Returns the newest configuration version that any peer ever announced. Never decreases.
    [[nodiscard]] std::uint64_t newest_configuration_version() const { return this->highest_configuration_version; }

    // Returns the largest number of live members of the role that were ever known at once. An entry that hears no peer
    // divides shared limits by it, so that the shares never add up to more than the limit during a network partition.
    [[nodiscard]] std::size_t peak_live_count(std::string_view role) const;

private:
    static constexpr std::size_t max_members = 1024;

    std::map<std::uint64_t, member> members; // By incarnation.
    std::map<std::string, std::size_t, std::less<>> peak_live_counts;
    std::uint64_t highest_configuration_version = 0;
};

struct entry_demand {
    std::uint64_t incarnation = 0;
    std::uint32_t demand = 0;
};

// Returns the share of the entry `self` when `total` units are divided among the entries; 0 when it is not among them.
// Each entry gets at least one unit if there are enough; the others are divided in proportion to the demands by the
// largest remainder method. Entries that know the same heartbeats compute the same result. `salt` varies which entries
// get the units left by rounding, so that no entry is favoured on every executor.
std::uint32_t compute_share(std::uint32_t total, const std::vector<entry_demand>& entries, std::uint64_t self,
                            std::uint64_t salt);

} // namespace wigeon
