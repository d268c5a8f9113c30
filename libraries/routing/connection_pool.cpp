// Reuses, probes and retires connections.

#include "routing/connection_pool.h"

#include <algorithm>

#include "base/metrics.h"
#include "base/network.h"

namespace wigeon {

namespace {

bool is_alive(executor_connection& connection, milliseconds timeout)
{
    connection.client->set_read_timeout(timeout);
    const auto response = connection.client->Get("/healthz");
    return static_cast<bool>(response);
}

} // namespace

executor_connection connection_pool::connect(const std::string& address, steady_time now) const
{
    const host_port parsed = parse_address(address);
    executor_connection connection;
    connection.client = std::make_unique<httplib::Client>(parsed.host, parsed.port);
    connection.client->set_keep_alive(true);
    connection.client->set_tcp_nodelay(true);
    connection.client->set_decompress(false);
    connection.client->set_connection_timeout(this->connect_timeout);
    connection.address = address;
    connection.created_at = now;
    return connection;
}

executor_connection connection_pool::acquire(const std::string& address, milliseconds max_idle, steady_time now)
{
    {
        const std::lock_guard lock(this->mutex);
        const auto found = this->idle.find(address);
        if (found != this->idle.end() && !found->second.empty() &&
            now - found->second.back().last_response_at <= max_idle) {
            executor_connection connection = std::move(found->second.back());
            found->second.pop_back();
            return connection;
        }
    }
    process_metrics().count("wigeon_executor_connections_total");
    return this->connect(address, now);
}

void connection_pool::release(executor_connection connection, steady_time now)
{
    const std::lock_guard lock(this->mutex);
    const auto retired = this->retired_before.find(connection.address);
    const bool is_retired = retired != this->retired_before.end() && connection.created_at < retired->second;
    std::vector<executor_connection>& connections = this->idle[connection.address];
    if (is_retired || connections.size() >= idle_limit)
        return;
    connection.last_response_at = now;
    connection.is_new = false;
    connections.push_back(std::move(connection));
}

std::size_t connection_pool::retire(const std::string& address, steady_time created_before)
{
    const std::lock_guard lock(this->mutex);
    steady_time& cutoff = this->retired_before[address];
    cutoff = std::max(cutoff, created_before);
    const auto found = this->idle.find(address);
    if (found == this->idle.end())
        return 0;
    const std::size_t retired = std::erase_if(
        found->second, [created_before](const executor_connection& c) { return c.created_at < created_before; });
    process_metrics().count("wigeon_connections_retired_total", retired);
    return retired;
}

void connection_pool::probe_idle(milliseconds timeout)
{
    std::vector<executor_connection> probed;
    {
        const std::lock_guard lock(this->mutex);
        for (auto& [address, connections] : this->idle) {
            if (connections.empty())
                continue;
            probed.push_back(std::move(connections.front()));
            connections.erase(connections.begin());
        }
    }
    for (executor_connection& connection : probed) {
        if (is_alive(connection, timeout)) {
            this->release(std::move(connection), read_steady_clock());
            continue;
        }
        process_metrics().count("wigeon_probe_failures_total");
        process_metrics().count("wigeon_connections_retired_total");
        const steady_time now = read_steady_clock();
        executor_connection replacement = this->connect(connection.address, now);
        if (is_alive(replacement, timeout)) {
            this->retire(connection.address, now);
            this->release(std::move(replacement), read_steady_clock());
        }
    }
}

} // namespace wigeon
