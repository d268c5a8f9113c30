// The HTTP interface for callers: forwards requests to executors, and accepts, shows and cancels jobs.

#pragma once

#include <atomic>
#include <functional>
#include <string>

#include <httplib.h>

#include "entry/request_service.h"
#include "replica/replica.h"
#include "wigeon.pb.h"

namespace wigeon {

class caller_api {
public:
    caller_api(const EntrySettings& settings, replica& state, request_service& requests, std::function<bool()> is_ready,
               std::function<bool()> should_close_idle_connections);

    void add_routes(httplib::Server& server);

    // Each later response closes its connection, so that no caller keeps a connection to a process that is stopping.
    void begin_shutdown() { this->closing = true; }

    [[nodiscard]] std::uint32_t in_flight() const { return this->in_flight_count; }

private:
    using handler = std::function<void(const httplib::Request&, httplib::Response&)>;

    httplib::Server::Handler wrap_handler(handler inner);
    void authorize(const httplib::Request& request, std::string_view account) const;
    void forward(const httplib::Request& request, httplib::Response& response);
    void submit_job(const httplib::Request& request, httplib::Response& response);
    void show_job(const httplib::Request& request, httplib::Response& response) const;
    void cancel_jobs(const httplib::Request& request, httplib::Response& response);

    const EntrySettings settings;
    replica& state;
    request_service& requests;
    std::function<bool()> is_ready;
    std::function<bool()> should_close_idle_connections;
    std::atomic<bool> closing = false;
    std::atomic<std::uint32_t> in_flight_count = 0;
};

} // namespace wigeon
