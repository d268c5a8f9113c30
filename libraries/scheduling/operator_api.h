// HTTP interface for operators: the state in force, the fleet, and why a job waits.

#pragma once

#include <httplib.h>

#include "membership/peer_gossip.h"
#include "replica/replica.h"
#include "scheduling/scheduler_loop.h"

namespace wigeon {

class operator_api {
public:
    operator_api(replica& state, scheduler_loop& loop, peer_gossip& gossip);

    // Adds /v1/status, /v1/configuration, /v1/fleet, /v1/accounts and /v1/explain/{account}/{key}.
    void add_routes(httplib::Server& server);

private:
    [[nodiscard]] std::string format_status() const;
    [[nodiscard]] std::string format_fleet() const;
    [[nodiscard]] std::string format_accounts() const;
    [[nodiscard]] std::string explain(const std::string& job_id) const;

    replica& state;
    scheduler_loop& loop;
    peer_gossip& gossip;
};

} // namespace wigeon
