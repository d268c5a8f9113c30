// HTTP server on cpp-httplib, and signal handling.

#include "base/network.h"

#include <algorithm>
#include <array>
#include <csignal>
#include <limits>
#include <mutex>
#include <optional>
#include <set>
#include <vector>

#include <netdb.h>
#include <poll.h>
#include <sys/resource.h>
#include <sys/socket.h>

#include "base/error_kind.h"
#include "base/logging.h"
#include "base/metrics.h"

namespace wigeon {

namespace {

constexpr std::size_t read_buffer_bytes = 4'096;

// A body in chunks of one byte has six bytes on the wire for each of its own.
constexpr std::size_t wire_bytes_per_body_byte = 8;

// The budget is looked at whenever a request has grown by this much.
constexpr std::size_t budget_step_bytes = 65'536;
constexpr double budget_low_mark = 0.875;

// An idle connection is closed after this time when another one waits for its thread.
constexpr milliseconds crowded_idle_timeout{250};
constexpr milliseconds min_first_wait{10}; // For a connection that has waited in the queue for longer than its limit.
constexpr milliseconds idle_poll_interval{50};
constexpr milliseconds refusal_log_interval{1'000};

// When and how the connection that a thread serves came out of the queue.
struct dequeued_connection {
    steady_time arrival;
    bool is_refused = false;
};

// Of the calling thread.
dequeued_connection& current_connection()
{
    thread_local dequeued_connection connection;
    return connection;
}

// Counts a refusal and logs at most one line in each interval.
void note_refusal(std::string_view reason)
{
    static std::atomic<std::int64_t> last_line_ms = 0;
    static std::atomic<std::uint64_t> unlogged = 0;
    count_refusal(reason);
    ++unlogged;
    const auto now_ms = std::chrono::duration_cast<milliseconds>(read_steady_clock().time_since_epoch()).count();
    std::int64_t last = last_line_ms;
    if (now_ms - last < refusal_log_interval.count() || !last_line_ms.compare_exchange_strong(last, now_ms))
        return;
    log_event("client_refused",
              {{"reason", std::string(reason)}, {"refusals_since_last_line", std::to_string(unlogged.exchange(0))}});
}

// Half of the descriptors that the system allows; the others are for peers, executors and files.
std::size_t read_connection_limit()
{
    rlimit limit{};
    if (::getrlimit(RLIMIT_NOFILE, &limit) != 0)
        return std::numeric_limits<std::size_t>::max();
    return static_cast<std::size_t>(limit.rlim_cur) / 2;
}

// The thread pool of cpp-httplib, with counts of its queued and active connections.
class counting_task_queue : public httplib::TaskQueue {
public:
    counting_task_queue(std::size_t threads, connection_load& load) : pool(threads), load(load) {}

    void enqueue(std::function<void()> connection) override
    {
        const steady_time arrival = read_steady_clock();
        if (this->load.queued + this->load.active >= read_connection_limit()) {
            note_refusal("connections");
            current_connection() = {arrival, true};
            connection();
            return;
        }
        ++this->load.queued;
        this->pool.enqueue([this, arrival, connection = std::move(connection)] {
            --this->load.queued;
            ++this->load.active;
            current_connection() = {arrival, false};
            connection();
            --this->load.active;
        });
    }

    void shutdown() override { this->pool.shutdown(); }

private:
    httplib::ThreadPool pool;
    connection_load& load;
};

// False on a timeout or when the time has passed.
bool wait_for_socket(socket_t socket, short events, steady_time deadline)
{
    const auto left = std::chrono::ceil<milliseconds>(deadline - read_steady_clock());
    pollfd descriptor{socket, events, 0};
    return ::poll(&descriptor, 1, static_cast<int>(std::max(left, milliseconds(0)).count())) > 0;
}

std::pair<std::string, int> describe_address(const sockaddr_storage& address, socklen_t length)
{
    std::array<char, NI_MAXHOST> name{};
    std::array<char, NI_MAXSERV> port{};
    if (::getnameinfo(reinterpret_cast<const sockaddr*>(&address), length, name.data(), name.size(), port.data(),
                      port.size(), NI_NUMERICHOST | NI_NUMERICSERV) != 0)
        return {};
    return {name.data(), std::atoi(port.data())};
}

} // namespace

// The requests that are being read, and the budget for their bytes.
class request_budget {
public:
    explicit request_budget(std::size_t limit_bytes) : limit(limit_bytes) {}

    struct entry {
        socket_t socket;
        steady_time began;
        std::size_t bytes = 0;
        bool is_closed = false;
        std::atomic<bool> is_waiting = false; // For input; else the request may have begun to run.
    };

    void add(entry& added)
    {
        const std::scoped_lock lock(this->mutex);
        this->entries.insert(&added);
    }

    void remove(entry& removed)
    {
        const std::scoped_lock lock(this->mutex);
        this->entries.erase(&removed);
        this->total -= removed.bytes;
    }

    void set_bytes(entry& changed, std::size_t bytes, steady_time now)
    {
        const std::scoped_lock lock(this->mutex);
        this->total += bytes - changed.bytes;
        changed.bytes = bytes;
        if (this->total > this->limit)
            this->close_largest(now);
    }

private:
    // Closes the requests with the largest product of bytes and time. Their threads then fail to read and release them.
    void close_largest(steady_time now)
    {
        std::vector<std::pair<double, entry*>> candidates;
        std::size_t left = this->total;
        for (entry* candidate : this->entries) {
            const auto age = std::max(now - candidate->began, steady_time::duration(1));
            if (candidate->is_closed)
                left -= candidate->bytes;
            else if (candidate->bytes > 0 && candidate->is_waiting)
                candidates.emplace_back(static_cast<double>(candidate->bytes) * static_cast<double>(age.count()),
                                        candidate);
        }
        std::ranges::sort(candidates, std::greater{}, [](const auto& candidate) { return candidate.first; });
        for (const auto& [weight, candidate] : candidates) {
            if (left <= static_cast<std::size_t>(static_cast<double>(this->limit) * budget_low_mark))
                return;
            note_refusal("memory_budget");
            left -= candidate->bytes;
            candidate->is_closed = true;
            ::shutdown(candidate->socket, SHUT_RDWR);
        }
    }

    const std::size_t limit;
    std::mutex mutex;
    std::set<entry*> entries;
    std::size_t total = 0;
};

namespace {

// One connection as the library reads it. The library reads lines byte by byte and bodies in blocks, which tells the
// two apart; a body's block of one byte counts as part of a line.
class bounded_stream : public httplib::Stream {
public:
    bounded_stream(socket_t socket, const client_limits& given_limits, const connection_load& server_load,
                   request_budget& shared_budget)
        : descriptor(socket), limits(given_limits), load(server_load), budget(shared_budget), usage{socket, {}}
    {
        this->budget.add(this->usage);
    }

    ~bounded_stream() override { this->budget.remove(this->usage); }

    bounded_stream(const bounded_stream&) = delete;
    bounded_stream& operator=(const bounded_stream&) = delete;

    [[nodiscard]] bool has_buffered_input() const { return this->next < this->end; }

    void begin_request(steady_time head_deadline)
    {
        this->budget.set_bytes(this->usage, 0, head_deadline);
        this->usage.began = read_steady_clock();
        this->deadline = head_deadline;
        this->crowded_deadline = head_deadline;
        this->is_head_complete = false;
        this->line_bytes = this->all_line_bytes = this->body_bytes = this->counted_bytes = 0;
        this->write_deadline.reset();
    }

    [[nodiscard]] bool is_readable() const override
    {
        return this->has_buffered_input() || wait_for_socket(this->descriptor, POLLIN, this->deadline);
    }

    [[nodiscard]] bool is_writable() const override
    {
        const steady_time until = this->write_deadline.value_or(read_steady_clock() + this->limits.write_timeout);
        pollfd state{this->descriptor, POLLOUT, 0};
        return wait_for_socket(this->descriptor, POLLOUT, until) && ::poll(&state, 1, 0) > 0 &&
               (state.revents & (POLLERR | POLLHUP)) == 0;
    }

    ssize_t read(char* target, std::size_t size) override
    {
        if (!this->has_buffered_input() && !this->fill())
            return -1;
        const std::size_t count = std::min(size, this->end - this->next);
        std::copy_n(this->buffer.data() + this->next, count, target);
        this->next += count;
        return this->count(target, count, size == 1) ? static_cast<ssize_t>(count) : -1;
    }

    ssize_t write(const char* source, std::size_t size) override
    {
        if (!this->write_deadline)
            this->write_deadline = read_steady_clock() + this->limits.write_timeout;
        for (;;) {
            const ssize_t sent = ::send(this->descriptor, source, size, MSG_DONTWAIT | MSG_NOSIGNAL);
            if (sent >= 0 || (errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR))
                return sent;
            if (!wait_for_socket(this->descriptor, POLLOUT, *this->write_deadline)) {
                note_refusal("write_timeout");
                return -1;
            }
        }
    }

    void get_remote_ip_and_port(std::string& ip, int& port) const override
    {
        sockaddr_storage address{};
        socklen_t length = sizeof(address);
        if (::getpeername(this->descriptor, reinterpret_cast<sockaddr*>(&address), &length) == 0)
            std::tie(ip, port) = describe_address(address, length);
    }

    void get_local_ip_and_port(std::string& ip, int& port) const override
    {
        sockaddr_storage address{};
        socklen_t length = sizeof(address);
        if (::getsockname(this->descriptor, reinterpret_cast<sockaddr*>(&address), &length) == 0)
            std::tie(ip, port) = describe_address(address, length);
    }

    [[nodiscard]] socket_t socket() const override { return this->descriptor; }

private:
    bool fill()
    {
        this->usage.is_waiting = true;
        const bool is_filled = this->receive();
        this->usage.is_waiting = false;
        return is_filled;
    }

    bool receive()
    {
        for (;;) {
            const steady_time now = read_steady_clock();
            const bool is_crowded = this->load.queued > 0 && now >= this->crowded_deadline;
            if (now >= this->deadline || is_crowded) {
                note_refusal(this->is_head_complete ? "body_timeout" : "header_timeout");
                return false;
            }
            if (!wait_for_socket(this->descriptor, POLLIN, std::min(this->deadline, now + idle_poll_interval)))
                continue;
            const ssize_t received = ::recv(this->descriptor, this->buffer.data(), this->buffer.size(), MSG_DONTWAIT);
            if (received > 0) {
                this->next = 0;
                this->end = static_cast<std::size_t>(received);
                return true;
            }
            if (received == 0 || (errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR))
                return false;
        }
    }

    // False when a limit is exceeded; the library then ends the connection.
    bool count(const char* text, std::size_t size, bool is_line)
    {
        if (is_line) {
            ++this->line_bytes;
            ++this->all_line_bytes;
            if (*text == '\n') {
                if (!this->is_head_complete && this->line_bytes <= 2) {
                    this->is_head_complete = true;
                    this->deadline = read_steady_clock() + this->limits.body_timeout;
                }
                this->line_bytes = 0;
            }
        }
        else
            this->body_bytes += size;
        const std::size_t line_limit =
            this->is_head_complete ? this->limits.head_bytes + wire_bytes_per_body_byte * this->limits.body_bytes
                                   : this->limits.head_bytes;
        if (this->line_bytes > this->limits.line_bytes || this->all_line_bytes > line_limit) {
            note_refusal(this->is_head_complete ? "line_too_long" : "header_too_large");
            return false;
        }
        if (this->body_bytes > this->limits.body_bytes) {
            note_refusal("body_too_large");
            return false;
        }
        const std::size_t held = this->line_bytes + this->body_bytes;
        if (held >= this->counted_bytes + budget_step_bytes) {
            this->counted_bytes = held;
            this->usage.is_waiting = true;
            this->budget.set_bytes(this->usage, held, read_steady_clock());
            this->usage.is_waiting = false;
        }
        return true;
    }

    socket_t descriptor;
    const client_limits& limits;
    const connection_load& load;
    request_budget& budget;
    request_budget::entry usage;
    std::array<char, read_buffer_bytes> buffer{};
    std::size_t next = 0; // Of the buffer's bytes that the library has not read yet.
    std::size_t end = 0;
    steady_time deadline;
    steady_time crowded_deadline;              // For the whole request, while another connection waits for the thread.
    std::optional<steady_time> write_deadline; // Set by the first write of a response.
    bool is_head_complete = false;
    std::size_t line_bytes = 0;     // Of the present line.
    std::size_t all_line_bytes = 0; // Of the present request.
    std::size_t body_bytes = 0;
    std::size_t counted_bytes = 0; // As the budget knows them.
};

} // namespace

// Gives the library bounded streams instead of its own.
class bounded_server : public httplib::Server {
public:
    bounded_server(client_limits given_limits, const connection_load& server_load)
        : limits(given_limits), load(server_load), budget(given_limits.held_bytes)
    {
    }

private:
    bool process_and_close_socket(socket_t socket) override
    {
        const dequeued_connection connection = current_connection();
        if (!connection.is_refused)
            this->serve(socket, connection.arrival);
        ::shutdown(socket, SHUT_RDWR);
        ::close(socket);
        return true;
    }

    void serve(socket_t socket, steady_time arrival)
    {
        bounded_stream stream(socket, this->limits, this->load, this->budget);
        for (std::size_t left = this->keep_alive_max_count_; left > 0; --left) {
            const bool is_first = left == this->keep_alive_max_count_;
            if (!this->wait_for_request(stream, is_first ? arrival : read_steady_clock()))
                return;
            const steady_time now = read_steady_clock();
            stream.begin_request(
                std::max((is_first ? arrival : now) + this->limits.head_timeout, now + crowded_idle_timeout));
            bool is_closed = false;
            if (!this->process_request(stream, left == 1, is_closed, nullptr) || is_closed)
                return;
        }
    }

    // False when the connection idles for too long or the server stops.
    bool wait_for_request(const bounded_stream& stream, steady_time begin)
    {
        if (stream.has_buffered_input())
            return true;
        const steady_time now = read_steady_clock();
        const steady_time deadline =
            std::max(begin + std::chrono::seconds(this->keep_alive_timeout_sec_), now + min_first_wait);
        const steady_time crowded_deadline =
            std::max(std::min(begin + this->limits.head_timeout, now + crowded_idle_timeout), now + min_first_wait);
        while (this->svr_sock_ != INVALID_SOCKET) {
            const steady_time time = read_steady_clock();
            if (wait_for_socket(stream.socket(), POLLIN, std::min(time + idle_poll_interval, deadline)))
                return true;
            if (time >= deadline)
                return false;
            if (this->load.queued > 0 && time >= crowded_deadline) {
                note_refusal("idle_evicted");
                return false;
            }
        }
        return false;
    }

    const client_limits limits;
    const connection_load& load;
    request_budget budget;
};

http_server::http_server(std::size_t threads, client_limits limits)
    : threads(threads), server(std::make_unique<bounded_server>(limits, this->load))
{
    this->server->new_task_queue = [this] { return new counting_task_queue(this->threads, this->load); };
    this->server->set_tcp_nodelay(true);
    this->server->set_payload_max_length(limits.body_bytes);
    // By default cpp-httplib also sets SO_REUSEPORT, which would let two processes share a port unnoticed.
    this->server->set_socket_options([](socket_t socket) {
        const int enabled = 1;
        setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof(enabled));
    });
}

httplib::Server& http_server::routes()
{
    return *this->server;
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
        bound.port = this->server->bind_to_any_port(bound.host);
    }
    else if (!this->server->bind_to_port(bound.host, bound.port)) {
        bound.port = -1;
    }
    if (bound.port < 0)
        throw error(error_kind::internal, "cannot listen on " + std::string(address));
    this->listener = std::thread([this] { this->server->listen_after_bind(); });
    while (!this->server->is_running())
        std::this_thread::yield();
    return bound.port;
}

void http_server::stop()
{
    if (!this->listener.joinable())
        return;
    this->server->stop();
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
