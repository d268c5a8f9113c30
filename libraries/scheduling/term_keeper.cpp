// The term protocol's local decisions.

#include "scheduling/term_keeper.h"

namespace wigeon {

namespace {

// A standby claims only while the log answers: in an outage it cannot know whether the holder renewed.
constexpr milliseconds log_answer_limit{1000};

} // namespace

void term_keeper::note_log(const term_view& newest, steady_time last_answer, steady_time now)
{
    const bool has_progress = !this->is_started || newest.term != this->view.term ||
                              newest.renewal_offset != this->view.renewal_offset;
    if (has_progress)
        this->last_progress = now;
    // Silence in the time of an outage says nothing of the holder, so it does not count.
    if (last_answer - this->last_log_answer > log_answer_limit)
        this->last_progress = now;
    this->is_started = true;
    this->view = newest;
    this->last_log_answer = last_answer;
}

term_action term_keeper::decide(steady_time now) const
{
    if (!this->is_started || this->pending_since)
        return term_action::nothing;
    if (this->is_holder())
        return now - this->last_renewal >= this->options.renewal_interval ? term_action::renew : term_action::nothing;
    if (now - this->last_log_answer > log_answer_limit)
        return term_action::nothing;
    if (this->view.holder == 0)
        return term_action::claim;
    const bool is_silent = now - this->last_progress > this->options.term_timeout + this->options.claim_jitter;
    return is_silent ? term_action::claim : term_action::nothing;
}

void term_keeper::note_sent(steady_time now)
{
    this->pending_since = now;
    this->last_renewal = now;
}

void term_keeper::note_settled(bool is_in_force)
{
    if (is_in_force && this->pending_since)
        this->confirmed_at = *this->pending_since;
    this->pending_since.reset();
}

bool term_keeper::may_act(steady_time now) const
{
    return this->is_holder() && now - this->confirmed_at < this->options.confirm_limit;
}

bool term_keeper::may_renew_leases(steady_time now) const
{
    return this->is_holder() && now - this->confirmed_at < this->options.unconfirmed_limit;
}

} // namespace wigeon
