// What one entry knows of the executors: its share of their slots, the work it has in flight there, who is
// leaving, and who fails. Chooses the executor of the next request. Pure: time is an argument.

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
    answered,      // A whole answer, below status 500.
    failed_answer, // A whole answer of status 500 or above.
    refused,       // The executor said that it did not run the request.
    unreachable,   // No connection.
    interrupted,   // The exchange broke off.
    timed_out,     // No whole answer in the time that the caller allowed.
};

struct executor_state {
    Executor executor;
    std::uint32_t slot_share = 0;
    std::uint32_t in_flight = 0;
    // When the slots of requests that were given up may be free: the executor probably goes on with them.
    std::vector<steady_time> abandoned_until;
    bool is_listed_leaving = false;
    steady_time refused_until{}; // By the executor's own word.
    steady_time ejected_until{}; // Because connections or answers failed.
    std::uint32_t consecutive_failures = 0;
    double failure_rate = 0;     // Smoothed share of answers of status 500 or above.
    double mean_duration_ms = 0; // Smoothed time of an exchange; 0 before the first.
};

// Chooses among the candidates; indices into the table.
class routing_policy {
public:
    virtual ~routing_policy() = default;
    virtual std::size_t choose(const std::vector<executor_state>& executors,
                               const std::vector<std::size_t>& candidates) = 0;
};

// "two_choices": the less loaded of two drawn executors; "expected_time": the one of two whose load and usual time of
// an exchange promise the earlier answer; "round_robin". Throws error(malformed_request) for another name.
std::unique_ptr<routing_policy> make_routing_policy(std::string_view name, std::uint64_t seed);

class executor_table {
public:
    executor_table(std::unique_ptr<routing_policy> policy, std::string zone);

    // Follows the configuration. Executors that stay keep what was learnt of them.
    void configure(const Configuration& configuration);

    // Divides the slots among the entries. `entries` holds this one as well.
    void divide_slots(const std::vector<entry_demand>& entries, std::uint64_t self, steady_time now);

    // Each of `divisor` entries takes an equal share, when the demands are unknown.
    void divide_equally(std::size_t entry_count, steady_time now);

    void set_leaving(const std::set<std::string, std::less<>>& leaving);

    // True when some executor could take a request now.
    [[nodiscard]] bool has_free_slot(steady_time now) const;

    // Takes a slot of an executor, of one that is not excluded if possible; zone-local ones come first.
    std::optional<std::size_t> acquire(const std::set<std::string>& excluded, steady_time now);

    // Gives the slot back and learns from the exchange.
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
    // A share rises only after this delay, when the others have seen theirs fall.
    std::map<std::string, std::pair<std::uint32_t, steady_time>> pending_increases;
};

} // namespace wigeon
