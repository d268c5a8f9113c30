// Start, readiness and graceful shutdown of a node.

#include "node/node_process.h"

#include <utility>

#include <boost/asio/post.hpp>

#include "base/logging.h"
#include "base/metrics.h"

namespace wigeon {

namespace {

// A node reports not ready when its configuration was last confirmed longer ago than this, so that the load balancer
// sends callers elsewhere before their keys can't be checked.
constexpr milliseconds max_ready_policy_age{2'500};

// The load balancer probes once a second and removes a node after two failed probes.
constexpr milliseconds balancer_removal_delay{2'600};

// Left between the last answer and the end of the shutdown timeout, when the process is killed.
constexpr milliseconds shutdown_margin{400};

constexpr milliseconds drain_poll_interval{50};

// For the small requests of the load balancer and of operators.
constexpr listener_limits operator_limits{8'192, 1'024, 32, milliseconds(30'000)};

constexpr int status_ok = 200;
constexpr int status_not_found = 404;
constexpr int status_unavailable = 503;

} // namespace

node_process::node_process(boost::asio::io_context& event_loop, const node_options& given_options,
                           const external_services& external)
    : loop(event_loop),
      options(given_options),
      services(external),
      current_state(event_loop, external.store, external.topics, external.decoder, given_options.following),
      service(
          std::make_shared<caller_service>(event_loop, external.store, current_state, given_options.service_limits)),
      election(std::make_shared<leader_election>(event_loop, external.store, current_state, given_options.election,
                                                 given_options.leading.identity)),
      stop_timer(event_loop)
{
}

node_process::~node_process() = default;

void node_process::start(http_listener::request_handler callers)
{
    this->caller_listener =
        std::make_unique<http_listener>(this->loop, this->options.caller_limits, std::move(callers));
    this->ready_listener = std::make_unique<http_listener>(
        this->loop, operator_limits,
        [this](const incoming_request&, const reply_handler& reply) { this->answer_readiness(reply); });
    this->metrics_listener = std::make_unique<http_listener>(
        this->loop, operator_limits, [](const incoming_request& request, const reply_handler& reply) {
            if (request.target == "/metrics")
                reply({status_ok, process_metrics().format(), 0});
            else
                reply({status_not_found, "{}", 0});
        });
    this->caller_listener->start(this->options.caller_address);
    this->ready_listener->start(this->options.ready_address);
    this->metrics_listener->start(this->options.metrics_address);
    this->current_state.start();
    this->election->start([this](std::uint64_t term) { this->lead(term); });
}

void node_process::lead(std::uint64_t term)
{
    if (this->is_stopping)
        return;
    this->active_leader =
        std::make_shared<leader>(this->loop, this->services, this->current_state, this->options.leading, term);
    log_event("term_claimed", {{"term", std::to_string(term)}});
    this->active_leader->start([this](leadership_end end) {
        static_cast<void>(end);
        // The leader calls this handler from its own code, so it is destroyed only after the call has returned.
        boost::asio::post(this->loop, [this, ended = std::move(this->active_leader)] { this->election->resume(); });
    });
}

bool node_process::is_ready(boot_time now) const
{
    if (this->is_stopping || !this->current_state.is_loaded())
        return false;
    const auto as_of = this->current_state.policy_current_as_of();
    return as_of && now - *as_of <= max_ready_policy_age;
}

void node_process::answer_readiness(const reply_handler& reply) const
{
    if (this->is_ready(boot_clock::now()))
        reply({status_ok, "{\"ready\":true}", 0});
    else
        reply({status_unavailable, "{\"ready\":false}", 0});
}

void node_process::stop()
{
    if (std::exchange(this->is_stopping, true))
        return;
    const boot_time now = boot_clock::now();
    log_event("stop_begun", {{"in_flight", std::to_string(this->caller_listener->in_flight())},
                             {"leading", this->active_leader ? "true" : "false"}});
    this->election->stop();
    if (this->active_leader)
        this->active_leader->resign();
    this->stop_timer.expires_after(balancer_removal_delay);
    this->stop_timer.async_wait([this, deadline = now + this->options.shutdown_timeout -
                                                  shutdown_margin](const boost::system::error_code& reason) {
        if (reason)
            return;
        this->caller_listener->stop();
        this->drain_requests(deadline);
    });
}

void node_process::drain_requests(boot_time deadline)
{
    const std::size_t unanswered = this->caller_listener->in_flight();
    if (unanswered == 0 || boot_clock::now() >= deadline) {
        log_event("stopped", {{"unanswered", std::to_string(unanswered)}});
        this->loop.stop();
        return;
    }
    this->stop_timer.expires_after(drain_poll_interval);
    this->stop_timer.async_wait([this, deadline](const boost::system::error_code& reason) {
        if (!reason)
            this->drain_requests(deadline);
    });
}

} // namespace wigeon
