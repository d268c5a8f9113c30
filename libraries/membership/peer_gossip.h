// Beats between the processes over nng, and the handing over of state to a process that cannot read the log.

#pragma once

#include <atomic>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include <nng/nng.h>

#include "membership/member_table.h"
#include "replica/replica.h"
#include "wigeon.pb.h"

namespace wigeon {

class peer_gossip {
public:
    // The address after this one in the port numbers serves the state to peers.
    peer_gossip(const CommonSettings& settings, std::string role, replica& state);
    ~peer_gossip();

    peer_gossip(const peer_gossip&) = delete;
    peer_gossip& operator=(const peer_gossip&) = delete;

    // `read_demand` returns the requests waiting and in flight in this process.
    void start(std::function<std::uint32_t()> read_demand);
    void stop();
    void announce_leave() { this->leaving = true; }

    // The newest state that any peer has beyond the offset; empty when none answers in time.
    StateAnswer ask_state(std::uint64_t newer_than_offset);

    [[nodiscard]] std::vector<member> list_live(std::string_view role) const;
    [[nodiscard]] std::size_t largest_size(std::string_view role) const;

    // The newest configuration version announced by a peer.
    [[nodiscard]] std::uint64_t newest_version() const;

    // True when the own configuration is at least as new as any that a peer announced.
    [[nodiscard]] bool is_current() const;

private:
    void run_sender();
    void run_receiver();
    void run_state_server();
    void catch_up();
    nng_socket find_state_socket(const std::string& peer);
    Beat make_beat() const;

    const CommonSettings settings;
    const std::string role;
    replica& state;
    std::vector<std::string> peers;
    std::function<std::uint32_t()> read_demand;

    mutable std::mutex mutex;
    member_table members; // Guarded by mutex.

    std::mutex state_sockets_mutex;
    std::map<std::string, nng_socket> state_sockets; // By peer address; guarded by state_sockets_mutex.

    std::atomic<bool> leaving = false;
    std::atomic<bool> stopping = false;
    nng_socket publisher = NNG_SOCKET_INITIALIZER;
    nng_socket subscriber = NNG_SOCKET_INITIALIZER;
    nng_socket state_server = NNG_SOCKET_INITIALIZER;
    std::thread sender;
    std::thread receiver;
    std::thread server;
};

} // namespace wigeon
