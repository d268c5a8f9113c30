// Pool of keep-alive connections to executors. A connection can stop carrying data without being closed. The pool
// therefore probes idle connections, retires all older ones when a connection is dead but a new one works, and
// reuses a connection for a request that must not be sent twice only if it carried a response recently.

#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include <httplib.h>

#include "base/time.h"

namespace wigeon {

struct executor_connection {
    std::unique_ptr<httplib::Client> client;
    std::string address;
    steady_time created_at{};
    steady_time last_response_at{}; // Time of the last complete response.
    bool is_new = true;             // Has carried no complete response yet.
};

class connection_pool {
public:
    explicit connection_pool(milliseconds connect_timeout) : connect_timeout(connect_timeout) {}

    // Returns an idle connection whose last response is at most `max_idle` old, or a new connection.
    executor_connection acquire(const std::string& address, milliseconds max_idle, steady_time now);

    // Returns a connection to the pool after a complete response.
    void release(executor_connection connection, steady_time now);

    // Closes the idle connections to the address that were created before the given time, and returns their number.
    // Older connections in use are closed when they are released.
    std::size_t retire(const std::string& address, steady_time created_before);

    // Probes the connection of each address that has been idle longest. When it does not respond within `timeout`,
    // tries a new one; when that responds, retires all older connections to the address.
    void probe_idle(milliseconds timeout);

private:
    // Per address. With six entries, stays below the about 60 connections that an executor accepts.
    static constexpr std::size_t idle_limit = 8;

    executor_connection connect(const std::string& address, steady_time now) const;

    const milliseconds connect_timeout;
    std::mutex mutex;
    std::map<std::string, std::vector<executor_connection>> idle; // Guarded by mutex; newest response last.
    std::map<std::string, steady_time> retired_before;            // Guarded by mutex.
};

} // namespace wigeon
