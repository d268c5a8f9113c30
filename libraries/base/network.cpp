// Plumbing around cpp-httplib and signals.

#include "base/network.h"

#include <array>
#include <charconv>
#include <csignal>
#include <random>

#include "base/error_kind.h"
#include "base/metrics.h"

namespace wigeon {

host_port parse_address(std::string_view text)
{
    const auto colon = text.rfind(':');
    host_port address;
    if (colon != std::string_view::npos) {
        const std::string_view port = text.substr(colon + 1);
        address.host = text.substr(0, colon);
        const auto parsed = std::from_chars(port.data(), port.data() + port.size(), address.port);
        const bool is_whole = parsed.ec == std::errc() && parsed.ptr == port.data() + port.size();
        if (is_whole && !address.host.empty() && address.port >= 0 && address.port <= 65535)
            return address;
    }
    throw error(error_kind::malformed_request, "'" + std::string(text) + "' is not an address of the form host:port");
}

std::vector<std::string> split_list(std::string_view text, char separator)
{
    std::vector<std::string> items;
    while (!text.empty()) {
        const auto end = text.find(separator);
        if (end != 0)
            items.emplace_back(text.substr(0, end));
        if (end == std::string_view::npos)
            break;
        text.remove_prefix(end + 1);
    }
    return items;
}

std::uint64_t draw_incarnation()
{
    std::random_device device;
    return (std::uint64_t{device()} << 32U) | device();
}

std::string format_incarnation(std::uint64_t incarnation)
{
    std::array<char, 17> text{};
    const auto end = std::to_chars(text.data(), text.data() + text.size(), incarnation, 16);
    return {text.data(), end.ptr};
}

namespace {

// The library's pool, with a count of what it holds.
class counting_pool : public httplib::TaskQueue {
public:
    counting_pool(std::size_t threads, connection_load& load) : pool(threads), load(load) {}

    void enqueue(std::function<void()> connection) override
    {
        ++this->load.waiting;
        this->pool.enqueue([this, connection = std::move(connection)] {
            --this->load.waiting;
            ++this->load.served;
            connection();
            --this->load.served;
        });
    }

    void shutdown() override { this->pool.shutdown(); }

private:
    httplib::ThreadPool pool;
    connection_load& load;
};

} // namespace

http_server::http_server(std::size_t threads) : threads(threads)
{
    this->server.new_task_queue = [this] { return new counting_pool(this->threads, this->load); };
    this->server.set_tcp_nodelay(true);
    // The default of the library also sets SO_REUSEPORT, which would let two processes share a port unnoticed.
    this->server.set_socket_options([](socket_t socket) {
        const int yes = 1;
        setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof(yes));
    });
}

http_server::~http_server()
{
    this->stop();
}

bool http_server::is_crowded() const
{
    return this->load.waiting > 0 || this->load.served * 4 > this->threads;
}

int http_server::start(std::string_view address)
{
    host_port bound = parse_address(address);
    if (bound.port == 0) {
        bound.port = this->server.bind_to_any_port(bound.host);
    }
    else if (!this->server.bind_to_port(bound.host, bound.port)) {
        bound.port = -1;
    }
    if (bound.port < 0)
        throw error(error_kind::internal, "cannot listen on " + std::string(address));
    this->listener = std::thread([this] { this->server.listen_after_bind(); });
    while (!this->server.is_running())
        std::this_thread::yield();
    return bound.port;
}

void http_server::stop()
{
    if (!this->listener.joinable())
        return;
    this->server.stop();
    this->listener.join();
}

void add_health_routes(httplib::Server& server, std::function<bool()> is_ready)
{
    server.Get("/metrics", [](const httplib::Request&, httplib::Response& answer) {
        answer.set_content(process_metrics().format(), "text/plain; version=0.0.4");
    });
    server.Get("/healthz",
               [](const httplib::Request&, httplib::Response& answer) { answer.set_content("ok\n", "text/plain"); });
    server.Get("/readyz", [is_ready = std::move(is_ready)](const httplib::Request&, httplib::Response& answer) {
        const bool ready = is_ready();
        answer.status = ready ? 200 : 503;
        answer.set_content(ready ? "ready\n" : "not ready\n", "text/plain");
    });
}

namespace {

sigset_t make_stop_signals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    return signals;
}

} // namespace

void block_stop_signals()
{
    const sigset_t signals = make_stop_signals();
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
}

void wait_for_stop_signal()
{
    const sigset_t signals = make_stop_signals();
    int caught = 0;
    sigwait(&signals, &caught);
}

} // namespace wigeon
