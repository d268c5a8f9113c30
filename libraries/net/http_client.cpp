// Boost.Beast behind the client. A connection carries one call at a time.

#include "net/http_client.h"

#include <sys/socket.h>
#include <utility>

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

#include "base/address.h"
#include "base/error_kind.h"

namespace wigeon {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using boost::system::error_code;

// Larger than the largest page that the store answers with (1 MB of records and their framing).
constexpr std::uint64_t reply_body_limit = 8ULL * 1024 * 1024;

} // namespace

class http_client::pool : public std::enable_shared_from_this<pool> {
public:
    pool(asio::io_context& event_loop, asio::ip::tcp::endpoint peer_endpoint, connection_limits connection_bounds)
        : loop(event_loop), peer(std::move(peer_endpoint)), limits(connection_bounds)
    {
    }

    void call(outgoing_request request, milliseconds limit, call_handler done);

private:
    struct connection {
        explicit connection(asio::io_context& event_loop) : stream(event_loop) {}

        beast::tcp_stream stream;
        beast::flat_buffer buffer;
        http::request<http::string_body> request;
        std::unique_ptr<http::response_parser<http::string_body>> parser;
        call_handler done;
        boot_time opened;
        boot_time last_used;
        milliseconds limit{0};
    };

    using connection_pointer = std::shared_ptr<connection>;

    [[nodiscard]] connection_pointer take_idle();
    void open(const connection_pointer& link);
    void send(const connection_pointer& link);
    void receive(const connection_pointer& link);
    void finish(const connection_pointer& link);
    void fail(const connection_pointer& link, call_outcome outcome, const error_code& reason);

    asio::io_context& loop;
    asio::ip::tcp::endpoint peer;
    connection_limits limits;
    std::vector<connection_pointer> idle; // Oldest use first.
};

// Returns a kept connection that the peer has not closed, or nothing.
http_client::pool::connection_pointer http_client::pool::take_idle()
{
    const boot_time now = boot_clock::now();
    while (!this->idle.empty()) {
        connection_pointer link = std::move(this->idle.back());
        this->idle.pop_back();
        if (now - link->last_used > this->limits.idle_limit)
            continue;
        char probe = 0;
        const ssize_t seen = ::recv(link->stream.socket().native_handle(), &probe, 1, MSG_PEEK | MSG_DONTWAIT);
        const bool is_open = seen < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
        if (is_open)
            return link;
    }
    return nullptr;
}

void http_client::pool::call(outgoing_request request, milliseconds limit, call_handler done)
{
    connection_pointer link = this->take_idle();
    const bool is_kept = link != nullptr;
    if (!is_kept)
        link = std::make_shared<connection>(this->loop);
    link->request = {};
    link->request.method_string(request.method);
    link->request.target(request.target);
    link->request.version(11);
    link->request.set(http::field::host, this->peer.address().to_string() + ":" + std::to_string(this->peer.port()));
    for (const http_header& header : request.headers)
        link->request.set(header.name, header.value);
    link->request.body() = std::move(request.body);
    link->request.prepare_payload();
    link->done = std::move(done);
    link->limit = limit;
    if (is_kept)
        this->send(link);
    else
        this->open(link);
}

void http_client::pool::open(const connection_pointer& link)
{
    link->opened = boot_clock::now();
    link->stream.expires_after(this->limits.connect_timeout);
    link->stream.async_connect(this->peer, [self = this->shared_from_this(), link](const error_code& reason) {
        if (reason) {
            self->fail(link, call_outcome::not_sent, reason);
            return;
        }
        error_code ignored; // Without the option the call is slower, not wrong.
        link->stream.socket().set_option(asio::ip::tcp::no_delay(true), ignored);
        self->send(link);
    });
}

void http_client::pool::send(const connection_pointer& link)
{
    link->stream.expires_after(link->limit);
    http::async_write(link->stream, link->request,
                      [self = this->shared_from_this(), link](const error_code& reason, std::size_t) {
                          if (reason)
                              self->fail(link, call_outcome::unknown, reason);
                          else
                              self->receive(link);
                      });
}

void http_client::pool::receive(const connection_pointer& link)
{
    link->parser = std::make_unique<http::response_parser<http::string_body>>();
    link->parser->body_limit(reply_body_limit);
    http::async_read(link->stream, link->buffer, *link->parser,
                     [self = this->shared_from_this(), link](const error_code& reason, std::size_t) {
                         if (reason)
                             self->fail(link, call_outcome::unknown, reason);
                         else
                             self->finish(link);
                     });
}

void http_client::pool::finish(const connection_pointer& link)
{
    http::response<http::string_body> response = link->parser->release();
    call_handler done = std::move(link->done);
    link->done = nullptr;
    if (response.keep_alive()) {
        link->stream.expires_never();
        link->last_used = boot_clock::now();
        this->idle.push_back(link);
    }
    done({call_outcome::answered, static_cast<int>(response.result_int()), std::move(response.body())});
}

void http_client::pool::fail(const connection_pointer& link, call_outcome outcome, const error_code& reason)
{
    if (reason == beast::error::timeout) {
        // Kept connections that are older than the failed call may have lost their path as well.
        std::erase_if(this->idle, [&](const connection_pointer& kept) { return kept->opened <= link->opened; });
    }
    link->stream.close();
    call_handler done = std::move(link->done);
    link->done = nullptr;
    done({outcome, 0, reason.message()});
}

http_client::http_client(asio::io_context& loop, const std::string& address, connection_limits limits)
{
    const host_port peer = parse_address(address);
    error_code reason;
    const auto ip = asio::ip::make_address(peer.host, reason);
    if (reason)
        throw error(error_kind::malformed_request, "not an IP address: " + peer.host);
    this->connections =
        std::make_shared<pool>(loop, asio::ip::tcp::endpoint(ip, static_cast<std::uint16_t>(peer.port)), limits);
}

http_client::~http_client() = default;

void http_client::call(outgoing_request request, milliseconds limit, call_handler done)
{
    this->connections->call(std::move(request), limit, std::move(done));
}

} // namespace wigeon
