// The term protocol's local decisions.

#include "scheduling/term_keeper.h"

#include <algorithm>

namespace wigeon {

namespace {

constexpr int lease_per_write_time = 3;

// A standby claims only while the log answers: in an outage it cannot know whether the holder renewed. Reads that are
// usually slower than this are waited for.
constexpr milliseconds shortest_answer_limit{1000};
constexpr int answer_limit_per_gap = 2;
constexpr milliseconds longest_gap{10'000};

} // namespace

void term_keeper::note_log(const term_view& newest, steady_time last_answer, steady_time now)
{
    const bool has_progress =
        !this->is_started || newest.term != this->view.term || newest.renewal_offset != this->view.renewal_offset;
    if (has_progress)
        this->last_progress = now;
    // Silence in the time of an outage says nothing of the holder, so it does not count.
    const milliseconds gap = elapsed_ms(this->last_log_answer, last_answer);
    if (gap > this->find_answer_limit())
        this->last_progress = now;
    if (gap.count() > 0 && this->is_started)
        this->answer_gap = std::min(std::max(gap, this->answer_gap / 2), longest_gap);
    this->is_started = true;
    this->view = newest;
    this->last_log_answer = last_answer;
}

milliseconds term_keeper::find_answer_limit() const
{
    return std::max(shortest_answer_limit, this->answer_gap * answer_limit_per_gap);
}

term_action term_keeper::decide(steady_time now) const
{
    if (!this->is_started || this->pending_since)
        return term_action::nothing;
    if (this->is_holder()) {
        const bool is_due = now - this->last_renewal >= this->options.renewal_interval;
        return is_due && !this->is_resting(now) ? term_action::renew : term_action::nothing;
    }
    if (now - this->last_log_answer > this->find_answer_limit())
        return term_action::nothing;
    if (this->view.holder == 0)
        return term_action::claim;
    // The holder's lease began before its renewal was read here, so it has ended when the claim is written.
    const milliseconds delay =
        this->options.claim_jitter + (this->is_resting(now) ? this->options.rest_delay : milliseconds(0));
    // On slow reads a renewal may be in the log that the next answer brings; a claim before it would be void.
    const milliseconds unread = this->answer_gap > shortest_answer_limit ? this->answer_gap : milliseconds(0);
    const bool is_silent = now - this->last_progress > outlast(this->view.lease) + delay + unread;
    return is_silent ? term_action::claim : term_action::nothing;
}

void term_keeper::step_down(steady_time now)
{
    this->rests_until = now + this->options.rest;
}

milliseconds term_keeper::choose_lease() const
{
    return std::clamp(this->write_time * lease_per_write_time, this->options.shortest_lease,
                      this->options.longest_lease);
}

void term_keeper::note_sent(steady_time now)
{
    this->pending_since = now;
    this->pending_lease = this->choose_lease();
    this->last_renewal = now;
}

void term_keeper::note_settled(bool is_in_force, steady_time now)
{
    if (this->pending_since)
        this->write_time = std::max(elapsed_ms(*this->pending_since, now), this->write_time / 2);
    if (is_in_force && this->pending_since) {
        this->confirmed_at = *this->pending_since;
        this->confirmed_lease = this->pending_lease;
    }
    this->pending_since.reset();
}

bool term_keeper::may_act(steady_time now) const
{
    return this->is_holder() && !this->is_resting(now) && now - this->confirmed_at < this->confirmed_lease;
}

bool term_keeper::may_renew_leases(steady_time now) const
{
    return this->is_holder() && !this->is_resting(now) && now - this->confirmed_at < this->options.unconfirmed_limit;
}

} // namespace wigeon
