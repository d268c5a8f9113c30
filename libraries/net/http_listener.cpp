// Boost.Beast behind the listener: one session a connection, one request at a time in it.

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

// Bounds the write of an answer to a caller that does not read.
constexpr milliseconds write_timeout{10'000};

std::string read_text(const http::request<http::string_body>& request, http::field name)
{
    const auto value = request[name];
    return {value.data(), value.size()};
}

milliseconds read_deadline(const http::request<http::string_body>& request)
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
    acceptor(asio::io_context& event_loop, listener_limits bounds, request_handler request_taker)
        : limits(bounds), handler(std::move(request_taker)), socket(event_loop)
    {
    }

    int start(const std::string& address);
    void stop();
    [[nodiscard]] std::size_t in_flight() const { return this->unanswered; }

private:
    struct session {
        explicit session(asio::ip::tcp::socket socket) : stream(std::move(socket)) {}

        beast::tcp_stream stream;
        beast::flat_buffer buffer;
        std::unique_ptr<http::request_parser<http::string_body>> parser;
        http::response<http::string_body> response;
        bool is_between_requests = true;
    };

    using session_pointer = std::shared_ptr<session>;

    void accept();
    void read(const session_pointer& link);
    void take(const session_pointer& link);
    void answer(const session_pointer& link, outgoing_reply reply, bool keep_alive);
    void close(const session_pointer& link);

    listener_limits limits;
    request_handler handler;
    asio::ip::tcp::acceptor socket;
    std::set<session_pointer> sessions; // At most limits.connections.
    std::size_t unanswered = 0;
    bool is_stopping = false;
};

int http_listener::acceptor::start(const std::string& address)
{
    const host_port bound = parse_address(address);
    const asio::ip::tcp::endpoint endpoint(asio::ip::make_address(bound.host), static_cast<std::uint16_t>(bound.port));
    this->socket.open(endpoint.protocol());
    this->socket.set_option(asio::socket_base::reuse_address(true));
    this->socket.bind(endpoint);
    this->socket.listen();
    this->accept();
    return this->socket.local_endpoint().port();
}

void http_listener::acceptor::accept()
{
    this->socket.async_accept(
        [self = this->shared_from_this()](const error_code& reason, asio::ip::tcp::socket socket) {
            if (self->is_stopping)
                return;
            if (reason)
                process_metrics().count("wigeon_accept_failures_total");
            else if (self->sessions.size() >= self->limits.connections)
                count_refusal("connections");
            else {
                error_code ignored; // Without the option answers are slower, not wrong.
                socket.set_option(asio::ip::tcp::no_delay(true), ignored);
                auto link = std::make_shared<session>(std::move(socket));
                self->sessions.insert(link);
                self->read(link);
            }
            self->accept();
        });
}

void http_listener::acceptor::read(const session_pointer& link)
{
    link->is_between_requests = true;
    link->parser = std::make_unique<http::request_parser<http::string_body>>();
    link->parser->header_limit(static_cast<std::uint32_t>(this->limits.header_bytes));
    link->parser->body_limit(this->limits.body_bytes);
    link->stream.expires_after(this->limits.idle_timeout);
    http::async_read(link->stream, link->buffer, *link->parser,
                     [self = this->shared_from_this(), link](const error_code& reason, std::size_t) {
                         if (!reason) {
                             self->take(link);
                             return;
                         }
                         if (reason == http::error::body_limit || reason == http::error::header_limit) {
                             count_refusal("body_too_large");
                             ++self->unanswered;
                             self->answer(link, {413, R"({"error":"the request is too large"})", 0}, false);
                             return;
                         }
                         self->close(link);
                     });
}

void http_listener::acceptor::take(const session_pointer& link)
{
    link->is_between_requests = false;
    http::request<http::string_body> request = link->parser->release();
    link->stream.expires_never();
    ++this->unanswered;
    incoming_request taken;
    taken.method = std::string(request.method_string());
    taken.target = std::string(request.target());
    taken.host = read_text(request, http::field::host);
    taken.authorization = read_text(request, http::field::authorization);
    taken.deadline = read_deadline(request);
    taken.arrived = boot_clock::now();
    taken.body = std::move(request.body());
    const bool keep_alive = request.keep_alive();
    this->handler(std::move(taken), [self = this->shared_from_this(), link, keep_alive](outgoing_reply reply) {
        self->answer(link, std::move(reply), keep_alive);
    });
}

void http_listener::acceptor::answer(const session_pointer& link, outgoing_reply reply, bool keep_alive)
{
    link->response = {};
    link->response.version(11);
    link->response.result(static_cast<unsigned>(reply.status));
    link->response.set(http::field::content_type, "application/json");
    if (reply.retry_after_s > 0)
        link->response.set(http::field::retry_after, std::to_string(reply.retry_after_s));
    const bool is_kept = keep_alive && !this->is_stopping;
    link->response.keep_alive(is_kept);
    link->response.body() = std::move(reply.body);
    link->response.prepare_payload();
    link->stream.expires_after(write_timeout);
    http::async_write(link->stream, link->response,
                      [self = this->shared_from_this(), link, is_kept](const error_code& reason, std::size_t) {
                          --self->unanswered;
                          if (reason)
                              process_metrics().count("wigeon_answers_undelivered_total");
                          if (!reason && is_kept)
                              self->read(link);
                          else
                              self->close(link);
                      });
}

void http_listener::acceptor::close(const session_pointer& link)
{
    error_code ignored; // The peer may have closed first.
    link->stream.socket().shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
    link->stream.close();
    this->sessions.erase(link);
}

void http_listener::acceptor::stop()
{
    this->is_stopping = true;
    error_code ignored; // Closing twice is no failure.
    this->socket.close(ignored);
    // A connection whose request has begun to arrive is left to its reader.
    const std::set<session_pointer> open = this->sessions;
    for (const session_pointer& link : open) {
        if (link->is_between_requests && link->buffer.size() == 0 && !link->parser->got_some())
            this->close(link);
    }
}

http_listener::http_listener(asio::io_context& loop, listener_limits limits, request_handler handler)
    : state(std::make_shared<acceptor>(loop, limits, std::move(handler)))
{
}

http_listener::~http_listener()
{
    this->state->stop();
}

int http_listener::start(const std::string& address)
{
    return this->state->start(address);
}

void http_listener::stop()
{
    this->state->stop();
}

std::size_t http_listener::in_flight() const
{
    return this->state->in_flight();
}

} // namespace wigeon
