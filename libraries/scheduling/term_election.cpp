// Decisions of one scheduler in the term protocol.

#include "scheduling/term_election.h"

#include <algorithm>

namespace wigeon {

namespace {

constexpr int lease_per_write_latency = 3;

// A standby claims only while the log responds: in an outage it cannot know whether the holder renewed. If reads are
// usually slower than this, the threshold rises with them.
constexpr milliseconds min_outage_threshold{1000};
constexpr int outage_threshold_per_interval = 2;
constexpr milliseconds max_log_response_interval{10'000};

} // namespace

void term_election::record_log_state(const term_view& newest, steady_time last_response, steady_time now)
{
    const bool has_change =
        !this->has_view || newest.term != this->view.term || newest.renewal_offset != this->view.renewal_offset;
    if (has_change)
        this->last_change_read_at = now;
    // During an outage of the log, missing renewals say nothing about the holder, so that time does not count.
    const milliseconds interval = elapsed_ms(this->last_log_response_at, last_response);
    if (interval > this->find_outage_threshold())
        this->last_change_read_at = now;
    if (interval.count() > 0 && this->has_view)
        this->log_response_interval =
            std::min(std::max(interval, this->log_response_interval / 2), max_log_response_interval);
    this->has_view = true;
    this->view = newest;
    this->last_log_response_at = last_response;
}

milliseconds term_election::find_outage_threshold() const
{
    return std::max(min_outage_threshold, this->log_response_interval * outage_threshold_per_interval);
}

term_action term_election::decide(steady_time now) const
{
    if (!this->has_view || this->pending_since)
        return term_action::nothing;
    if (this->is_holder()) {
        const bool is_due = now - this->last_write_at >= this->options.renewal_interval;
        return is_due && !this->is_in_cooldown(now) ? term_action::renew : term_action::nothing;
    }
    if (now - this->last_log_response_at > this->find_outage_threshold())
        return term_action::nothing;
    if (this->view.holder == 0)
        return term_action::claim;
    const milliseconds claim_delay =
        this->options.claim_jitter + (this->is_in_cooldown(now) ? this->options.cooldown_claim_delay : milliseconds(0));
    // If reads are slow, the log may hold a renewal that only the next response returns; a claim before that would be
    // void.
    const milliseconds unread_allowance =
        this->log_response_interval > min_outage_threshold ? this->log_response_interval : milliseconds(0);
    // The holder's lease began before this scheduler read the newest renewal, so by this time it has expired.
    const bool is_lease_expired =
        now - this->last_change_read_at > add_clock_drift(this->view.lease) + claim_delay + unread_allowance;
    return is_lease_expired ? term_action::claim : term_action::nothing;
}

void term_election::step_down(steady_time now)
{
    this->cooldown_until = now + this->options.step_down_cooldown;
}

milliseconds term_election::choose_lease() const
{
    return std::clamp(this->write_latency * lease_per_write_latency, this->options.min_lease, this->options.max_lease);
}

void term_election::record_write_start(steady_time now)
{
    this->pending_since = now;
    this->pending_lease = this->choose_lease();
    this->last_write_at = now;
}

void term_election::record_write_result(bool is_in_force, steady_time now)
{
    if (this->pending_since)
        this->write_latency = std::max(elapsed_ms(*this->pending_since, now), this->write_latency / 2);
    if (is_in_force && this->pending_since) {
        this->confirmed_at = *this->pending_since;
        this->confirmed_lease = this->pending_lease;
    }
    this->pending_since.reset();
}

bool term_election::may_act(steady_time now) const
{
    return this->is_holder() && !this->is_in_cooldown(now) && now - this->confirmed_at < this->confirmed_lease;
}

bool term_election::may_renew_leases(steady_time now) const
{
    return this->is_holder() && !this->is_in_cooldown(now) &&
           now - this->confirmed_at < this->options.unconfirmed_limit;
}

} // namespace wigeon
