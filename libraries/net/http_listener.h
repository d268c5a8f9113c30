// HTTP server on the process's event loop. A handler may reply later, on the same loop.

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
    std::size_t connections;   // Further connections are closed at once.
    milliseconds idle_timeout; // Until the next request has been received completely.
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
