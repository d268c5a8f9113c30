// An HTTP server on cpp-httplib with a thread per connection, health routes for operators, and stop signals.
//
// The library bounds neither a line, nor the head as a whole, nor a chunked body, nor the time of a request. So the
// server gives it a stream that counts what the library reads and closes the connection at the limits.

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
#include "base/time.h"

namespace wigeon {

// Connections of a server. Each open connection occupies a thread, even while it is idle.
struct connection_load {
    std::atomic<std::size_t> queued = 0; // Waiting for a thread.
    std::atomic<std::size_t> active = 0;
};

// What the server reads of one client. Each limit lies above what a client needs whose head has at most 16,384 bytes,
// whose head arrives within 3 s and whose connection idles for at most 15 s.
struct client_limits {
    std::size_t line_bytes = 32'768; // Of the head, of chunk sizes with their extensions, and of trailers.
    std::size_t head_bytes = 65'536;
    std::size_t body_bytes = 1'048'576;
    milliseconds head_timeout{3'000};    // From the arrival of the connection, or the first byte of a later request.
    milliseconds body_timeout{30'000};   // From the end of the head.
    milliseconds write_timeout{10'000};  // For one response.
    std::size_t held_bytes = 33'554'432; // Of the requests that all connections of the server are reading.
};

class bounded_server;

// Listens on a thread of its own and stops when it is destroyed.
class http_server {
public:
    // At most `threads` connections are served at the same time.
    explicit http_server(std::size_t threads, client_limits limits = {});

    // True when a connection waits for a thread or more than a quarter of the threads are in use. Idle connections
    // should then be closed to free their threads.
    [[nodiscard]] bool should_close_idle_connections() const;
    ~http_server();

    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;

    [[nodiscard]] httplib::Server& routes();

    // Binds the address, starts serving and returns the bound port. Port 0 binds any free port. Throws error(internal)
    // when the address cannot be bound.
    int start(std::string_view address);

    // Stops accepting and waits for the requests in flight.
    void stop();

private:
    const std::size_t threads;
    connection_load load;
    std::unique_ptr<bounded_server> server;
    std::thread listener;
};

// Adds /metrics, /healthz and /readyz.
void add_health_routes(httplib::Server& server, std::function<bool()> is_ready);

// Blocks SIGTERM and SIGINT in this thread and in those that it starts later, and ignores SIGPIPE.
void block_stop_signals();

// Blocks until SIGTERM or SIGINT arrives.
void wait_for_stop_signal();

} // namespace wigeon
