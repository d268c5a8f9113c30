// Fault-injecting TCP proxy. Each route forwards one port to one address. POST /control on the control port with the
// form fields route (a port or all) and fault changes the fault of a route while the proxy runs:
//   none           forwards
//   refuse         closes the open connections and resets new ones at once
//   cut            closes the open connections once
//   freeze         forwards nothing more on the open connections, which stay open; new connections work
//   freeze_answers the same, but only for data towards the client
//   drop_answer    forwards requests and closes the connection when the response arrives
//   silence        forwards nothing on open and new connections, which stay open
//   delay:MS       waits MS ms before it forwards each chunk
// With the form field from, the faults cut, refuse and none apply only to connections from that client address.
// Usage: stand-in-proxy HOST CONTROL_PORT PORT=HOST:PORT...

#include <algorithm>
#include <array>
#include <atomic>
#include <iostream>
#include <list>
#include <memory>
#include <mutex>
#include <set>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/network.h"
#include "base/settings.h"
#include "base/time.h"

namespace wigeon {

namespace {

constexpr milliseconds poll_interval{20};
constexpr std::size_t buffer_bytes = 16'384;

sockaddr_in make_socket_address(const host_port& address)
{
    sockaddr_in result{};
    result.sin_family = AF_INET;
    result.sin_port = htons(static_cast<std::uint16_t>(address.port));
    inet_pton(AF_INET, address.host.c_str(), &result.sin_addr);
    return result;
}

struct connection {
    int client = -1;
    int target = -1;
    std::string client_host;
    std::atomic<bool> is_frozen = false;
    std::atomic<bool> is_response_frozen = false;
    std::atomic<bool> is_closing = false;
    std::atomic<bool> is_closed = false;
};

class route {
public:
    route(const host_port& listen_address, host_port target)
        : target(std::move(target)), listener(socket(AF_INET, SOCK_STREAM, 0))
    {
        const int enabled = 1;
        setsockopt(this->listener, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof(enabled));
        const sockaddr_in address = make_socket_address(listen_address);
        const bool is_bound = bind(this->listener, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) == 0 &&
                              listen(this->listener, 256) == 0;
        if (!is_bound) {
            std::cerr << "cannot listen on port " << listen_address.port << '\n';
            std::exit(1);
        }
        std::thread([this] { this->accept_connections(); }).detach();
    }

    void set_client_fault(const std::string& fault, const std::string& client_host)
    {
        const std::lock_guard lock(this->mutex);
        if (fault == "refuse")
            this->refused_clients.insert(client_host);
        if (fault == "none")
            this->refused_clients.erase(client_host);
        for (const auto& open_connection : this->connections) {
            if (fault != "none" && open_connection->client_host == client_host)
                open_connection->is_closing = true;
        }
    }

    void set_fault(const std::string& fault)
    {
        const std::lock_guard lock(this->mutex);
        this->delay_ms = fault.starts_with("delay:") ? std::stoi(fault.substr(6)) : 0;
        this->is_refusing = fault == "refuse";
        this->is_dropping_responses = fault == "drop_answer";
        this->is_silent = fault == "silence";
        for (const auto& open_connection : this->connections) {
            if (fault == "cut" || fault == "refuse")
                open_connection->is_closing = true;
            if (fault == "freeze")
                open_connection->is_frozen = true;
            if (fault == "freeze_answers")
                open_connection->is_response_frozen = true;
            if (fault == "none") {
                open_connection->is_frozen = false;
                open_connection->is_response_frozen = false;
            }
        }
    }

private:
    void accept_connections()
    {
        while (true) {
            sockaddr_in client_address{};
            socklen_t client_address_size = sizeof(client_address);
            const int client =
                accept(this->listener, reinterpret_cast<sockaddr*>(&client_address), &client_address_size);
            if (client < 0)
                continue;
            auto accepted = std::make_shared<connection>();
            accepted->client = client;
            std::array<char, INET_ADDRSTRLEN> address_text{};
            inet_ntop(AF_INET, &client_address.sin_addr, address_text.data(), address_text.size());
            accepted->client_host = address_text.data();
            accepted->target = socket(AF_INET, SOCK_STREAM, 0);
            const sockaddr_in address = make_socket_address(this->target);
            if (this->is_refused(accepted->client_host) ||
                connect(accepted->target, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) != 0) {
                // Resets the connection instead of closing it in order, as if nothing listened on the port.
                const linger reset_on_close{1, 0};
                setsockopt(client, SOL_SOCKET, SO_LINGER, &reset_on_close, sizeof(reset_on_close));
                close(client);
                close(accepted->target);
                continue;
            }
            const int enabled = 1;
            setsockopt(client, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof(enabled));
            setsockopt(accepted->target, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof(enabled));
            {
                const std::lock_guard lock(this->mutex);
                std::erase_if(this->connections, [](const auto& old) { return old->is_closed.load(); });
                this->connections.push_back(accepted);
            }
            std::thread([this, accepted] { this->forward(*accepted); }).detach();
        }
    }

    bool is_refused(const std::string& client_host)
    {
        const std::lock_guard lock(this->mutex);
        return this->is_refusing || this->refused_clients.contains(client_host);
    }

    void forward(connection& forwarded)
    {
        while (!forwarded.is_closing) {
            std::array<pollfd, 2> descriptors{{{forwarded.client, POLLIN, 0}, {forwarded.target, POLLIN, 0}}};
            if (forwarded.is_frozen || this->is_silent) {
                std::this_thread::sleep_for(poll_interval);
                continue;
            }
            poll(descriptors.data(), descriptors.size(), static_cast<int>(poll_interval.count()));
            const bool has_request = (descriptors[0].revents & (POLLIN | POLLHUP | POLLERR)) != 0;
            const bool has_response =
                (descriptors[1].revents & (POLLIN | POLLHUP | POLLERR)) != 0 && !forwarded.is_response_frozen;
            if (forwarded.is_frozen || this->is_silent)
                continue;
            if (has_request && !this->forward_chunk(forwarded.client, forwarded.target))
                break;
            if (has_response &&
                (this->is_dropping_responses || !this->forward_chunk(forwarded.target, forwarded.client)))
                break;
        }
        close(forwarded.client);
        close(forwarded.target);
        forwarded.is_closed = true;
    }

    bool forward_chunk(int from, int to) const
    {
        std::array<char, buffer_bytes> buffer{};
        const ssize_t size = recv(from, buffer.data(), buffer.size(), 0);
        if (size <= 0)
            return false;
        std::this_thread::sleep_for(milliseconds(this->delay_ms));
        for (ssize_t sent = 0; sent < size;) {
            const ssize_t sent_now =
                send(to, buffer.data() + sent, static_cast<std::size_t>(size - sent), MSG_NOSIGNAL);
            if (sent_now <= 0)
                return false;
            sent += sent_now;
        }
        return true;
    }

    const host_port target;
    const int listener;
    std::mutex mutex;
    std::list<std::shared_ptr<connection>> connections; // Guarded by mutex.
    std::set<std::string> refused_clients;              // Guarded by mutex.
    std::atomic<int> delay_ms = 0;
    std::atomic<bool> is_refusing = false;
    std::atomic<bool> is_dropping_responses = false;
    std::atomic<bool> is_silent = false;
};

} // namespace

} // namespace wigeon

int main(int argc, char** argv)
{
    using namespace wigeon;
    block_stop_signals();
    if (argc < 4) {
        std::cerr << "usage: stand-in-proxy HOST CONTROL_PORT PORT=HOST:PORT...\n";
        return usage_exit_code;
    }
    std::map<std::string, std::unique_ptr<route>> routes;
    for (int i = 3; i < argc; ++i) {
        const std::string text = argv[i];
        const std::string port = text.substr(0, text.find('='));
        routes.emplace(port, std::make_unique<route>(host_port{argv[1], std::stoi(port)},
                                                     parse_address(text.substr(text.find('=') + 1))));
    }
    http_server control(4);
    control.routes().Post("/control", [&](const auto& request, auto& answer) {
        const std::string requested_route = request.get_param_value("route");
        for (const auto& [port, candidate] : routes) {
            if (requested_route != "all" && requested_route != port)
                continue;
            if (request.has_param("from"))
                candidate->set_client_fault(request.get_param_value("fault"), request.get_param_value("from"));
            else
                candidate->set_fault(request.get_param_value("fault"));
        }
        answer.set_content("ok", "text/plain");
    });
    control.start(std::string(argv[1]) + ":" + argv[2]);
    wait_for_stop_signal();
    std::_Exit(0);
}
