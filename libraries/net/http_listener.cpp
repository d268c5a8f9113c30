// HTTP server on Boost.Beast. Each connection has a session, which handles one request at a time.

#include "net/http_listener.h"

#include <algorithm>
#include <charconv>
#include <set>
#include <utility>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

#include "base/address.h"
#include "base/logging.h"
#include "base/metrics.h"

namespace wigeon {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using boost::system::error_code;

// Added to the head's limit for the read buffer: a head beyond its limit is refused before the buffer is full.
constexpr std::size_t read_buffer_allowance = 16'384;
constexpr std::size_t min_read_bytes = 1'024; // Idle connections hold no more than this.
constexpr std::size_t max_read_bytes = 16'384;

// A body in chunks of one byte has six bytes on the wire for each of its own.
constexpr std::size_t wire_bytes_per_body_byte = 8;

// Once the budget is used up, connections are closed until this share of it is left in use.
constexpr double budget_low_mark = 0.875;

// The system has no descriptor for a connection: accepting it at once would fail again.
constexpr milliseconds accept_pause{50};

// A connection that idles for less may carry a request soon.
constexpr milliseconds min_evicted_idle_time{500};

constexpr milliseconds refusal_log_interval{1'000};

constexpr int status_malformed = 400;
constexpr int status_too_large = 413;

std::string read_header(const http::request<http::string_body>& request, http::field name)
{
    const auto value = request[name];
    return {value.data(), value.size()};
}

milliseconds read_timeout(const http::request<http::string_body>& request)
{
    const auto value = request["Deadline-Ms"];
    long count = 0;
    const auto [end, failure] = std::from_chars(value.data(), value.data() + value.size(), count);
    if (failure != std::errc() || count < 0)
        return milliseconds(0);
    return milliseconds(count);
}

} // namespace

class http_listener::acceptor : public std::enable_shared_from_this<acceptor> {
public:
    acceptor(asio::io_context& event_loop, listener_limits bounds, request_handler request_callback)
        : limits(bounds), handler(std::move(request_callback)), listening_socket(event_loop), accept_timer(event_loop)
    {
    }

    int start(const std::string& address);
    void stop();
    [[nodiscard]] std::size_t in_flight() const { return this->in_flight_count; }

private:
    struct http_session {
        http_session(asio::ip::tcp::socket socket, std::size_t buffer_limit)
            : stream(std::move(socket)), buffer(buffer_limit)
        {
        }

        beast::tcp_stream stream;
        beast::flat_buffer buffer;
        std::unique_ptr<http::request_parser<http::string_body>> parser;
        http::response<http::string_body> response;
        bool is_between_requests = true;
        bool is_handled = false;        // A handler has the request and will reply.
        bool is_head_complete = false;  // Of the request that is being read.
        std::size_t received_bytes = 0; // Of the request that is being read.
        std::size_t held_bytes = 0;     // Part of the budget.
        boot_time phase_began;          // Since when the connection idles, reads a request or writes a response.
    };

    using session_pointer = std::shared_ptr<http_session>;

    void accept();
    void pause_accepting();
    [[nodiscard]] bool make_room();
    void read(const session_pointer& session);
    void read_some(const session_pointer& session);
    void take_input(const session_pointer& session, std::size_t byte_count);
    void refuse(const session_pointer& session, int status, std::string_view reason);
    void close_for(const session_pointer& session, std::string_view reason);
    void note_refusal(const session_pointer& session, std::string_view reason);
    void hold(const session_pointer& session, std::size_t byte_count);
    void enforce_budget();
    void handle_request(const session_pointer& session);
    void answer(const session_pointer& session, outgoing_reply reply, bool keep_alive);
    void close(const session_pointer& session);

    listener_limits limits;
    request_handler handler;
    asio::ip::tcp::acceptor listening_socket;
    asio::steady_timer accept_timer;
    std::set<session_pointer> sessions; // At most limits.connections.
    std::size_t held_bytes = 0;         // Sum over the sessions; see enforce_budget().
    boot_time last_refusal_line;
    std::uint64_t unlogged_refusals = 0; // Since the last line.
    std::size_t in_flight_count = 0;
    bool is_stopping = false;
};

int http_listener::acceptor::start(const std::string& address)
{
    const host_port bound = parse_address(address);
    const asio::ip::tcp::endpoint endpoint(asio::ip::make_address(bound.host), static_cast<std::uint16_t>(bound.port));
    this->listening_socket.open(endpoint.protocol());
    this->listening_socket.set_option(asio::socket_base::reuse_address(true));
    this->listening_socket.bind(endpoint);
    this->listening_socket.listen();
    this->accept();
    return this->listening_socket.local_endpoint().port();
}

void http_listener::acceptor::accept()
{
    this->listening_socket.async_accept([self = this->shared_from_this()](const error_code& reason,
                                                                          asio::ip::tcp::socket socket) {
        if (self->is_stopping)
            return;
        if (reason) {
            process_metrics().count("wigeon_accept_failures_total");
            static_cast<void>(self->make_room());
            self->pause_accepting();
            return;
        }
        if (self->sessions.size() >= self->limits.connections && !self->make_room())
            count_refusal("connections");
        else {
            error_code ignored; // Without TCP_NODELAY responses are only slower.
            socket.set_option(asio::ip::tcp::no_delay(true), ignored);
            auto session =
                std::make_shared<http_session>(std::move(socket), self->limits.header_bytes + read_buffer_allowance);
            self->sessions.insert(session);
            self->read(session);
        }
        self->accept();
    });
}

void http_listener::acceptor::pause_accepting()
{
    this->accept_timer.expires_after(accept_pause);
    this->accept_timer.async_wait([self = this->shared_from_this()](const error_code& reason) {
        if (!reason && !self->is_stopping)
            self->accept();
    });
}

// Closes the connection that has been without a request for the longest time; false when there is none to close.
bool http_listener::acceptor::make_room()
{
    const boot_time now = boot_clock::now();
    session_pointer longest;
    for (const session_pointer& session : this->sessions) {
        if (session->is_between_requests && session->received_bytes == 0 &&
            now - session->phase_began >= min_evicted_idle_time &&
            (longest == nullptr || session->phase_began < longest->phase_began))
            longest = session;
    }
    if (longest == nullptr)
        return false;
    this->close_for(longest, "idle_evicted");
    return true;
}

void http_listener::acceptor::read(const session_pointer& session)
{
    session->is_between_requests = true;
    session->is_head_complete = false;
    session->received_bytes = 0;
    session->phase_began = boot_clock::now();
    session->parser = std::make_unique<http::request_parser<http::string_body>>();
    session->parser->header_limit(static_cast<std::uint32_t>(this->limits.header_bytes));
    session->parser->body_limit(this->limits.body_bytes);
    session->parser->eager(true);
    session->stream.expires_after(this->limits.idle_timeout);
    if (session->buffer.size() > 0) {
        this->take_input(session, session->buffer.size()); // Sent together with the request before.
        return;
    }
    session->buffer.shrink_to_fit();
    this->hold(session, 0);
    this->read_some(session);
}

void http_listener::acceptor::read_some(const session_pointer& session)
{
    const std::size_t room = session->buffer.max_size() - session->buffer.size();
    if (room == 0) {
        this->refuse(session, status_too_large, "line_too_long");
        return;
    }
    const std::size_t wanted = std::clamp(session->received_bytes, min_read_bytes, max_read_bytes);
    session->stream.async_read_some(
        session->buffer.prepare(std::min(room, wanted)),
        [self = this->shared_from_this(), session](const error_code& reason, std::size_t byte_count) {
            if (!self->sessions.contains(session))
                return; // Closed meanwhile.
            if (reason == beast::error::timeout && session->received_bytes > 0) {
                self->close_for(session, session->is_head_complete ? "body_timeout" : "header_timeout");
                return;
            }
            if (reason) {
                self->close(session);
                return;
            }
            session->buffer.commit(byte_count);
            self->take_input(session, byte_count);
        });
}

// Parses what the buffer holds, of which the last bytes are new.
void http_listener::acceptor::take_input(const session_pointer& session, std::size_t byte_count)
{
    if (session->received_bytes == 0) {
        session->phase_began = boot_clock::now();
        session->stream.expires_after(this->limits.header_timeout);
    }
    session->received_bytes += byte_count;
    error_code reason;
    std::size_t consumed = 1;
    while (!reason && consumed > 0 && session->buffer.size() > 0 && !session->parser->is_done()) {
        consumed = session->parser->put(session->buffer.data(), reason);
        session->buffer.consume(consumed);
    }
    if (reason == http::error::need_more)
        reason = {};
    if (reason == http::error::body_limit || reason == http::error::header_limit) {
        this->refuse(session, status_too_large, "body_too_large");
        return;
    }
    if (reason) {
        this->refuse(session, status_malformed, "malformed");
        return;
    }
    if (session->parser->is_done()) {
        this->handle_request(session);
        return;
    }
    const std::size_t wire_limit = session->buffer.max_size() + wire_bytes_per_body_byte * this->limits.body_bytes;
    if (session->received_bytes > wire_limit) {
        this->refuse(session, status_too_large, "request_too_large");
        return;
    }
    if (!session->is_head_complete && session->parser->is_header_done()) {
        session->is_head_complete = true;
        session->stream.expires_after(this->limits.idle_timeout);
    }
    this->hold(session, session->buffer.capacity() + session->parser->get().body().capacity());
    this->enforce_budget();
    if (this->sessions.contains(session))
        this->read_some(session);
}

void http_listener::acceptor::refuse(const session_pointer& session, int status, std::string_view reason)
{
    this->note_refusal(session, reason);
    session->is_between_requests = false;
    ++this->in_flight_count;
    session->parser = nullptr;
    this->answer(session,
                 {status,
                  status == status_too_large ? R"({"error":"the request is too large"})"
                                             : R"({"error":"the request is malformed"})",
                  0},
                 false);
}

void http_listener::acceptor::close_for(const session_pointer& session, std::string_view reason)
{
    this->note_refusal(session, reason);
    this->close(session);
}

void http_listener::acceptor::note_refusal(const session_pointer& session, std::string_view reason)
{
    count_refusal(reason);
    ++this->unlogged_refusals;
    const boot_time now = boot_clock::now();
    if (now - this->last_refusal_line < refusal_log_interval)
        return;
    error_code ignored; // The peer may be gone, so that its address is unknown.
    const asio::ip::tcp::endpoint peer = session->stream.socket().remote_endpoint(ignored);
    log_event("client_refused", {{"reason", std::string(reason)},
                                 {"peer", peer.address().to_string()},
                                 {"received_bytes", std::to_string(session->received_bytes)},
                                 {"held_bytes", std::to_string(this->held_bytes)},
                                 {"refusals_since_last_line", std::to_string(this->unlogged_refusals)}});
    this->last_refusal_line = now;
    this->unlogged_refusals = 0;
}

void http_listener::acceptor::hold(const session_pointer& session, std::size_t byte_count)
{
    this->held_bytes += byte_count - session->held_bytes;
    session->held_bytes = byte_count;
}

// Closes the connections with the largest product of held bytes and time. Requests that a handler has are not closed:
// their memory stays in use until the reply.
void http_listener::acceptor::enforce_budget()
{
    if (this->held_bytes <= this->limits.held_bytes)
        return;
    const boot_time now = boot_clock::now();
    std::vector<std::pair<double, session_pointer>> candidates;
    for (const session_pointer& session : this->sessions) {
        const auto age = std::max(now - session->phase_began, boot_time::duration(1));
        if (!session->is_handled && session->held_bytes > 0)
            candidates.emplace_back(static_cast<double>(session->held_bytes) * static_cast<double>(age.count()),
                                    session);
    }
    std::ranges::sort(candidates, std::greater{}, [](const auto& candidate) { return candidate.first; });
    const auto low_mark = static_cast<std::size_t>(static_cast<double>(this->limits.held_bytes) * budget_low_mark);
    for (const auto& [weight, session] : candidates) {
        if (this->held_bytes <= low_mark)
            return;
        this->close_for(session, "memory_budget");
    }
}

void http_listener::acceptor::handle_request(const session_pointer& session)
{
    session->is_between_requests = false;
    session->is_handled = true;
    http::request<http::string_body> request = session->parser->release();
    session->parser = nullptr;
    this->hold(session, session->buffer.capacity() + request.body().capacity());
    session->stream.expires_never();
    ++this->in_flight_count;
    incoming_request incoming;
    incoming.method = std::string(request.method_string());
    incoming.target = std::string(request.target());
    incoming.host = read_header(request, http::field::host);
    incoming.authorization = read_header(request, http::field::authorization);
    incoming.timeout = read_timeout(request);
    incoming.arrived = boot_clock::now();
    incoming.body = std::move(request.body());
    const bool keep_alive = request.keep_alive();
    this->handler(std::move(incoming), [self = this->shared_from_this(), session, keep_alive](outgoing_reply reply) {
        self->answer(session, std::move(reply), keep_alive);
    });
}

void http_listener::acceptor::answer(const session_pointer& session, outgoing_reply reply, bool keep_alive)
{
    session->is_handled = false;
    session->phase_began = boot_clock::now();
    session->response = {};
    session->response.version(11);
    session->response.result(static_cast<unsigned>(reply.status));
    session->response.set(http::field::content_type, "application/json");
    if (reply.retry_after_s > 0)
        session->response.set(http::field::retry_after, std::to_string(reply.retry_after_s));
    const bool is_persistent = keep_alive && !this->is_stopping;
    session->response.keep_alive(is_persistent);
    session->response.body() = std::move(reply.body);
    session->response.prepare_payload();
    this->hold(session, session->buffer.capacity() + session->response.body().capacity());
    session->stream.expires_after(this->limits.write_timeout);
    http::async_write(session->stream, session->response,
                      [self = this->shared_from_this(), session, is_persistent](const error_code& reason, std::size_t) {
                          --self->in_flight_count;
                          session->response = {};
                          if (reason == beast::error::timeout)
                              self->note_refusal(session, "write_timeout");
                          if (reason)
                              process_metrics().count("wigeon_answers_undelivered_total");
                          if (!reason && is_persistent && self->sessions.contains(session))
                              self->read(session);
                          else
                              self->close(session);
                      });
    this->enforce_budget();
}

void http_listener::acceptor::close(const session_pointer& session)
{
    if (this->sessions.erase(session) == 0)
        return; // Closed already.
    this->hold(session, 0);
    error_code ignored; // The peer may have closed the connection first.
    session->stream.socket().shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
    session->stream.close();
}

void http_listener::acceptor::stop()
{
    this->is_stopping = true;
    error_code ignored; // The socket may be closed already.
    this->listening_socket.close(ignored);
    this->accept_timer.cancel();
    // A connection with a partly received request stays open, so that the request is still answered.
    const std::set<session_pointer> open = this->sessions;
    for (const session_pointer& session : open) {
        if (session->is_between_requests && session->received_bytes == 0)
            this->close(session);
    }
}

http_listener::http_listener(asio::io_context& loop, listener_limits limits, request_handler handler)
    : implementation(std::make_shared<acceptor>(loop, limits, std::move(handler)))
{
}

http_listener::~http_listener()
{
    this->implementation->stop();
}

int http_listener::start(const std::string& address)
{
    return this->implementation->start(address);
}

void http_listener::stop()
{
    this->implementation->stop();
}

std::size_t http_listener::in_flight() const
{
    return this->implementation->in_flight();
}

} // namespace wigeon
