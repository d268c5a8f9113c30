// Addresses, identifiers and the small HTTP server that every program has for operators.

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

namespace wigeon {

struct host_port {
    std::string host;
    int port = 0;
};

// Throws error(malformed_request) unless the text is "host:port".
host_port parse_address(std::string_view text);

std::vector<std::string> split_list(std::string_view text, char separator);

// A random identifier that no other process start will draw again.
std::uint64_t draw_incarnation();

// Text in hexadecimal digits, for log lines and answers.
std::string format_incarnation(std::uint64_t incarnation);

// Connections of a server: each one occupies a thread while it is open, also when it is idle.
struct connection_load {
    std::atomic<std::size_t> waiting = 0; // For a thread.
    std::atomic<std::size_t> served = 0;
};

// An HTTP server with its own listening thread. Stops when it is destroyed.
class http_server {
public:
    // `threads` connections are served at once.
    explicit http_server(std::size_t threads);

    // True when idle connections should be closed to make room: some wait, or a quarter of the threads is in use.
    [[nodiscard]] bool is_crowded() const;
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
