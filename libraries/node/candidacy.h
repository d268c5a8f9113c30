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

struct claim_patience {
    milliseconds silence;  // Of a leader that is taken as gone.
    milliseconds handover; // After a leader resigned; spreads the claims of several nodes.
};

// Pure: whether the silence lasted long enough.
bool is_leader_gone(const node_state::leader_sign& sign, const claim_patience& patience, boot_time now);

class candidacy : public std::enable_shared_from_this<candidacy> {
public:
    candidacy(boost::asio::io_context& loop, record_store& store, node_state& state, claim_patience patience,
              leader_identity identity);

    // `elected` is called with the term each time that a claim succeeds; resume() goes on afterwards.
    void start(std::function<void(std::uint64_t)> elected);
    void resume();
    void stop();

private:
    enum class claim_stage : std::uint8_t { idle, reading, appending };

    void wait();
    void consider();
    void read_claims();
    void take_claims(const read_result& result);
    void append_claim();
    void take_append(const append_result& result);

    boost::asio::steady_timer timer;
    record_store& store;
    node_state& state;
    claim_patience patience;
    leader_identity identity;
    std::function<void(std::uint64_t)> elected;
    bool is_stopped = true;
    bool is_claims_known = false; // The topic was read to its end once.
    std::uint64_t known_end = 0;  // Of the topic of claims.
    std::optional<records::TermClaim> last_claim;
    std::uint64_t attempt = 0;
    bool is_attempt_open = false; // An append without an answer may still be done.
};

} // namespace wigeon
