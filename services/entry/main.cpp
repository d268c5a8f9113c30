// wigeon-entry: takes callers' requests and jobs on an entry host.

#include <cstdlib>
#include <iostream>

#include "base/error_kind.h"
#include "base/logging.h"
#include "base/metrics.h"
#include "base/network.h"
#include "base/settings.h"
#include "entry/caller_api.h"
#include "entry/request_service.h"
#include "membership/peer_gossip.h"
#include "platform/host_list.h"
#include "replica/replica.h"

namespace wigeon {

namespace {

constexpr milliseconds maintenance_interval{100};
constexpr milliseconds host_list_interval{1000};
constexpr std::size_t operator_threads = 4;

// Keeps the executor table in line with the configuration, the peers and the host list.
class entry_maintenance {
public:
    entry_maintenance(const EntrySettings& settings, replica& state, peer_gossip& gossip, admission& gate,
                      connection_pool& pool)
        : settings(settings), state(state), gossip(gossip), gate(gate), pool(pool)
    {
    }

    void start()
    {
        this->divider = std::thread([this] { this->run_shares(); });
        this->host_reader = std::thread([this] { this->run_host_list(); });
        this->prober = std::thread([this] { this->run_probes(); });
    }

    void stop()
    {
        this->stopping = true;
        this->divider.join();
        this->host_reader.join();
        this->prober.join();
    }

private:
    void run_shares()
    {
        while (!this->stopping) {
            const Configuration configuration =
                this->state.read([](const replicated_state& current) { return current.configuration(); });
            std::vector<entry_demand> entries{{this->state.incarnation(), this->gate.demand()}};
            for (const member& peer : this->gossip.list_live("entry"))
                entries.push_back({peer.beat.incarnation(), peer.beat.demand()});
            const std::size_t largest = this->gossip.largest_size("entry") + 1;
            const steady_time now = read_steady_clock();
            this->gate.update_table([&](executor_table& table) {
                table.configure(configuration);
                // Alone among several, this entry cannot tell a cut from the death of all the others.
                if (entries.size() == 1 && largest > 1)
                    table.divide_equally(largest, now);
                else
                    table.divide_slots(entries, this->state.incarnation(), now);
            });
            std::this_thread::sleep_for(maintenance_interval);
        }
    }

    void run_host_list()
    {
        const auto hosts = make_http_host_list(this->settings.host_list_address(), host_list_interval);
        while (!this->stopping) {
            if (const auto leaving = hosts->read_leaving())
                this->gate.update_table([&](executor_table& table) { table.note_leaving(*leaving); });
            else
                count_retry("host_list");
            std::this_thread::sleep_for(host_list_interval);
        }
    }

    void run_probes()
    {
        const milliseconds interval(this->settings.probe_interval_ms());
        while (!this->stopping) {
            this->pool.probe_idle(std::min(interval, milliseconds(this->settings.connect_timeout_ms())));
            std::this_thread::sleep_for(interval);
        }
    }

    const EntrySettings& settings;
    replica& state;
    peer_gossip& gossip;
    admission& gate;
    connection_pool& pool;
    std::atomic<bool> stopping = false;
    std::thread divider;
    std::thread host_reader;
    std::thread prober;
};

void run(const EntrySettings& settings)
{
    const CommonSettings& common = settings.common();
    replica state(
        {common.log_address(), milliseconds(common.log_timeout_ms()), milliseconds(common.append_window_ms())});
    peer_gossip gossip(common, "entry", state);
    admission gate(settings.account_queue_limit(),
                   executor_table(make_routing_policy(settings.routing_policy(), state.incarnation()), common.zone()));
    connection_pool pool(milliseconds(settings.connect_timeout_ms()));
    const auto is_alive = [&](std::uint64_t incarnation) {
        if (incarnation == state.incarnation())
            return true;
        for (const member& peer : gossip.list_live("entry")) {
            if (peer.beat.incarnation() == incarnation)
                return true;
        }
        return false;
    };
    request_service requests(settings, state, gate, pool, is_alive);
    std::atomic<bool> leaving = false;
    const auto is_ready = [&] { return state.is_ready() && gossip.is_current(); };
    http_server callers(settings.caller_threads());
    caller_api api(settings, state, requests, is_ready, [&callers] { return callers.is_crowded(); });

    gossip.start([&gate] { return gate.demand(); });
    state.start([&gossip](std::uint64_t offset) { return gossip.ask_state(offset); });
    entry_maintenance maintenance(settings, state, gossip, gate, pool);
    maintenance.start();

    http_server operators(operator_threads);
    add_health_routes(operators.routes(), [&] { return is_ready() && !leaving; });
    const int operator_port = operators.start(settings.operator_address());
    callers.routes().set_keep_alive_timeout(static_cast<time_t>(settings.keep_alive_s()));
    api.add_routes(callers.routes());
    const int caller_port = callers.start(settings.listen_address());
    log_change("started", {{"incarnation", format_incarnation(state.incarnation())},
                           {"caller_port", std::to_string(caller_port)},
                           {"operator_port", std::to_string(operator_port)}});

    wait_for_stop_signal();
    leaving = true;
    gossip.announce_leave();
    api.begin_shutdown();
    log_change("shutdown_begun", {{"in_flight", std::to_string(api.in_flight())}});
    std::this_thread::sleep_for(milliseconds(settings.balancer_lag_ms()));
    std::thread watchdog([&api, limit = std::chrono::seconds(settings.shutdown_limit_s())] {
        const steady_time end = read_steady_clock() + limit;
        while (api.in_flight() > 0 && read_steady_clock() < end)
            std::this_thread::sleep_for(maintenance_interval);
        if (api.in_flight() == 0)
            return;
        log_change("shutdown_cut", {{"in_flight", std::to_string(api.in_flight())}});
        std::_Exit(1);
    });
    callers.stop();
    watchdog.join();
    maintenance.stop();
    operators.stop();
    state.stop();
    gossip.stop();
    log_change("stopped", {});
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
        // All threads of ours have ended; what libraries do at a regular exit could only delay the end.
        std::_Exit(0);
    }
    catch (const std::exception& failure) {
        std::cerr << "wigeon-entry: " << failure.what() << '\n';
        return 1;
    }
}
