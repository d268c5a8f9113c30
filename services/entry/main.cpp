// wigeon-entry: accepts callers' requests and jobs on an entry host.

#include <cstdlib>
#include <iostream>

#include "base/error_kind.h"
#include "base/logging.h"
#include "base/metrics.h"
#include "base/network.h"
#include "base/settings.h"
#include "entry/caller_api.h"
#include "entry/entry_maintenance.h"
#include "entry/request_service.h"
#include "membership/demand_level.h"
#include "membership/peer_gossip.h"
#include "replica/replica.h"

namespace wigeon {

namespace {

constexpr milliseconds shutdown_poll_interval{100};
constexpr std::size_t operator_threads = 4;

void run(const EntrySettings& settings)
{
    const CommonSettings& common = settings.common();
    replica state({common.log_address(), milliseconds(common.log_timeout_ms()), milliseconds(common.append_window_ms()),
                   milliseconds(settings.log_pause_ms())});
    peer_gossip gossip(common, "entry", state);
    admission admission_control(
        settings.account_queue_limit(),
        executor_table(make_routing_policy(settings.routing_policy(), state.incarnation()), common.zone()));
    connection_pool pool(milliseconds(settings.connect_timeout_ms()));
    const auto is_alive = [&](std::uint64_t incarnation) {
        if (incarnation == state.incarnation())
            return true;
        for (const member& peer : gossip.list_live("entry")) {
            if (peer.heartbeat.incarnation() == incarnation)
                return true;
        }
        return false;
    };
    request_service requests(settings, state, admission_control, pool, is_alive);
    std::atomic<bool> is_leaving = false;
    const auto is_ready = [&] { return state.is_ready() && gossip.is_configuration_current(); };
    client_limits caller_limits;
    caller_limits.body_bytes = settings.body_limit_bytes();
    caller_limits.held_bytes = std::max(caller_limits.held_bytes, caller_limits.body_bytes * 4);
    http_server caller_server(settings.caller_threads(), caller_limits);
    caller_api api(settings, state, requests, is_ready,
                   [&caller_server] { return caller_server.should_close_idle_connections(); });

    demand_level demand;
    gossip.start([&admission_control, &demand] { return demand.update(admission_control.demand()); });
    state.start([&gossip](std::uint64_t offset) { return gossip.fetch_newest_state(offset); });
    entry_maintenance maintenance(settings, state, gossip, demand, admission_control, pool);
    maintenance.start();

    http_server operator_server(operator_threads);
    add_health_routes(operator_server.routes(), [&] { return is_ready() && !is_leaving; });
    const int operator_port = operator_server.start(settings.operator_address());
    caller_server.routes().set_keep_alive_timeout(static_cast<time_t>(settings.keep_alive_s()));
    api.add_routes(caller_server.routes());
    const int caller_port = caller_server.start(settings.listen_address());
    log_event("started", {{"incarnation", format_incarnation(state.incarnation())},
                          {"caller_port", std::to_string(caller_port)},
                          {"operator_port", std::to_string(operator_port)}});

    wait_for_stop_signal();
    is_leaving = true;
    gossip.announce_leave();
    api.begin_shutdown();
    log_event("shutdown_begun", {{"in_flight", std::to_string(api.in_flight())}});
    std::this_thread::sleep_for(milliseconds(settings.balancer_lag_ms()));
    std::thread watchdog([&api, limit = std::chrono::seconds(settings.shutdown_limit_s())] {
        const steady_time end = read_steady_clock() + limit;
        while (api.in_flight() > 0 && read_steady_clock() < end)
            std::this_thread::sleep_for(shutdown_poll_interval);
        if (api.in_flight() == 0)
            return;
        log_event("shutdown_timed_out", {{"in_flight", std::to_string(api.in_flight())}});
        std::_Exit(1);
    });
    caller_server.stop();
    watchdog.join();
    maintenance.stop();
    operator_server.stop();
    state.stop();
    gossip.stop();
    log_event("stopped", {});
}

} // namespace

} // namespace wigeon

int main(int argc, char** argv)
{
    wigeon::block_stop_signals();
    wigeon::EntrySettings settings;
    wigeon::load_settings("wigeon-entry: takes callers' requests and jobs", settings, argc, argv);
    wigeon::start_logging("wigeon-entry", settings.common().log_format());
    try {
        wigeon::run(settings);
        // All threads of this program have ended; the exit handlers of libraries could only delay the exit.
        std::_Exit(0);
    }
    catch (const std::exception& failure) {
        std::cerr << "wigeon-entry: " << failure.what() << '\n';
        return 1;
    }
}
