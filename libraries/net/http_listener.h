// HTTP server on the process's event loop. A handler may reply later, on the same loop.
//
// Bounds what clients that nobody controls can make the process hold. Each connection has a read buffer with a maximum,
// which bounds header blocks, lines, chunk extensions and trailers; the bytes of one request are counted as a whole;
// and all connections share one budget. When the budget is used up, the connections with the most bytes held for the
// longest time are closed.

#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <string>

#include <boost/asio/io_context.hpp>

#include "net/http_message.h"

namespace wigeon {

struct listener_limits {
    std::size_t header_bytes;
    std::size_t body_bytes;
    // When as many are open, one that idles between requests is closed for the next; without one, the next is closed.
    std::size_t connections;
    milliseconds idle_timeout;           // Until the next request arrives, and from its head to the end of its body.
    milliseconds header_timeout{3'000};  // From the first byte of a request to the end of its head.
    milliseconds write_timeout{10'000};  // For a response that the client does not read.
    std::size_t held_bytes = 16'777'216; // Of all connections: received and not handled, or written and not read.
};

class http_listener {
public:
    using request_handler = std::function<void(incoming_request, reply_handler)>;

    http_listener(boost::asio::io_context& loop, listener_limits limits, request_handler handler);
    ~http_listener();

    http_listener(const http_listener&) = delete;
    http_listener& operator=(const http_listener&) = delete;

    // Binds "ip:port" and returns the bound port. Throws when the address can't be bound.
    int start(const std::string& address);

    // Stops accepting and closes idle connections; requests in flight are still answered.
    void stop();

    // Number of requests that were received and are not answered yet.
    [[nodiscard]] std::size_t in_flight() const;

private:
    class acceptor;
    std::shared_ptr<acceptor> implementation;
};

} // namespace wigeon
