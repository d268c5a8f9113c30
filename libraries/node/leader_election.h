// Claims the term for this node when the leader has timed out or resigned, when this node made the last claim and no
// longer leads, or when there was never a claim.

#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "node/leader_identity.h"
#include "node/node_state.h"

namespace wigeon {

struct election_timeouts {
    milliseconds leader_timeout;    // Time without a record of the leader after which it counts as lost.
    milliseconds resignation_delay; // Delay of a claim after a resignation; differs by node, which spreads the claims.
};

// Whether the leader resigned or went silent long enough ago. A resignation from a term before `newest_claimed_term`
// does not count: the successor has claimed and has not recorded anything yet. No I/O, no clock.
bool is_takeover_due(const node_state::leader_liveness& liveness, std::optional<std::uint64_t> newest_claimed_term,
                     const election_timeouts& timeouts, boot_time now);

class leader_election : public std::enable_shared_from_this<leader_election> {
public:
    leader_election(boost::asio::io_context& loop, record_store& store, node_state& state, election_timeouts timeouts,
                    leader_identity identity);

    // Calls `on_elected` with the term each time a claim succeeds. No further claim is made until resume().
    void start(std::function<void(std::uint64_t)> on_elected);
    void resume();
    void stop();

private:
    enum class claim_stage : std::uint8_t { idle, reading, appending };

    void schedule_check();
    void check();
    [[nodiscard]] bool may_claim_at_once() const;
    [[nodiscard]] bool is_leader_lost() const;
    void read_claims();
    void handle_claims(const read_result& result);
    void append_claim();
    void handle_append_result(const append_result& result);

    boost::asio::steady_timer timer;
    record_store& store;
    node_state& state;
    election_timeouts timeouts;
    leader_identity identity;
    std::function<void(std::uint64_t)> on_elected;
    bool is_stopped = true;
    bool has_read_claims = false; // The topic of claims has been read to its end once.
    std::uint64_t claims_end = 0; // Offset after the last claim that was read.
    std::optional<records::TermClaim> last_claim;
    std::uint64_t attempt = 0;
    bool is_attempt_unresolved = false; // An append without a definite answer may still take effect.
};

} // namespace wigeon
