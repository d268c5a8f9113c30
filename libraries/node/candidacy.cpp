// Claims of the term: read to the end, then append under the condition that nothing came in between.

#include "node/candidacy.h"

#include <utility>

#include "base/logging.h"
#include "base/metrics.h"
#include "jobs/job_keys.h"

namespace wigeon {

namespace {

// A fraction of the patience, so that it adds little to the time without a leader.
constexpr milliseconds consider_interval{100};

} // namespace

bool is_leader_gone(const node_state::leader_sign& sign, const claim_patience& patience, boot_time now)
{
    if (sign.has_resigned && now - sign.last_record >= patience.handover)
        return true;
    return sign.last_silence - sign.last_record >= patience.silence;
}

candidacy::candidacy(boost::asio::io_context& loop, record_store& claim_store, node_state& node,
                     claim_patience claim_limits, leader_identity own_identity)
    : timer(loop), store(claim_store), state(node), patience(claim_limits), identity(std::move(own_identity))
{
}

void candidacy::start(std::function<void(std::uint64_t)> elected_handler)
{
    this->elected = std::move(elected_handler);
    this->is_stopped = false;
    this->read_claims();
}

void candidacy::resume()
{
    this->state.note_claim(boot_clock::now());
    if (!this->is_stopped)
        this->wait();
}

void candidacy::stop()
{
    this->is_stopped = true;
    this->timer.cancel();
}

void candidacy::wait()
{
    this->timer.expires_after(consider_interval);
    this->timer.async_wait([self = this->shared_from_this()](const boost::system::error_code& reason) {
        if (!reason && !self->is_stopped)
            self->consider();
    });
}

void candidacy::consider()
{
    const bool is_first =
        this->is_claims_known && (!this->last_claim || this->last_claim->node() == this->identity.node);
    const bool is_wanted = this->state.is_complete() && (is_first || is_leader_gone(this->state.sign_of_leader(),
                                                                                    this->patience, boot_clock::now()));
    if (is_wanted || !this->is_claims_known || this->is_attempt_open)
        this->read_claims();
    else
        this->wait();
}

void candidacy::read_claims()
{
    this->store.read_plain(term_topic, this->known_end, [self = this->shared_from_this()](const read_result& result) {
        if (!self->is_stopped)
            self->take_claims(result);
    });
}

void candidacy::take_claims(const read_result& result)
{
    if (result.status == read_status::trimmed) {
        this->known_end = result.first;
        this->wait();
        return;
    }
    if (result.status == read_status::failed) {
        this->wait();
        return;
    }
    const bool was_known = this->is_claims_known;
    const bool has_news = !result.records.empty();
    for (const stored_record& record : result.records) {
        records::TermClaim claim;
        if (record.content.value && claim.ParseFromString(*record.content.value))
            this->last_claim = std::move(claim);
        this->known_end = record.offset + 1;
    }
    if (this->known_end < result.end) {
        this->read_claims();
        return;
    }
    this->is_claims_known = true;
    const bool is_own_attempt = this->is_attempt_open && this->last_claim &&
                                this->last_claim->incarnation() == this->identity.incarnation &&
                                this->last_claim->attempt() == this->attempt;
    if (is_own_attempt) {
        // The answer was lost, but nobody claimed since.
        this->is_attempt_open = false;
        this->elected(this->known_end - 1);
        return;
    }
    if (has_news && was_known) {
        this->is_attempt_open = false;
        this->state.note_claim(boot_clock::now());
        this->wait();
        return;
    }
    const bool is_first = !this->last_claim || this->last_claim->node() == this->identity.node;
    const bool is_gone = is_leader_gone(this->state.sign_of_leader(), this->patience, boot_clock::now());
    if (this->state.is_complete() && (is_first || is_gone))
        this->append_claim();
    else
        this->wait();
}

void candidacy::append_claim()
{
    records::TermClaim claim;
    claim.set_node(this->identity.node);
    claim.set_incarnation(this->identity.incarnation);
    claim.set_attempt(++this->attempt);
    append_condition condition;
    condition.expected_end = this->known_end;
    const node_state::leader_sign& sign = this->state.sign_of_leader();
    log_change("claiming_term", {{"expected_term", std::to_string(this->known_end)},
                                 {"silence_ms", std::to_string((sign.last_silence - sign.last_record).count())},
                                 {"resigned", sign.has_resigned ? "true" : "false"},
                                 {"last_leader", sign.beat.node()}});
    this->store.append_plain(term_topic, claim.SerializeAsString(), condition,
                             [self = this->shared_from_this()](const append_result& result) {
                                 if (!self->is_stopped)
                                     self->take_append(result);
                             });
}

void candidacy::take_append(const append_result& result)
{
    if (result.status == append_status::done) {
        this->is_attempt_open = false;
        this->known_end = result.offset + 1;
        records::TermClaim own;
        own.set_node(this->identity.node);
        this->last_claim = own;
        this->elected(result.offset);
        return;
    }
    if (result.status == append_status::condition_failed) {
        log_change("claim_lost", {{"end", std::to_string(result.end)}});
        this->state.note_claim(boot_clock::now());
        this->is_attempt_open = true; // The winner may be an attempt of ours that was answered late.
    }
    if (result.status == append_status::unknown)
        this->is_attempt_open = true;
    this->wait();
}

} // namespace wigeon
