// What the leader knows about each executor: its entry in the directory, its last poll report, and when its leases
// expire.

#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/time.h"
#include "dispatch/executor_health.h"
#include "dispatch/resources.h"

namespace wigeon {

// A leader that has not reached the store for this long steps down, which ends its lease renewals. Longer than the
// longest outage of the store that running work must survive (20 s).
constexpr milliseconds max_unconfirmed_leadership{25'000};

// A leader that the store has not confirmed for this long renews leases only while more than half of the listed
// executors have answered polls that it sent within this time. If another leader has reached more than half as well,
// one of these executors refuses the former leader's token. So this long after that, no former leader renews a lease.
constexpr milliseconds max_reachability_age{5'000};

// An executor may carry out a start that it has not answered up to 12 s later.
constexpr milliseconds max_late_execution{15'000};

// An executor that has not answered for this long counts as silent.
constexpr milliseconds min_silence{500};

// An executor's entry in the platform's directory.
struct executor_entry {
    std::string id;
    std::string pool;
    std::string address;
    std::string zone;
    std::string rack;
    std::vector<std::string> labels;
    resources capacity; // In total, used or not.
    bool is_draining = false;
    std::uint64_t incarnation_ms = 0; // Unix time of the executor's start; a restart raises it. 0: not reported.
};

enum class run_outcome : std::uint8_t {
    done,
    failed,
    stopped,
    lapsed,       // Its lease expired.
    partner_lost, // Another task of the gang ended.
    left_alone,   // The other tasks of the gang did not start in time.
};

std::string_view to_string(run_outcome outcome);

struct running_task {
    std::string task;
    std::uint32_t run = 0;
    std::string checkpoint;
    std::uint32_t percent = 0;
};

struct ended_task {
    std::uint64_t sequence = 0; // Numbers the ends of one incarnation of an executor, from 1.
    std::string task;
    std::uint32_t run = 0;
    run_outcome outcome = run_outcome::failed;
    std::string checkpoint;
};

// An executor's answer to a poll.
struct poll_report {
    std::uint64_t incarnation_ms = 0; // 0: not reported.
    milliseconds clock{0};            // The executor's own steady clock.
    std::vector<running_task> running;
    std::vector<ended_task> ended;
    bool may_omit_ends = false; // The list of ends is as long as an answer may be, so more ends may follow.
};

// What the bound of an executor's last lease rests on.
enum class lease_basis : std::uint8_t {
    own_renewals,          // The leases that this leader has sent.
    former_leader_at_work, // A former leader may renew leases as long as it may do without the store.
    former_leader_cut_off, // Too many executors have answered this leader for a former one to go on.
    former_leader_record,  // The former leader has recorded that it renews no leases there.
};

std::string_view to_string(lease_basis basis);

struct lease_expiry {
    boot_time at; // All tasks on the executor have certainly ended then, if no further renewal reaches it.
    lease_basis basis = lease_basis::own_renewals;
};

// An executor whose leases a leader does not renew, as its heartbeat says.
struct suspended_lease {
    std::string executor;
    std::string address;
    std::uint64_t incarnation_ms = 0; // 0: not known.
    milliseconds left{0};             // Until all its tasks have certainly ended, from when the heartbeat was made.
};

// What a heartbeat says of leases.
struct lease_record {
    std::vector<suspended_lease> suspended;
    // Most that this leader, or a former one that may still renew leases, lists. 0: not known.
    std::size_t executors = 0;
};

struct executor {
    executor_entry entry;
    bool is_listed = true; // Has an entry in the directory.
    std::optional<boot_time> unlisted_since;
    bool is_reached = false;                    // The current incarnation has answered a poll of this leader.
    std::optional<boot_time> last_poll_sent_at; // Of the newest answered poll; none after a failed one.
    std::optional<boot_time> unanswered_since;  // When the first poll failed after the last answer.
    std::optional<boot_time> restarted_at;      // When the current incarnation became known; none: it is the first one.
    std::optional<boot_time> clock_read_at;     // When `clock` was received.
    milliseconds clock{0};
    milliseconds latest_deadline{0}; // Latest lease deadline sent, on the executor's clock.
    // Latest lease deadline sent to the former incarnation, and until when an order that carries it may still be
    // carried out by the current one; none: no such order was on its way.
    milliseconds former_deadline{0};
    std::optional<boot_time> former_orders_until;
    std::uint64_t last_end_recorded = 0; // Ends up to this sequence are in the store.
    std::uint64_t last_end_seen = 0;     // At least last_end_recorded.
    resources used;                      // By unresolved tasks.
    failure_streak health;

    // The executor may delete its ends up to this sequence. 0 after a failed poll: the executor may have restarted, and
    // a new incarnation numbers its ends from 1 and would delete ends that no leader has seen.
    [[nodiscard]] std::uint64_t find_end_to_acknowledge() const
    {
        return this->last_poll_sent_at ? this->last_end_recorded : 0;
    }

    [[nodiscard]] resources free_capacity() const { return this->entry.capacity - this->used; }
};

class executor_registry {
public:
    explicit executor_registry(milliseconds max_lease, boot_time leading_since);

    // Adds or updates the executor. Returns true if the entry shows a new incarnation of a known executor.
    bool update(const executor_entry& entry, boot_time now);
    void remove(std::string_view id, boot_time now);

    executor* find(std::string_view id);
    [[nodiscard]] const executor* find(std::string_view id) const;
    [[nodiscard]] std::map<std::string, executor, std::less<>>& all() { return this->executors; }
    [[nodiscard]] const std::map<std::string, executor, std::less<>>& all() const { return this->executors; }

    [[nodiscard]] boot_time led_since() const { return this->leading_since; }

    // Returns the deadline of a lease of maximum length, on the executor's clock, and records it as sent.
    milliseconds extend_lease(executor& target, boot_time now);

    // Whether more than half of the listed executors have answered a poll that was sent within max_reachability_age.
    [[nodiscard]] bool is_majority_reachable(boot_time now) const;

    // Notes the time at which so many executors have answered this leader that no former one can reach more than half
    // of its own. Where the last heartbeat says how many those are, half of them suffice. Otherwise they are taken to
    // be the executors known here and `unknown_count` others that have tasks, and it takes more than half. An executor
    // that came back at its address under another id counts once; one that has joined since the former leader read the
    // directory has not answered for this.
    void observe_reached(std::size_t unknown_count, boot_time now);

    // The number for this leader's heartbeats.
    [[nodiscard]] std::size_t count_for_record() const;

    // Takes over what the last heartbeat of the term before says, which was read at `read_at`. Its leader must be
    // unable to record another one.
    void add_former_leases(const lease_record& record, boot_time read_at);

    struct former_lease {
        std::string address;
        std::uint64_t incarnation_ms = 0;
        boot_time ends_at;
    };
    [[nodiscard]] const std::map<std::string, former_lease, std::less<>>& former_leases() const
    {
        return this->recorded_leases;
    }

    // An executor that is not known here has no entry in the directory.
    [[nodiscard]] lease_expiry find_lease_expiry(const executor& target) const;
    [[nodiscard]] lease_expiry find_lease_expiry(std::string_view id) const;
    [[nodiscard]] bool has_lease_expired(std::string_view id, boot_time now) const
    {
        return now > this->find_lease_expiry(id).at;
    }

    // Whether the executor has answered no poll for min_silence, or never while this leader has led for that long.
    [[nodiscard]] bool is_silent(std::string_view id, boot_time now) const;

    // Whether the executor's process has certainly ended: one that started later has answered at its address, and it
    // has not answered there since. What it ran has ended with it. False if its address is not known.
    [[nodiscard]] bool is_replaced(std::string_view id) const;
    [[nodiscard]] bool is_replaced(const executor& target) const;

    // Called after a restart of the executor while orders for its former incarnation are on their way.
    static void expect_former_orders(executor& target, boot_time now);

    // Called when a poll was not answered, or an order could not be sent.
    static void handle_no_answer(executor& target, boot_time now);

    // Updates the executor's clock, lease deadline and last seen end from an answered poll.
    void apply_poll_report(executor& target, const poll_report& report, boot_time sent_at, boot_time now);

private:
    [[nodiscard]] lease_expiry find_former_lease_expiry(const executor& target) const;
    [[nodiscard]] lease_expiry find_unrecorded_lease_expiry(const executor& target) const;
    [[nodiscard]] bool is_replaced(std::string_view id, std::string_view address, std::uint64_t incarnation_ms) const;
    [[nodiscard]] bool has_joined_lately(const executor& target) const;

    milliseconds max_lease;
    boot_time leading_since;
    std::optional<boot_time> half_reached_at; // None: former leaders may still renew leases.
    std::map<std::string, executor, std::less<>> executors;
    std::map<std::string, former_lease, std::less<>> recorded_leases; // By executor.
    std::size_t former_executors = 0; // As the last heartbeat of the term before says; 0: not known.

    struct process {
        std::string id;
        std::uint64_t incarnation_ms = 0;
        boot_time poll_sent_at;
    };
    // By address, the process whose answered poll was sent last.
    std::map<std::string, process, std::less<>> last_answers;
};

} // namespace wigeon
