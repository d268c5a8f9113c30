// Claims the term: reads the topic of claims to its end, then appends a claim on the condition that this is still its
// end.

#include "node/leader_election.h"

#include <utility>

#include "base/logging.h"
#include "base/metrics.h"
#include "jobs/job_keys.h"

namespace wigeon {

namespace {

// Interval of the checks; a fraction of the leader timeout, so that it adds little to the time without a leader.
constexpr milliseconds check_interval{100};

} // namespace

bool is_takeover_due(const node_state::leader_liveness& liveness, std::optional<std::uint64_t> newest_claimed_term,
                     const election_timeouts& timeouts, boot_time now)
{
    const bool has_successor = newest_claimed_term && liveness.heartbeat.term() < *newest_claimed_term;
    if (liveness.has_resigned && !has_successor && now - liveness.last_heard >= timeouts.resignation_delay)
        return true;
    return liveness.observed_until - liveness.last_heard >= timeouts.leader_timeout;
}

leader_election::leader_election(boost::asio::io_context& loop, record_store& backing_store, node_state& shared_state,
                                 election_timeouts given_timeouts, leader_identity own_identity)
    : timer(loop),
      store(backing_store),
      state(shared_state),
      timeouts(given_timeouts),
      identity(std::move(own_identity))
{
}

void leader_election::start(std::function<void(std::uint64_t)> elected_handler)
{
    this->on_elected = std::move(elected_handler);
    this->is_stopped = false;
    this->read_claims();
}

void leader_election::resume()
{
    this->state.restart_leader_timeout(boot_clock::now());
    if (!this->is_stopped)
        this->schedule_check();
}

void leader_election::stop()
{
    this->is_stopped = true;
    this->timer.cancel();
}

void leader_election::schedule_check()
{
    this->timer.expires_after(check_interval);
    this->timer.async_wait([self = this->shared_from_this()](const boost::system::error_code& reason) {
        if (!reason && !self->is_stopped)
            self->check();
    });
}

void leader_election::check()
{
    const bool is_claim_due = this->state.is_loaded() && (this->may_claim_at_once() || this->is_leader_lost());
    if (is_claim_due || !this->has_read_claims || this->is_attempt_unresolved)
        this->read_claims();
    else
        this->schedule_check();
}

bool leader_election::is_leader_lost() const
{
    const auto newest_claimed_term = this->claims_end > 0 ? std::optional(this->claims_end - 1) : std::nullopt;
    return is_takeover_due(this->state.observed_leader(), newest_claimed_term, this->timeouts, boot_clock::now());
}

// Whether no other node can lead: there was no claim yet, or this node made the last one. A topic whose claims have all
// expired says nothing of who leads.
bool leader_election::may_claim_at_once() const
{
    if (!this->has_read_claims)
        return false;
    return this->last_claim ? this->last_claim->node() == this->identity.node : this->claims_end == 0;
}

void leader_election::read_claims()
{
    this->store.read_unkeyed(term_topic, this->claims_end,
                             [self = this->shared_from_this()](const read_result& result) {
                                 if (!self->is_stopped)
                                     self->handle_claims(result);
                             });
}

void leader_election::handle_claims(const read_result& result)
{
    if (result.status == read_status::trimmed) {
        this->claims_end = result.first_offset;
        this->schedule_check();
        return;
    }
    if (result.status == read_status::failed) {
        this->schedule_check();
        return;
    }
    const bool had_read_claims = this->has_read_claims;
    const bool has_new_claims = !result.records.empty();
    for (const stored_record& record : result.records) {
        records::TermClaim claim;
        if (record.content.value && claim.ParseFromString(*record.content.value))
            this->last_claim = std::move(claim);
        this->claims_end = record.offset + 1;
    }
    if (this->claims_end < result.end) {
        this->read_claims();
        return;
    }
    this->has_read_claims = true;
    const bool is_own_attempt = this->is_attempt_unresolved && this->last_claim &&
                                this->last_claim->incarnation() == this->identity.incarnation &&
                                this->last_claim->attempt() == this->attempt;
    if (is_own_attempt) {
        // The answer was lost, but the claim is stored and no other has followed it.
        this->is_attempt_unresolved = false;
        this->on_elected(this->claims_end - 1);
        return;
    }
    if (has_new_claims && had_read_claims) {
        this->is_attempt_unresolved = false;
        this->state.restart_leader_timeout(boot_clock::now());
        this->schedule_check();
        return;
    }
    if (this->state.is_loaded() && (this->may_claim_at_once() || this->is_leader_lost()))
        this->append_claim();
    else
        this->schedule_check();
}

void leader_election::append_claim()
{
    records::TermClaim claim;
    claim.set_node(this->identity.node);
    claim.set_incarnation(this->identity.incarnation);
    claim.set_attempt(++this->attempt);
    append_condition condition;
    condition.expected_end = this->claims_end;
    const node_state::leader_liveness& liveness = this->state.observed_leader();
    log_event("claiming_term", {{"expected_term", std::to_string(this->claims_end)},
                                {"silence_ms", std::to_string((liveness.observed_until - liveness.last_heard).count())},
                                {"resigned", liveness.has_resigned ? "true" : "false"},
                                {"last_leader", liveness.heartbeat.node()}});
    this->store.append_unkeyed(term_topic, claim.SerializeAsString(), condition,
                               [self = this->shared_from_this()](const append_result& result) {
                                   if (!self->is_stopped)
                                       self->handle_append_result(result);
                               });
}

void leader_election::handle_append_result(const append_result& result)
{
    if (result.status == append_status::done) {
        this->is_attempt_unresolved = false;
        this->claims_end = result.offset + 1;
        records::TermClaim own_claim;
        own_claim.set_node(this->identity.node);
        this->last_claim = own_claim;
        this->on_elected(result.offset);
        return;
    }
    if (result.status == append_status::condition_failed) {
        log_event("claim_lost", {{"end", std::to_string(result.end)}});
        this->state.restart_leader_timeout(boot_clock::now());
        // Makes the next check read the claims: the one that won may be an earlier attempt of this process that took
        // effect late.
        this->is_attempt_unresolved = true;
    }
    if (result.status == append_status::unknown)
        this->is_attempt_unresolved = true;
    this->schedule_check();
}

} // namespace wigeon
