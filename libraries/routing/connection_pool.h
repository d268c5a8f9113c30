// Kept-alive connections to executors. A connection may go silent for good without being closed; the pool therefore
// probes idle ones, retires all of an age when one of that age proves dead, and gives requests that must not
// be sent twice only connections that answered a moment ago.

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
    steady_time last_response_at{}; // When it last carried a whole answer.
    bool is_new = true;             // Carried nothing yet.
};

class connection_pool {
public:
    explicit connection_pool(milliseconds connect_timeout) : connect_timeout(connect_timeout) {}

    // An idle connection that answered within `freshness`, or a new one.
    executor_connection acquire(const std::string& address, milliseconds max_idle, steady_time now);

    // Takes a connection back that carried a whole answer.
    void release(executor_connection connection, steady_time now);

    // Closes the idle connections to the address that were made before the time. Returns how many.
    std::size_t retire(const std::string& address, steady_time created_before);

    // Probes the oldest idle connection of each address, and on silence tries a new one: when that answers,
    // all connections of the dead one's age are retired.
    void probe_idle(milliseconds timeout);

private:
    // Per address. Six entries stay below the about 60 connections that an executor takes.
    static constexpr std::size_t idle_limit = 8;

    executor_connection connect(const std::string& address, steady_time now) const;

    const milliseconds connect_timeout;
    std::mutex mutex;
    std::map<std::string, std::vector<executor_connection>> idle; // Guarded by mutex; newest answer last.
    std::map<std::string, steady_time> retired_before;            // Guarded by mutex.
};

} // namespace wigeon
