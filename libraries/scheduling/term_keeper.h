// Decides when this scheduler claims the scheduling term, when it renews it, and whether it may act on it.
// Only what was read back from the log counts; the present time is an argument.

#pragma once

#include <cstdint>
#include <optional>

#include "base/time.h"

namespace wigeon {

struct term_options {
    milliseconds renewal_interval{400};
    milliseconds shortest_lease{1200};
    milliseconds longest_lease{15'000};
    milliseconds unconfirmed_limit{900'000};
    milliseconds claim_jitter{0};   // Added to the lease, so that not all standbys claim at once.
    milliseconds rest{10'000};      // After stepping down, for which others go first.
    milliseconds rest_delay{3'000}; // By which a resting standby claims later than others would.
};

// What the log says of the term.
struct term_view {
    std::uint64_t term = 0;
    std::uint64_t holder = 0;
    std::uint64_t renewal_offset = 0;
    milliseconds lease{0};
};

enum class term_action : std::uint8_t { nothing, claim, renew };

class term_keeper {
public:
    term_keeper(std::uint64_t self, term_options options) : self(self), options(options) {}

    // Tells the newest state of the log and when the log service last answered.
    void note_log(const term_view& view, steady_time last_answer, steady_time now);

    [[nodiscard]] term_action decide(steady_time now) const;

    // The lease for the next claim or renewal: several times what the log took for the last one.
    [[nodiscard]] milliseconds choose_lease() const;

    // A claim or renewal with choose_lease() is being written. `now` is read before it is sent.
    void note_sent(steady_time now);

    // The pending claim or renewal was read back, or failed.
    void note_settled(bool is_in_force, steady_time now);

    // Gives way to another scheduler: the term is not renewed until the rest is over, unless another took it.
    void step_down(steady_time now);

    [[nodiscard]] bool is_holder() const { return this->view.holder == this->self; }
    [[nodiscard]] std::uint64_t term() const { return this->view.term; }
    [[nodiscard]] const term_view& known() const { return this->view; }

    // True while the holder may start and stop tasks.
    [[nodiscard]] bool may_act(steady_time now) const;

    // True while the holder may renew the leases of running tasks.
    [[nodiscard]] bool may_renew_leases(steady_time now) const;

private:
    // Silence of the log beyond this is an outage.
    [[nodiscard]] milliseconds find_answer_limit() const;
    [[nodiscard]] bool is_resting(steady_time now) const { return now < this->rests_until; }

    const std::uint64_t self;
    const term_options options;
    term_view view;
    steady_time last_progress{}; // When a change of the term or a renewal was last read.
    steady_time last_log_answer{};
    milliseconds answer_gap{0};               // Recent time between two answers of the log; falls quickly.
    std::optional<steady_time> pending_since; // Set while a claim or renewal is on its way.
    milliseconds pending_lease{0};
    steady_time confirmed_at{};      // Start of the newest write that was read back in force.
    milliseconds confirmed_lease{0}; // The lease in that write.
    milliseconds write_time{0};      // Recent time of a write; falls slowly.
    steady_time last_renewal{};
    steady_time rests_until{};
    bool is_started = false;
};

} // namespace wigeon
