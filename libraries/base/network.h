// An HTTP server on cpp-httplib with a thread per connection, health routes for operators, and stop signals.

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

// Connections of a server. Each open connection occupies a thread, even while it is idle.
struct connection_load {
    std::atomic<std::size_t> queued = 0; // Waiting for a thread.
    std::atomic<std::size_t> active = 0;
};

// Listens on a thread of its own and stops when it is destroyed.
class http_server {
public:
    // At most `threads` connections are served at the same time.
    explicit http_server(std::size_t threads);

    // True when a connection waits for a thread or more than a quarter of the threads are in use. Idle connections
    // should then be closed to free their threads.
    [[nodiscard]] bool should_close_idle_connections() const;
    ~http_server();

    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;

    [[nodiscard]] httplib::Server& routes() { return this->server; }

    // Binds the address, starts serving and returns the bound port. Port 0 binds any free port. Throws error(internal)
    // when the address cannot be bound.
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

// Blocks SIGTERM and SIGINT in this thread and in those that it starts later, and ignores SIGPIPE.
void block_stop_signals();

// Blocks until SIGTERM or SIGINT arrives.
void wait_for_stop_signal();

} // namespace wigeon
