// Runs one thread each for the slot shares, the host list and the connection probes.

#include "entry/entry_maintenance.h"

#include <algorithm>

#include "base/metrics.h"
#include "outside/host_list.h"

namespace wigeon {

namespace {

constexpr milliseconds share_interval{100};
constexpr milliseconds host_list_interval{2000};
constexpr milliseconds host_list_timeout{1000};

} // namespace

entry_maintenance::entry_maintenance(const EntrySettings& settings, replica& state, peer_gossip& gossip,
                                     const demand_level& demand, admission& admission_control, connection_pool& pool)
    : settings(settings), state(state), gossip(gossip), demand(demand), admission_control(admission_control), pool(pool)
{
}

void entry_maintenance::start()
{
    this->share_thread = std::thread([this] { this->run_share_updates(); });
    this->host_list_thread = std::thread([this] { this->run_host_list_updates(); });
    this->probe_thread = std::thread([this] { this->run_probes(); });
}

void entry_maintenance::stop()
{
    this->stopping = true;
    this->share_thread.join();
    this->host_list_thread.join();
    this->probe_thread.join();
}

void entry_maintenance::run_share_updates()
{
    while (!this->stopping) {
        const Configuration configuration =
            this->state.read([](const replicated_state& current) { return current.configuration(); });
        std::vector<entry_demand> entries{{this->state.incarnation(), this->demand.read()}};
        for (const member& peer : this->gossip.list_live("entry"))
            entries.push_back({peer.heartbeat.incarnation(), peer.heartbeat.demand()});
        const std::size_t peak_entry_count = this->gossip.peak_live_count("entry") + 1;
        const steady_time now = read_steady_clock();
        this->admission_control.update_table([&](executor_table& table) {
            table.configure(configuration);
            // An entry that hears no peer cannot distinguish a network partition from the failure of all peers. It
            // takes an equal share, as if all entries it has seen alive at once were still running.
            if (entries.size() == 1 && peak_entry_count > 1)
                table.divide_equally(peak_entry_count, now);
            else
                table.divide_slots(entries, this->state.incarnation(), now);
        });
        std::this_thread::sleep_for(share_interval);
    }
}

void entry_maintenance::run_host_list_updates()
{
    const auto hosts = make_http_host_list(this->settings.host_list_address(), host_list_timeout);
    while (!this->stopping) {
        if (const auto leaving = hosts->read_leaving())
            this->admission_control.update_table([&](executor_table& table) { table.set_leaving(*leaving); });
        else
            count_retry("host_list");
        std::this_thread::sleep_for(host_list_interval);
    }
}

void entry_maintenance::run_probes()
{
    const milliseconds interval(this->settings.probe_interval_ms());
    while (!this->stopping) {
        this->pool.probe_idle(std::min(interval, milliseconds(this->settings.connect_timeout_ms())));
        std::this_thread::sleep_for(interval);
    }
}

} // namespace wigeon
