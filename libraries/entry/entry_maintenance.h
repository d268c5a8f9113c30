// Updates an entry's executor table from the configuration, the live peers and the host list, and probes idle
// connections to executors.

#pragma once

#include <atomic>
#include <thread>

#include "membership/demand_level.h"
#include "membership/peer_gossip.h"
#include "replica/replica.h"
#include "routing/admission.h"
#include "routing/connection_pool.h"
#include "wigeon.pb.h"

namespace wigeon {

class entry_maintenance {
public:
    entry_maintenance(const EntrySettings& settings, replica& state, peer_gossip& gossip, const demand_level& demand,
                      admission& admission_control, connection_pool& pool);

    void start();
    void stop();

private:
    void run_share_updates();
    void run_host_list_updates();
    void run_probes();

    const EntrySettings settings;
    replica& state;
    peer_gossip& gossip;
    const demand_level& demand;
    admission& admission_control;
    connection_pool& pool;
    std::atomic<bool> stopping = false;
    std::thread share_thread;
    std::thread host_list_thread;
    std::thread probe_thread;
};

} // namespace wigeon
