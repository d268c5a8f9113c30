// The duties of one wigeon-node, joined: callers, following the store, standing for the term, leading.

#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "net/http_listener.h"
#include "node/caller_service.h"
#include "node/candidacy.h"
#include "node/leader.h"
#include "node/node_connections.h"
#include "node/node_state.h"

namespace wigeon {

struct node_options {
    std::string caller_address;
    std::string ready_address;
    std::string metrics_address;
    listener_limits caller_limits;
    leader_options leading;
    caller_bounds callers;
    claim_patience patience;
    milliseconds stop_grace{0}; // Within it the process must have ended.
};

class node_process {
public:
    node_process(boost::asio::io_context& loop, const node_options& options, const node_connections& outside);
    ~node_process();

    node_process(const node_process&) = delete;
    node_process& operator=(const node_process&) = delete;

    // Serves until stop() has done its work.
    void start(http_listener::request_handler callers);

    // Hands over the term, leaves the balancer's rotation, answers what is under way, and ends the loop.
    void stop();

    [[nodiscard]] node_state& state() { return this->follower; }
    [[nodiscard]] caller_service& callers() { return *this->service; }

private:
    void lead(std::uint64_t term);
    [[nodiscard]] bool is_ready(boot_time now) const;
    void answer_ready(const reply_handler& reply) const;
    void wait_for_answers(boot_time last_moment);

    boost::asio::io_context& loop;
    node_options options;
    node_connections outside;
    node_state follower;
    std::shared_ptr<caller_service> service;
    std::shared_ptr<candidacy> candidate;
    std::shared_ptr<leader> chief; // While this node leads.
    std::unique_ptr<http_listener> caller_listener;
    std::unique_ptr<http_listener> ready_listener;
    std::unique_ptr<http_listener> metrics_listener;
    boost::asio::steady_timer stop_timer;
    bool is_stopping = false;
};

} // namespace wigeon
