// The small HTTP server that every program has for operators.

#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

#include <httplib.h>

#include "base/address.h"

namespace wigeon {

// Connections of a server: each one occupies a thread while it is open, also when it is idle.
struct connection_load {
    std::atomic<std::size_t> queued = 0; // For a thread.
    std::atomic<std::size_t> active = 0;
};

// An HTTP server with its own listening thread. Stops when it is destroyed.
class http_server {
public:
    // `threads` connections are served at once.
    explicit http_server(std::size_t threads);

    // True when idle connections should be closed to make room: some wait, or a quarter of the threads is in use.
    [[nodiscard]] bool should_close_idle_connections() const;
    ~http_server();

    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;

    [[nodiscard]] httplib::Server& routes() { return this->server; }

    // Binds the address, starts to serve and returns the bound port. Port 0 takes a free one.
    int start(std::string_view address);

    // Stops accepting and waits for the requests in flight.
    void stop();

private:
    const std::size_t threads;
    connection_load load;
    httplib::Server server;
    std::thread listener;
};

// Adds /metrics, /healthz and /readyz.
void add_health_routes(httplib::Server& server, std::function<bool()> is_ready);

// Blocks SIGTERM and SIGINT in this thread and in those started later.
void block_stop_signals();

// Waits for a stop signal.
void wait_for_stop_signal();

} // namespace wigeon
