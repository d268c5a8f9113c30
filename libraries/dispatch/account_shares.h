// Which accounts use more than an equal share of a pool, and how far their waiting work moves back for it. Answers the
// load of accounts that compete for too little capacity: without it, an account that floods the fleet delays all others
// alike. Idle capacity is lent to whoever asks for it; the shares only decide who gets what becomes free. No I/O, no
// clock.

#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "base/time.h"
#include "dispatch/placement.h"
#include "dispatch/resources.h"
#include "dispatch/run_tracker.h"

namespace wigeon {

// Largest penalty of an account's waiting work. Twice the slack of an urgent job of typical size (2.1 s of work, late
// 3.4 s after its arrival), so that an urgent job of another account is not served after it. It also bounds how much
// later a late job is served for the use of its account.
constexpr milliseconds max_share_penalty{3'000};

class account_shares {
public:
    // Called in each round, before the waiting work is counted. `executors` are those of the round before anything is
    // placed in it. The first call in which a pool has executors sets its shares at once, as after a change of leader.
    void update(const run_tracker& tracker, std::span<const executor_capacity> executors, boot_time now);

    // Count the waiting work of a round anew: the accelerators that waiting units of each job request. The order of the
    // queue is computed from a pass over the same work, which is why this has no pass of its own.
    void begin_waiting();
    void add_waiting(const std::string& pool, const std::string& account, std::int64_t accelerators);
    void end_waiting();

    // Whether at least two accounts have work that waits for the pool, and it asks for more accelerators than are free.
    [[nodiscard]] bool is_short(std::string_view pool) const;
    [[nodiscard]] bool is_any_short() const;

    // The largest of the account's parts of the pool's cores, memory and accelerators, between 0 and 1, averaged over
    // the last seconds. 0 for an account that is not known.
    [[nodiscard]] double find_share(std::string_view pool, std::string_view account) const;

    // What each account of the pool with running or waiting work would have if all had the same. 1 if there is none.
    [[nodiscard]] double find_equal_share(std::string_view pool) const;

    // Added to the position of the account's waiting work within its tier of the queue. 0 up to the equal share, and
    // while the pool is not short; grows to max_share_penalty at twice the equal share.
    [[nodiscard]] milliseconds find_penalty(std::string_view pool, std::string_view account) const;

    struct named_share {
        std::string account;
        double share = 0;
    };

    // The accounts with the largest shares, at most `limit`, the largest first. An account counts with its largest
    // share of any pool.
    [[nodiscard]] std::vector<named_share> list_largest(std::size_t limit) const;

    // When the running tasks were last counted; none before the first update.
    [[nodiscard]] std::optional<boot_time> last_measured_at() const { return this->measured_at; }

    // Number of accounts kept, by pool.
    [[nodiscard]] std::size_t size() const;

private:
    struct account_state {
        resources used;           // By tasks that run or may run.
        bool has_running = false; // This and `used` are as of the last measurement.
        bool has_waiting = false; // As of the last count.
        double share = 0;
    };

    struct pool_state {
        resources total; // Of the executors of the round.
        std::int64_t free_accelerators = 0;
        std::int64_t waiting_accelerators = 0; // Requested by units that wait.
        std::size_t waiting_accounts = 0;
        std::size_t active_accounts = 0; // With running or waiting work.
        bool is_measured = false;
        // Has each account with running or waiting work, and others until their share is negligible.
        std::map<std::string, account_state, std::less<>> accounts;
    };

    [[nodiscard]] const pool_state* find_pool(std::string_view pool) const;
    [[nodiscard]] account_state& state_of(pool_state& pool, const std::string& account);
    void count_capacity(std::span<const executor_capacity> executors);
    void count_running(const run_tracker& tracker);
    void average_shares(milliseconds passed);

    std::map<std::string, pool_state, std::less<>> pools;
    std::optional<boot_time> measured_at;
};

} // namespace wigeon
