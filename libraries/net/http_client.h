// HTTP client for one peer with persistent connections, on the process's event loop.

#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include <boost/asio/io_context.hpp>

#include "net/http_message.h"

namespace wigeon {

struct connection_limits {
    milliseconds connect_timeout;
    milliseconds idle_timeout; // A connection that was idle for longer is closed instead of reused.
};

class http_client {
public:
    // `address` is "ip:port"; throws error(malformed_request) when it is not.
    http_client(boost::asio::io_context& loop, const std::string& address, connection_limits limits);
    ~http_client();

    http_client(const http_client&) = delete;
    http_client& operator=(const http_client&) = delete;

    // Calls `done` once, on the event loop, at the latest after the connect timeout plus `timeout`. A call that times
    // out also closes the idle connections that are at least as old as its own: their network path may have been lost
    // without a reset.
    void call(outgoing_request request, milliseconds timeout, call_handler done);

    // Marks a connection with what the caller has learned of the process at its other end. A connection leads to one
    // process until it is closed, so the mark stays true. Returns false, without effect, when the connection carries a
    // call or was closed. `mark` is not 0.
    bool mark_connection(std::uint64_t connection, std::uint64_t mark);

    // Whether an idle connection has the mark.
    [[nodiscard]] bool has_marked_connection(std::uint64_t mark) const;

    // Like call(), but only on an idle connection with the mark. Without one, the outcome is not_sent.
    void call_marked(std::uint64_t mark, outgoing_request request, milliseconds timeout, call_handler done);

private:
    class pool;
    std::shared_ptr<pool> connections;
};

} // namespace wigeon
