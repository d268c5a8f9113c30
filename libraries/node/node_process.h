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
#include "node/external_services.h"
#include "node/leader.h"
#include "node/leader_election.h"
#include "node/node_state.h"

namespace wigeon {

struct node_options {
    std::string caller_address;
    std::string ready_address;
    std::string metrics_address;
    listener_limits caller_limits;
    leader_options leading;
    caller_bounds callers;
    election_timeouts election;
    milliseconds shutdown_timeout{0}; // Within it the process must have ended.
};

class node_process {
public:
    node_process(boost::asio::io_context& loop, const node_options& options, const external_services& external);
    ~node_process();

    node_process(const node_process&) = delete;
    node_process& operator=(const node_process&) = delete;

    // Serves until stop() has done its work.
    void start(http_listener::request_handler callers);

    // Hands over the term, leaves the balancer's rotation, answers what is under way, and ends the loop.
    void stop();

    [[nodiscard]] node_state& state() { return this->current_state; }
    [[nodiscard]] caller_service& callers() { return *this->service; }

private:
    void lead(std::uint64_t term);
    [[nodiscard]] bool is_ready(boot_time now) const;
    void answer_readiness(const reply_handler& reply) const;
    void drain_requests(boot_time deadline);

    boost::asio::io_context& loop;
    node_options options;
    external_services services;
    node_state current_state;
    std::shared_ptr<caller_service> service;
    std::shared_ptr<leader_election> election;
    std::shared_ptr<leader> active_leader; // While this node leads.
    std::unique_ptr<http_listener> caller_listener;
    std::unique_ptr<http_listener> ready_listener;
    std::unique_ptr<http_listener> metrics_listener;
    boost::asio::steady_timer stop_timer;
    bool is_stopping = false;
};

} // namespace wigeon
