// Which peers are alive, from their beats. An incarnation is drawn anew at each process start, so that a
// replacement at the same address is another member.

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
    // A beat from the address of another incarnation replaces that one at once. Returns true for a new member.
    bool record_heartbeat(const Beat& heartbeat, steady_time now);

    // Removes members that were silent for longer than their last beat allows. Returns how many.
    std::size_t expire(steady_time now);

    // Members of the role that are neither silent nor leaving, in the order of their incarnations.
    [[nodiscard]] std::vector<member> list_live(std::string_view role) const;

    [[nodiscard]] std::vector<member> list_all() const;

    // The newest configuration version that any peer ever announced. Never falls.
    [[nodiscard]] std::uint64_t newest_configuration_version() const { return this->highest_configuration_version; }

    // The largest number of live members of the role ever seen together. An entry that hears no peer divides
    // shared limits by it, so that a cut network never makes the shares add up to more than the whole.
    [[nodiscard]] std::size_t peak_live_count(std::string_view role) const;

private:
    static constexpr std::size_t max_members = 1024;

    std::map<std::uint64_t, member> members; // By incarnation.
    std::map<std::string, std::size_t, std::less<>> peak_live_counts;
    std::uint64_t highest_configuration_version = 0;
};

// Divides `total` units among entries. Each gets at least one while there are enough, the rest follows
// the demands by the largest remainder. The result is the same on each entry that knows the same beats.
struct entry_demand {
    std::uint64_t incarnation = 0;
    std::uint32_t demand = 0;
};

// `salt` varies who gets the odd units, so that no entry is favoured on every executor.
std::uint32_t compute_share(std::uint32_t total, const std::vector<entry_demand>& entries, std::uint64_t self,
                            std::uint64_t salt);

} // namespace wigeon
