// When this node tries to lead: nobody has for a while, the leader resigned, or nobody ever did.

#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "node/leader.h"
#include "node/node_state.h"

namespace wigeon {

struct election_timeouts {
    milliseconds leader_timeout;    // Of a leader that is taken as gone.
    milliseconds resignation_delay; // After a leader resigned; spreads the claims of several nodes.
};

// Pure: whether the silence lasted long enough.
bool is_takeover_due(const node_state::leader_liveness& liveness, const election_timeouts& timeouts, boot_time now);

class leader_election : public std::enable_shared_from_this<leader_election> {
public:
    leader_election(boost::asio::io_context& loop, record_store& store, node_state& state, election_timeouts timeouts,
                    leader_identity identity);

    // `elected` is called with the term each time that a claim succeeds; resume() goes on afterwards.
    void start(std::function<void(std::uint64_t)> on_elected);
    void resume();
    void stop();

private:
    enum class claim_stage : std::uint8_t { idle, reading, appending };

    void schedule_check();
    void check();
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
    bool has_read_claims = false; // The topic was read to its end once.
    std::uint64_t claims_end = 0; // Of the topic of claims.
    std::optional<records::TermClaim> last_claim;
    std::uint64_t attempt = 0;
    bool is_attempt_unresolved = false; // An append without an answer may still be done.
};

} // namespace wigeon
