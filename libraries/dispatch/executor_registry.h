// What the leader knows of each executor: its entry in the directory, its last words, and until when its leases may
// hold.

#pragma once

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

// A leader that has not reached the store for this long steps down, so that its renewals end. Longer than the longest
// outage of the store that running work has to outlive (20 s).
constexpr milliseconds max_unconfirmed_leadership{25'000};

// An executor as the platform's directory shows it.
struct executor_entry {
    std::string id;
    std::string pool;
    std::string address;
    std::string zone;
    std::string rack;
    std::vector<std::string> labels;
    resources capacity; // All of it, used or not.
    bool is_draining = false;
    std::uint64_t incarnation_ms = 0; // Tells lives under one id apart; Unix time; 0: not said.
};

enum class run_outcome : std::uint8_t {
    done,
    failed,
    stopped,
    lapsed,       // Its lease ran out.
    partner_lost, // Another member of the gang ended.
    left_alone,   // The other members of the gang did not come in time.
};

std::string_view to_string(run_outcome outcome);

struct running_task {
    std::string task;
    std::uint32_t run = 0;
    std::string checkpoint;
    std::uint32_t percent = 0;
};

struct ended_task {
    std::uint64_t sequence = 0; // Counts the ends of one life of an executor, from 1.
    std::string task;
    std::uint32_t run = 0;
    run_outcome outcome = run_outcome::failed;
    std::string checkpoint;
};

// What an executor answered when it was looked at.
struct poll_report {
    std::uint64_t incarnation_ms = 0; // 0: not said.
    milliseconds clock{0};            // The executor's own steady clock.
    std::vector<running_task> running;
    std::vector<ended_task> ended;
};

struct executor {
    executor_entry entry;
    bool is_listed = true; // In the directory.
    std::optional<boot_time> unlisted_since;
    bool is_reached = false;                    // This leader has looked at this life.
    std::optional<boot_time> last_poll_sent_at; // Of the newest look that was answered; none after one that was not.
    std::optional<boot_time> restarted_at;      // When its present life was first heard of; none: it is the first one.
    std::optional<boot_time> clock_read_at;     // When `clock` was received.
    milliseconds clock{0};
    milliseconds latest_deadline{0};     // The highest that was sent, on the executor's clock.
    std::uint64_t last_end_recorded = 0; // Ends up to here are in the store.
    std::uint64_t last_end_seen = 0;     // At least last_end_noted.
    resources used;                      // By members that are not resolved.
    failure_streak health;

    // Ends up to this number may be forgotten there. None while it may have been born anew unnoticed: a new life counts
    // its ends from 1, and would forget what nobody has seen.
    [[nodiscard]] std::uint64_t find_end_to_acknowledge() const
    {
        return this->last_poll_sent_at ? this->last_end_recorded : 0;
    }

    [[nodiscard]] resources free_capacity() const { return this->entry.capacity - this->used; }
};

class executor_registry {
public:
    explicit executor_registry(milliseconds max_lease, boot_time leading_since);

    // Returns true when a new life begins under a known id.
    bool update(const executor_entry& entry, boot_time now);
    void remove(std::string_view id, boot_time now);

    executor* find(std::string_view id);
    [[nodiscard]] const executor* find(std::string_view id) const;
    [[nodiscard]] std::map<std::string, executor, std::less<>>& all() { return this->executors; }
    [[nodiscard]] const std::map<std::string, executor, std::less<>>& all() const { return this->executors; }

    // The deadline for a lease that is as long as allowed, on the executor's clock. Also remembers it as sent.
    milliseconds extend_lease(executor& target, boot_time now);

    // When everything that runs there has certainly ended, if it is not reached any more.
    [[nodiscard]] boot_time find_lease_expiry(const executor& target) const;

    // Takes note of the executor's clock and of what it said.
    void apply_poll_report(executor& target, const poll_report& report, boot_time sent_at, boot_time now);

private:
    milliseconds max_lease;
    boot_time leading_since;
    std::map<std::string, executor, std::less<>> executors;
};

} // namespace wigeon
