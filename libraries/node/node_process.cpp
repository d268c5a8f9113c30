// Start, readiness and the orderly end of a node.

#include "node/node_process.h"

#include <utility>

#include <boost/asio/post.hpp>

#include "base/logging.h"
#include "base/metrics.h"

namespace wigeon {

namespace {

// A node that has not heard from the store for this long sends callers elsewhere: before their keys can't be checked.
constexpr milliseconds ready_limit{2'500};

// The balancer asks once a second and takes a node out after two misses.
constexpr milliseconds balancer_lag{2'600};

// Left between the last answer and the kill.
constexpr milliseconds stop_margin{400};

constexpr milliseconds stop_poll{50};

// Small requests of the balancer and of operators.
constexpr listener_limits operator_limits{8'192, 1'024, 32, milliseconds(30'000)};

constexpr int status_ok = 200;
constexpr int status_not_found = 404;
constexpr int status_unavailable = 503;

} // namespace

node_process::node_process(boost::asio::io_context& event_loop, const node_options& chosen,
                           const node_connections& connections)
    : loop(event_loop),
      options(chosen),
      outside(connections),
      follower(event_loop, connections.store, connections.topics, connections.decoder),
      service(std::make_shared<caller_service>(event_loop, connections.store, follower, chosen.callers)),
      candidate(std::make_shared<candidacy>(event_loop, connections.store, follower, chosen.patience,
                                            chosen.leading.identity)),
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
        [this](const incoming_request&, const reply_handler& reply) { this->answer_ready(reply); });
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
    this->follower.start();
    this->candidate->start([this](std::uint64_t term) { this->lead(term); });
}

void node_process::lead(std::uint64_t term)
{
    if (this->is_stopping)
        return;
    this->chief = std::make_shared<leader>(this->loop, this->outside, this->follower, this->options.leading, term);
    log_change("term_claimed", {{"term", std::to_string(term)}});
    this->chief->start([this](leadership_end end) {
        static_cast<void>(end);
        // The leader calls this last; it must outlive the call.
        boost::asio::post(this->loop, [this, ended = std::move(this->chief)] { this->candidate->resume(); });
    });
}

bool node_process::is_ready(boot_time now) const
{
    if (this->is_stopping || !this->follower.is_complete())
        return false;
    const auto proven = this->follower.policy_proven_at();
    return proven && now - *proven <= ready_limit;
}

void node_process::answer_ready(const reply_handler& reply) const
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
    log_change("stop_begun", {{"in_flight", std::to_string(this->caller_listener->in_flight())},
                              {"leading", this->chief ? "true" : "false"}});
    this->candidate->stop();
    if (this->chief)
        this->chief->resign();
    this->stop_timer.expires_after(balancer_lag);
    this->stop_timer.async_wait(
        [this, last = now + this->options.stop_grace - stop_margin](const boost::system::error_code& reason) {
            if (reason)
                return;
            this->caller_listener->stop();
            this->wait_for_answers(last);
        });
}

void node_process::wait_for_answers(boot_time last_moment)
{
    const std::size_t open = this->caller_listener->in_flight();
    if (open == 0 || boot_clock::now() >= last_moment) {
        log_change("stopped", {{"unanswered", std::to_string(open)}});
        this->loop.stop();
        return;
    }
    this->stop_timer.expires_after(stop_poll);
    this->stop_timer.async_wait([this, last_moment](const boost::system::error_code& reason) {
        if (!reason)
            this->wait_for_answers(last_moment);
    });
}

} // namespace wigeon
