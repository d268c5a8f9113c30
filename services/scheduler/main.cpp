// wigeon-scheduler: places jobs on workers while it holds the scheduling term; otherwise it is a standby.

#include <cstdlib>
#include <iostream>

#include "base/error_kind.h"
#include "base/logging.h"
#include "base/network.h"
#include "base/settings.h"
#include "membership/peer_gossip.h"
#include "replica/replica.h"
#include "scheduling/operator_api.h"
#include "scheduling/scheduler_loop.h"

namespace wigeon {

namespace {

constexpr std::size_t operator_threads = 4;
// Added to the timeout of the worker call for the round trip to the standby.
constexpr milliseconds renewal_margin{200};
// Leases of tasks must outlast a takeover, during which no scheduler holds the term. A takeover lasts for the lease of
// the term and, within this margin, the standbys' claim jitter and a first call to the workers.
constexpr std::uint32_t min_lease_margin_ms = 500;

void run(const SchedulerSettings& settings)
{
    const CommonSettings& common = settings.common();
    replica state(
        {common.log_address(), milliseconds(common.log_timeout_ms()), milliseconds(common.append_window_ms())});
    peer_gossip gossip(common, "scheduler", state);
    const milliseconds call_timeout(settings.worker_timeout_ms());
    const auto list_standbys = [&gossip] {
        std::vector<standby_scheduler> standbys;
        for (const member& peer : gossip.list_live("scheduler"))
            standbys.push_back({peer.heartbeat.incarnation(), peer.heartbeat.address()});
        return standbys;
    };
    const auto call_standby = [&gossip, call_timeout](const std::string& peer, const RenewalQuestion& request) {
        return gossip.request_renewal(peer, request, call_timeout + renewal_margin);
    };
    scheduler_loop loop(settings, settings.operator_address(), state, list_standbys, call_standby);
    renewal_server renewals(
        state, [&] { return make_http_worker_client(call_timeout, settings.worker_source_address()); }, call_timeout);
    gossip.set_renewal_handler([&renewals](const RenewalQuestion& request) { return renewals.renew(request); });
    operator_api api(state, loop, gossip);

    http_server operator_server(operator_threads);
    add_health_routes(operator_server.routes(), [&] { return state.is_ready() && gossip.is_configuration_current(); });
    api.add_routes(operator_server.routes());
    const int operator_port = operator_server.start(settings.operator_address());
    gossip.start([] { return 0U; });
    state.start([&gossip](std::uint64_t offset) { return gossip.fetch_newest_state(offset); });
    loop.start();
    log_event("started", {{"incarnation", format_incarnation(state.incarnation())},
                          {"operator_port", std::to_string(operator_port)}});

    wait_for_stop_signal();
    log_event("shutdown_begun", {});
    gossip.announce_leave();
    loop.stop();
    operator_server.stop();
    state.stop();
    gossip.stop();
    renewals.stop();
    log_event("stopped", {});
}

} // namespace

} // namespace wigeon

int main(int argc, char** argv)
{
    wigeon::block_stop_signals();
    wigeon::SchedulerSettings settings;
    wigeon::load_settings("wigeon-scheduler: places jobs on workers", settings, argc, argv);
    wigeon::start_logging("wigeon-scheduler", settings.common().log_format());
    if (settings.lease_ms() < settings.term_lease_ms() + wigeon::min_lease_margin_ms) {
        std::cerr << "flag --lease_ms: '" << settings.lease_ms()
                  << "' is not in the allowed range from term_lease_ms + " << wigeon::min_lease_margin_ms << " ms\n";
        return wigeon::usage_exit_code;
    }
    try {
        wigeon::run(settings);
        // All threads of this program have ended; the exit handlers of libraries could only delay the exit.
        std::_Exit(0);
    }
    catch (const std::exception& failure) {
        std::cerr << "wigeon-scheduler: " << failure.what() << '\n';
        return 1;
    }
}
