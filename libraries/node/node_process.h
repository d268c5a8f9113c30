// Connects the parts of a wigeon-node: the service for callers, the state read from the store, the election and the
// leader.

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
    caller_service_limits service_limits;
    election_timeouts election;
    follower_pace following;
    milliseconds shutdown_timeout{0}; // Time from stop() within which the process must have exited.
};

class node_process {
public:
    node_process(boost::asio::io_context& loop, const node_options& options, const external_services& external);
    ~node_process();

    node_process(const node_process&) = delete;
    node_process& operator=(const node_process&) = delete;

    // Starts all parts; the node serves until stop() has ended the loop.
    void start(http_listener::request_handler callers);

    // Resigns from leading, reports not ready so that the load balancer removes the node, answers the requests in
    // flight, and ends the loop.
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
    std::shared_ptr<leader> active_leader; // Set while this node leads.
    std::unique_ptr<http_listener> caller_listener;
    std::unique_ptr<http_listener> ready_listener;
    std::unique_ptr<http_listener> metrics_listener;
    boost::asio::steady_timer stop_timer;
    bool is_stopping = false;
};

} // namespace wigeon
