// Sends and receives heartbeats between the processes over nng, and answers requests of peers: for the state, from a
// process that cannot read the log, and for lease renewals.

#pragma once

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include <nng/nng.h>

#include "membership/heartbeat_schedule.h"
#include "membership/member_table.h"
#include "replica/replica.h"
#include "wigeon.pb.h"

namespace wigeon {

class peer_gossip {
public:
    // Heartbeats are published at settings.peer_address(); requests of peers are answered on the next port.
    peer_gossip(const CommonSettings& settings, std::string role, replica& state);
    ~peer_gossip();

    peer_gossip(const peer_gossip&) = delete;
    peer_gossip& operator=(const peer_gossip&) = delete;

    // `read_demand` returns the number of requests queued and in flight in this process.
    void start(std::function<std::uint32_t()> read_demand);
    void stop();
    void announce_leave() { this->leaving = true; }

    // Sets the handler of peers' requests to renew leases. Call before start().
    void set_renewal_handler(std::function<RenewalAnswer(const RenewalQuestion&)> handler)
    {
        this->renewal_handler = std::move(handler);
    }

    // Asks the peer at the address to renew leases. Returns nothing when it does not respond within the timeout.
    std::optional<RenewalAnswer> request_renewal(const std::string& peer, const RenewalQuestion& request,
                                                 milliseconds timeout);

    // Returns the newest state or records that any peer has beyond the offset; empty when no peer has any or none
    // responds in time.
    StateAnswer fetch_newest_state(std::uint64_t newer_than_offset);

    [[nodiscard]] std::vector<member> list_live(std::string_view role) const;
    [[nodiscard]] std::size_t peak_live_count(std::string_view role) const;

    // Returns the newest configuration version that any peer announced.
    [[nodiscard]] std::uint64_t newest_configuration_version() const;

    // Returns true when this process's configuration is at least as new as any that a peer announced.
    [[nodiscard]] bool is_configuration_current() const;

private:
    void run_sender();
    void send_heartbeat(steady_time now);
    void run_receiver();
    void run_server();
    std::string handle_request(const PeerQuestion& request);
    StateAnswer handle_state_request(const StateQuestion& request) const;
    void catch_up_from_peers();
    StateAnswer fetch_state(const std::string& peer, std::uint64_t newer_than_offset);
    struct request_socket {
        std::mutex mutex; // Held for one request at a time.
        nng_socket socket = NNG_SOCKET_INITIALIZER;
    };
    request_socket& find_request_socket(const std::string& peer, const std::string& purpose);
    std::string call_peer(const std::string& peer, const std::string& purpose, const PeerQuestion& request,
                          milliseconds timeout);
    Beat make_heartbeat() const;

    const CommonSettings settings;
    const std::string role;
    replica& state;
    std::vector<std::string> peers;
    std::function<std::uint32_t()> read_demand;

    mutable std::mutex mutex;
    member_table members;          // Guarded by mutex.
    heartbeat_schedule heartbeats; // Guarded by mutex.

    std::function<RenewalAnswer(const RenewalQuestion&)> renewal_handler;
    std::mutex request_sockets_mutex;
    // By peer address and purpose; guarded by request_sockets_mutex. Separate sockets keep a state request from
    // delaying renewals.
    std::map<std::pair<std::string, std::string>, std::unique_ptr<request_socket>> request_sockets;

    std::atomic<bool> leaving = false;
    std::atomic<bool> stopping = false;
    nng_socket publisher = NNG_SOCKET_INITIALIZER;
    nng_socket subscriber = NNG_SOCKET_INITIALIZER;
    nng_socket reply_socket = NNG_SOCKET_INITIALIZER;
    std::thread send_thread;
    std::thread receive_thread;
    std::vector<std::thread> reply_threads;
};

} // namespace wigeon
