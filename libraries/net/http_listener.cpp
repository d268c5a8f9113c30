// HTTP server on Boost.Beast. Each connection has a session, which handles one request at a time.

#include "net/http_listener.h"

#include <charconv>
#include <set>
#include <utility>

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

#include "base/address.h"
#include "base/metrics.h"

namespace wigeon {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using boost::system::error_code;

// Bounds the write of a response to a caller that does not read.
constexpr milliseconds write_timeout{10'000};

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
        : limits(bounds), handler(std::move(request_callback)), listening_socket(event_loop)
    {
    }

    int start(const std::string& address);
    void stop();
    [[nodiscard]] std::size_t in_flight() const { return this->in_flight_count; }

private:
    struct http_session {
        explicit http_session(asio::ip::tcp::socket socket) : stream(std::move(socket)) {}

        beast::tcp_stream stream;
        beast::flat_buffer buffer;
        std::unique_ptr<http::request_parser<http::string_body>> parser;
        http::response<http::string_body> response;
        bool is_between_requests = true;
    };

    using session_pointer = std::shared_ptr<http_session>;

    void accept();
    void read(const session_pointer& session);
    void handle_request(const session_pointer& session);
    void answer(const session_pointer& session, outgoing_reply reply, bool keep_alive);
    void close(const session_pointer& session);

    listener_limits limits;
    request_handler handler;
    asio::ip::tcp::acceptor listening_socket;
    std::set<session_pointer> sessions; // At most limits.connections.
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
    this->listening_socket.async_accept(
        [self = this->shared_from_this()](const error_code& reason, asio::ip::tcp::socket socket) {
            if (self->is_stopping)
                return;
            if (reason)
                process_metrics().count("wigeon_accept_failures_total");
            else if (self->sessions.size() >= self->limits.connections)
                count_refusal("connections");
            else {
                error_code ignored; // Without TCP_NODELAY responses are only slower.
                socket.set_option(asio::ip::tcp::no_delay(true), ignored);
                auto session = std::make_shared<http_session>(std::move(socket));
                self->sessions.insert(session);
                self->read(session);
            }
            self->accept();
        });
}

void http_listener::acceptor::read(const session_pointer& session)
{
    session->is_between_requests = true;
    session->parser = std::make_unique<http::request_parser<http::string_body>>();
    session->parser->header_limit(static_cast<std::uint32_t>(this->limits.header_bytes));
    session->parser->body_limit(this->limits.body_bytes);
    session->stream.expires_after(this->limits.idle_timeout);
    http::async_read(session->stream, session->buffer, *session->parser,
                     [self = this->shared_from_this(), session](const error_code& reason, std::size_t) {
                         if (!reason) {
                             self->handle_request(session);
                             return;
                         }
                         if (reason == http::error::body_limit || reason == http::error::header_limit) {
                             count_refusal("body_too_large");
                             ++self->in_flight_count;
                             self->answer(session, {413, R"({"error":"the request is too large"})", 0}, false);
                             return;
                         }
                         self->close(session);
                     });
}

void http_listener::acceptor::handle_request(const session_pointer& session)
{
    session->is_between_requests = false;
    http::request<http::string_body> request = session->parser->release();
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
    session->stream.expires_after(write_timeout);
    http::async_write(session->stream, session->response,
                      [self = this->shared_from_this(), session, is_persistent](const error_code& reason, std::size_t) {
                          --self->in_flight_count;
                          if (reason)
                              process_metrics().count("wigeon_answers_undelivered_total");
                          if (!reason && is_persistent)
                              self->read(session);
                          else
                              self->close(session);
                      });
}

void http_listener::acceptor::close(const session_pointer& session)
{
    error_code ignored; // The peer may have closed the connection first.
    session->stream.socket().shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
    session->stream.close();
    this->sessions.erase(session);
}

void http_listener::acceptor::stop()
{
    this->is_stopping = true;
    error_code ignored; // The socket may be closed already.
    this->listening_socket.close(ignored);
    // A connection with a partly received request stays open, so that the request is still answered.
    const std::set<session_pointer> open = this->sessions;
    for (const session_pointer& session : open) {
        if (session->is_between_requests && session->buffer.size() == 0 && !session->parser->got_some())
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
