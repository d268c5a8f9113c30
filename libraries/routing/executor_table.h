// The executors as one entry sees them: its share of their slots, its requests in flight, and which executors are
// leaving or failing. Chooses the executor of the next request. Does no I/O and reads no clock: time is an argument.

#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "base/time.h"
#include "membership/member_table.h"
#include "wigeon.pb.h"

namespace wigeon {

enum class exchange_outcome : std::uint8_t {
    answered,      // A complete response with a status below 500.
    failed_answer, // A complete response with a status of 500 or above.
    refused,       // The executor stated that it did not run the request.
    unreachable,   // The connection could not be opened.
    interrupted,   // The connection failed, or the response is incomplete or too large.
    timed_out,     // No complete response within the read timeout or the deadline.
};

struct executor_state {
    Executor executor;
    std::uint32_t slot_share = 0;
    std::uint32_t in_flight = 0;
    // Times when the slots of abandoned requests count as free again: the executor probably continues to run them.
    std::vector<steady_time> abandoned_until;
    bool is_listed_leaving = false;
    steady_time refused_until{}; // The executor refused a request; it gets no new one until then.
    steady_time ejected_until{}; // Connections or responses failed; it gets no new request until then.
    std::uint32_t consecutive_failures = 0;
    double failure_rate = 0;     // Smoothed fraction of responses with a status of 500 or above.
    double mean_duration_ms = 0; // Smoothed duration of an exchange; 0 before the first.
};

// Chooses one of `candidates`, which are indices into `executors`.
class routing_policy {
public:
    virtual ~routing_policy() = default;
    virtual std::size_t choose(const std::vector<executor_state>& executors,
                               const std::vector<std::size_t>& candidates) = 0;
};

// "two_choices": the less loaded of two executors drawn at random. "expected_time": of two executors drawn at random,
// the one with the lower product of load and mean duration. "round_robin": each in turn. Throws
// error(malformed_request) for any other name.
std::unique_ptr<routing_policy> make_routing_policy(std::string_view name, std::uint64_t seed);

class executor_table {
public:
    executor_table(std::unique_ptr<routing_policy> policy, std::string zone);

    // Adopts the executors of the configuration. An executor with the same id and address keeps its state.
    void configure(const Configuration& configuration);

    // Divides the slots of each executor among the entries. `entries` includes this entry, whose incarnation is `self`.
    void divide_slots(const std::vector<entry_demand>& entries, std::uint64_t self, steady_time now);

    // Takes an equal share for each of `entry_count` entries, for when the demands are unknown.
    void divide_equally(std::size_t entry_count, steady_time now);

    void set_leaving(const std::set<std::string, std::less<>>& leaving);

    // Returns true when some executor can take a request now.
    [[nodiscard]] bool has_free_slot(steady_time now) const;

    // Takes a slot and returns the index of its executor, or nothing when no slot is free. Prefers executors that are
    // not excluded, and among these the ones in the own zone.
    std::optional<std::size_t> acquire(const std::set<std::string>& excluded, steady_time now);

    // Releases the slot and updates the state of the executor from the outcome.
    void release(const std::string& executor, exchange_outcome outcome, double duration_ms, steady_time now);

    [[nodiscard]] const std::vector<executor_state>& executors() const { return this->states; }
    [[nodiscard]] std::uint32_t in_flight() const;

private:
    [[nodiscard]] bool is_available(const executor_state& state, steady_time now) const;
    [[nodiscard]] std::vector<std::size_t> list_candidates(const std::set<std::string>& excluded,
                                                           steady_time now) const;
    void set_share(executor_state& state, std::uint32_t share, steady_time now);
    [[nodiscard]] bool may_eject(bool is_unreachable, steady_time now) const;
    void eject(executor_state& state, bool is_unreachable, steady_time now);

    std::unique_ptr<routing_policy> policy;
    std::string zone;
    std::uint64_t configuration_version = 0;
    std::vector<executor_state> states;
    // Larger shares by executor id, and since when they are pending. A share rises only after share_increase_delay,
    // when the other entries have lowered theirs.
    std::map<std::string, std::pair<std::uint32_t, steady_time>> pending_increases;
};

} // namespace wigeon
