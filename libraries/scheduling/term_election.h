// Leader election through the log: decides when this scheduler claims the scheduling term, when it renews it, and
// whether it may act as its holder. Only records that were read back from the log count; the current time is an
// argument.

#pragma once

#include <cstdint>
#include <optional>

#include "base/time.h"

namespace wigeon {

struct term_options {
    milliseconds renewal_interval{400};
    milliseconds min_lease{1200};
    milliseconds max_lease{15'000};
    // How long after the start of its last confirmed write the holder may renew leases of tasks.
    milliseconds unconfirmed_limit{900'000};
    milliseconds claim_jitter{0};             // Added to the holder's lease, so that not all standbys claim at once.
    milliseconds step_down_cooldown{10'000};  // After stepping down; other schedulers claim first.
    milliseconds cooldown_claim_delay{3'000}; // Additional delay of a claim during the cooldown.
};

// The term as read from the log.
struct term_view {
    std::uint64_t term = 0;
    std::uint64_t holder = 0;
    std::uint64_t renewal_offset = 0;
    milliseconds lease{0};
};

enum class term_action : std::uint8_t { nothing, claim, renew };

class term_election {
public:
    term_election(std::uint64_t self, term_options options) : self(self), options(options) {}

    // Takes the newest state of the term, and when the last response of the log arrived.
    void record_log_state(const term_view& newest, steady_time last_response, steady_time now);

    [[nodiscard]] term_action decide(steady_time now) const;

    // Returns the lease for the next claim or renewal: several times the recent latency of a write, within limits.
    [[nodiscard]] milliseconds choose_lease() const;

    // A claim or renewal with choose_lease() is being written. `now` is read before it is sent.
    void record_write_start(steady_time now);

    // The pending claim or renewal was read back, or failed.
    void record_write_result(bool is_in_force, steady_time now);

    // Lets another scheduler take the term: this one neither acts on it nor renews it during the cooldown. It renews
    // the term afterwards if no other has claimed it.
    void step_down(steady_time now);

    [[nodiscard]] bool is_holder() const { return this->view.holder == this->self; }
    [[nodiscard]] std::uint64_t term() const { return this->view.term; }
    [[nodiscard]] const term_view& last_view() const { return this->view; }

    // True while the holder may start and stop tasks.
    [[nodiscard]] bool may_act(steady_time now) const;

    // True while the holder may renew the leases of running tasks.
    [[nodiscard]] bool may_renew_leases(steady_time now) const;

private:
    // If the log does not respond for longer than this, it counts as unavailable.
    [[nodiscard]] milliseconds find_outage_threshold() const;
    [[nodiscard]] bool is_in_cooldown(steady_time now) const { return now < this->cooldown_until; }

    const std::uint64_t self;
    const term_options options;
    term_view view;
    // When a change of the term or a renewal was last read, or an outage of the log ended.
    steady_time last_change_read_at{};
    steady_time last_log_response_at{};
    // Recent time between two responses of the log; each response at most halves it.
    milliseconds log_response_interval{0};
    std::optional<steady_time> pending_since; // Set while a claim or renewal is in flight.
    milliseconds pending_lease{0};
    steady_time confirmed_at{};      // Start of the newest write that was read back in force.
    milliseconds confirmed_lease{0}; // The lease in that write.
    milliseconds write_latency{0};   // Recent latency of a write; each write at most halves it.
    steady_time last_write_at{};
    steady_time cooldown_until{};
    bool has_view = false;
};

} // namespace wigeon
