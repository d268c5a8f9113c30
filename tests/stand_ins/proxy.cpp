// Fault-injecting TCP proxy. Each route forwards one port to one address, with a fault that can be changed while it
// runs by POST /control with route and fault on the control port:
//   none           forwards
//   refuse         closes new connections at once
//   cut            closes the open connections once
//   freeze         the open connections carry nothing more and stay open; new ones work
//   freeze_answers the same towards the client only
//   drop_answer    forwards requests and closes the connection when the answer comes
//   silence        neither open nor new connections carry anything; they stay open
//   delay:MS       waits before each piece
// With the form field from, cut, refuse and none concern the connections from that client address only.
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
constexpr std::size_t piece_bytes = 16'384;

sockaddr_in make_socket_address(const host_port& address)
{
    sockaddr_in result{};
    result.sin_family = AF_INET;
    result.sin_port = htons(static_cast<std::uint16_t>(address.port));
    inet_pton(AF_INET, address.host.c_str(), &result.sin_addr);
    return result;
}

struct flow {
    int client = -1;
    int target = -1;
    std::string client_host;
    std::atomic<bool> is_frozen = false;
    std::atomic<bool> is_answer_frozen = false;
    std::atomic<bool> is_cut = false;
    std::atomic<bool> is_done = false;
};

class route {
public:
    route(const host_port& listened, host_port target)
        : target(std::move(target)), listener(socket(AF_INET, SOCK_STREAM, 0))
    {
        const int yes = 1;
        setsockopt(this->listener, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof(yes));
        const sockaddr_in address = make_socket_address(listened);
        const bool is_bound = bind(this->listener, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) == 0 &&
                              listen(this->listener, 256) == 0;
        if (!is_bound) {
            std::cerr << "cannot listen on port " << listened.port << '\n';
            std::exit(1);
        }
        std::thread([this] { this->accept_flows(); }).detach();
    }

    void set_client_fault(const std::string& wanted, const std::string& client_host)
    {
        const std::lock_guard lock(this->mutex);
        if (wanted == "refuse")
            this->refused_clients.insert(client_host);
        if (wanted == "none")
            this->refused_clients.erase(client_host);
        for (const auto& entry : this->flows) {
            if (wanted != "none" && entry->client_host == client_host)
                entry->is_cut = true;
        }
    }

    void set_fault(const std::string& wanted)
    {
        const std::lock_guard lock(this->mutex);
        this->delay_ms = wanted.starts_with("delay:") ? std::stoi(wanted.substr(6)) : 0;
        this->is_refusing = wanted == "refuse";
        this->is_dropping_answers = wanted == "drop_answer";
        this->is_silent = wanted == "silence";
        for (const auto& entry : this->flows) {
            if (wanted == "cut" || wanted == "refuse")
                entry->is_cut = true;
            if (wanted == "freeze")
                entry->is_frozen = true;
            if (wanted == "freeze_answers")
                entry->is_answer_frozen = true;
            if (wanted == "none") {
                entry->is_frozen = false;
                entry->is_answer_frozen = false;
            }
        }
    }

private:
    void accept_flows()
    {
        while (true) {
            sockaddr_in from{};
            socklen_t from_size = sizeof(from);
            const int client = accept(this->listener, reinterpret_cast<sockaddr*>(&from), &from_size);
            if (client < 0)
                continue;
            auto entry = std::make_shared<flow>();
            entry->client = client;
            std::array<char, INET_ADDRSTRLEN> text{};
            inet_ntop(AF_INET, &from.sin_addr, text.data(), text.size());
            entry->client_host = text.data();
            entry->target = socket(AF_INET, SOCK_STREAM, 0);
            const sockaddr_in address = make_socket_address(this->target);
            if (this->is_refused(entry->client_host) ||
                connect(entry->target, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) != 0) {
                // A reset instead of an orderly end, as when nobody listens.
                const linger hard{1, 0};
                setsockopt(client, SOL_SOCKET, SO_LINGER, &hard, sizeof(hard));
                close(client);
                close(entry->target);
                continue;
            }
            const int yes = 1;
            setsockopt(client, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof(yes));
            setsockopt(entry->target, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof(yes));
            {
                const std::lock_guard lock(this->mutex);
                std::erase_if(this->flows, [](const auto& old) { return old->is_done.load(); });
                this->flows.push_back(entry);
            }
            std::thread([this, entry] { this->forward(*entry); }).detach();
        }
    }

    bool is_refused(const std::string& client_host)
    {
        const std::lock_guard lock(this->mutex);
        return this->is_refusing || this->refused_clients.contains(client_host);
    }

    void forward(flow& entry)
    {
        while (!entry.is_cut) {
            std::array<pollfd, 2> watched{{{entry.client, POLLIN, 0}, {entry.target, POLLIN, 0}}};
            if (entry.is_frozen || this->is_silent) {
                std::this_thread::sleep_for(poll_interval);
                continue;
            }
            poll(watched.data(), watched.size(), static_cast<int>(poll_interval.count()));
            const bool has_request = (watched[0].revents & (POLLIN | POLLHUP | POLLERR)) != 0;
            const bool has_answer = (watched[1].revents & (POLLIN | POLLHUP | POLLERR)) != 0 && !entry.is_answer_frozen;
            if (entry.is_frozen || this->is_silent)
                continue;
            if (has_request && !this->move_piece(entry.client, entry.target))
                break;
            if (has_answer && (this->is_dropping_answers || !this->move_piece(entry.target, entry.client)))
                break;
        }
        close(entry.client);
        close(entry.target);
        entry.is_done = true;
    }

    bool move_piece(int from, int to) const
    {
        std::array<char, piece_bytes> piece{};
        const ssize_t size = recv(from, piece.data(), piece.size(), 0);
        if (size <= 0)
            return false;
        std::this_thread::sleep_for(milliseconds(this->delay_ms));
        for (ssize_t sent = 0; sent < size;) {
            const ssize_t step = send(to, piece.data() + sent, static_cast<std::size_t>(size - sent), MSG_NOSIGNAL);
            if (step <= 0)
                return false;
            sent += step;
        }
        return true;
    }

    const host_port target;
    const int listener;
    std::mutex mutex;
    std::list<std::shared_ptr<flow>> flows; // Guarded by mutex.
    std::set<std::string> refused_clients;  // Guarded by mutex.
    std::atomic<int> delay_ms = 0;
    std::atomic<bool> is_refusing = false;
    std::atomic<bool> is_dropping_answers = false;
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
        const std::string wanted = request.get_param_value("route");
        for (const auto& [port, entry] : routes) {
            if (wanted != "all" && wanted != port)
                continue;
            if (request.has_param("from"))
                entry->set_client_fault(request.get_param_value("fault"), request.get_param_value("from"));
            else
                entry->set_fault(request.get_param_value("fault"));
        }
        answer.set_content("ok", "text/plain");
    });
    control.start(std::string(argv[1]) + ":" + argv[2]);
    wait_for_stop_signal();
    std::_Exit(0);
}
