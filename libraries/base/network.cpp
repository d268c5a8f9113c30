// HTTP server on cpp-httplib, and signal handling.

#include "base/network.h"

#include <array>
#include <csignal>

#include "base/error_kind.h"
#include "base/metrics.h"

namespace wigeon {

namespace {

// The thread pool of cpp-httplib, with counts of its queued and active connections.
class counting_task_queue : public httplib::TaskQueue {
public:
    counting_task_queue(std::size_t threads, connection_load& load) : pool(threads), load(load) {}

    void enqueue(std::function<void()> connection) override
    {
        ++this->load.queued;
        this->pool.enqueue([this, connection = std::move(connection)] {
            --this->load.queued;
            ++this->load.active;
            connection();
            --this->load.active;
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
    this->server.new_task_queue = [this] { return new counting_task_queue(this->threads, this->load); };
    this->server.set_tcp_nodelay(true);
    // By default cpp-httplib also sets SO_REUSEPORT, which would let two processes share a port unnoticed.
    this->server.set_socket_options([](socket_t socket) {
        const int enabled = 1;
        setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof(enabled));
    });
}

http_server::~http_server()
{
    this->stop();
}

bool http_server::should_close_idle_connections() const
{
    return this->load.queued > 0 || this->load.active * 4 > this->threads;
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
    server.Get("/metrics", [](const httplib::Request&, httplib::Response& response) {
        response.set_content(process_metrics().format(), "text/plain; version=0.0.4");
    });
    server.Get("/healthz", [](const httplib::Request&, httplib::Response& response) {
        response.set_content("ok\n", "text/plain");
    });
    server.Get("/readyz", [is_ready = std::move(is_ready)](const httplib::Request&, httplib::Response& response) {
        const bool ready = is_ready();
        response.status = ready ? 200 : 503;
        response.set_content(ready ? "ready\n" : "not ready\n", "text/plain");
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
