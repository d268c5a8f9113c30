// HTTP client on Boost.Beast. A connection carries one call at a time.

#include "net/http_client.h"

#include <algorithm>
#include <sys/socket.h>
#include <utility>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

#include "net/ip_endpoint.h"

namespace wigeon {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using boost::system::error_code;

// Larger than the largest page of the store (1 MB of records and their framing).
constexpr std::uint64_t reply_body_limit = 8ULL * 1024 * 1024;

// Bounds what the body's limit does not cover: the head, a chunk extension and the trailers of a response.
constexpr std::size_t read_buffer_limit = std::size_t{128} * 1024;

} // namespace

class http_client::pool : public std::enable_shared_from_this<pool> {
public:
    pool(asio::io_context& event_loop, asio::ip::tcp::endpoint peer_endpoint, connection_limits connection_bounds)
        : loop(event_loop), peer(std::move(peer_endpoint)), limits(connection_bounds)
    {
    }

    void call(outgoing_request request, milliseconds timeout, call_handler done);
    bool mark_connection(std::uint64_t number, std::uint64_t mark);
    [[nodiscard]] bool has_marked_connection(std::uint64_t mark);
    void call_marked(std::uint64_t mark, outgoing_request request, milliseconds timeout, call_handler done);

private:
    struct http_connection {
        explicit http_connection(asio::io_context& event_loop) : stream(event_loop) {}

        beast::tcp_stream stream;
        beast::flat_buffer buffer{read_buffer_limit};
        http::request<http::string_body> request;
        std::unique_ptr<http::response_parser<http::string_body>> parser;
        call_handler done;
        std::uint64_t number = 0; // Unique within the pool.
        std::uint64_t mark = 0;   // 0: none.
        boot_time opened;
        boot_time last_used;
        milliseconds timeout{0};
    };

    using connection_pointer = std::shared_ptr<http_connection>;

    [[nodiscard]] bool is_usable(const connection_pointer& connection) const;
    [[nodiscard]] connection_pointer take_idle();
    [[nodiscard]] connection_pointer take_marked(std::uint64_t mark);
    void prepare(const connection_pointer& connection, outgoing_request request, milliseconds timeout,
                 call_handler done);
    void open(const connection_pointer& connection);
    void send(const connection_pointer& connection);
    void receive(const connection_pointer& connection);
    void finish(const connection_pointer& connection);
    void fail(const connection_pointer& connection, call_outcome outcome, const error_code& reason);

    asio::io_context& loop;
    asio::ip::tcp::endpoint peer;
    connection_limits limits;
    std::vector<connection_pointer> idle; // Least recently used first.
    std::uint64_t opened_count = 0;
};

// Whether the connection was not idle for too long and the peer has not closed it.
bool http_client::pool::is_usable(const connection_pointer& connection) const
{
    if (boot_clock::now() - connection->last_used > this->limits.idle_timeout)
        return false;
    char peeked_byte = 0;
    const ssize_t peeked =
        ::recv(connection->stream.socket().native_handle(), &peeked_byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return peeked < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

// Returns a usable idle connection, or null.
http_client::pool::connection_pointer http_client::pool::take_idle()
{
    while (!this->idle.empty()) {
        connection_pointer connection = std::move(this->idle.back());
        this->idle.pop_back();
        if (this->is_usable(connection))
            return connection;
    }
    return nullptr;
}

// Returns a usable idle connection with the mark, or null. Closes those with the mark that are not usable.
http_client::pool::connection_pointer http_client::pool::take_marked(std::uint64_t mark)
{
    for (auto next = this->idle.end(); next != this->idle.begin();) {
        --next;
        if ((*next)->mark != mark)
            continue;
        connection_pointer connection = std::move(*next);
        next = this->idle.erase(next);
        if (this->is_usable(connection))
            return connection;
    }
    return nullptr;
}

bool http_client::pool::mark_connection(std::uint64_t number, std::uint64_t mark)
{
    const auto found =
        std::ranges::find_if(this->idle, [number](const connection_pointer& c) { return c->number == number; });
    if (found == this->idle.end())
        return false;
    (*found)->mark = mark;
    return true;
}

bool http_client::pool::has_marked_connection(std::uint64_t mark)
{
    const connection_pointer connection = this->take_marked(mark);
    if (!connection)
        return false;
    this->idle.push_back(connection);
    return true;
}

void http_client::pool::call(outgoing_request request, milliseconds timeout, call_handler done)
{
    connection_pointer connection = this->take_idle();
    const bool is_reused = connection != nullptr;
    if (!is_reused) {
        connection = std::make_shared<http_connection>(this->loop);
        connection->number = ++this->opened_count;
    }
    this->prepare(connection, std::move(request), timeout, std::move(done));
    if (is_reused)
        this->send(connection);
    else
        this->open(connection);
}

void http_client::pool::call_marked(std::uint64_t mark, outgoing_request request, milliseconds timeout,
                                    call_handler done)
{
    const connection_pointer connection = this->take_marked(mark);
    if (!connection) {
        asio::post(this->loop, [done = std::move(done)] {
            done({call_outcome::not_sent, 0, "no connection with this mark"});
        });
        return;
    }
    this->prepare(connection, std::move(request), timeout, std::move(done));
    this->send(connection);
}

void http_client::pool::prepare(const connection_pointer& connection, outgoing_request request, milliseconds timeout,
                                call_handler done)
{
    connection->request = {};
    connection->request.method_string(request.method);
    connection->request.target(request.target);
    connection->request.version(11);
    connection->request.set(http::field::host,
                            this->peer.address().to_string() + ":" + std::to_string(this->peer.port()));
    for (const http_header& header : request.headers)
        connection->request.set(header.name, header.value);
    connection->request.body() = std::move(request.body);
    connection->request.prepare_payload();
    connection->done = std::move(done);
    connection->timeout = timeout;
}

void http_client::pool::open(const connection_pointer& connection)
{
    connection->opened = boot_clock::now();
    connection->stream.expires_after(this->limits.connect_timeout);
    connection->stream.async_connect(this->peer,
                                     [self = this->shared_from_this(), connection](const error_code& reason) {
                                         if (reason) {
                                             self->fail(connection, call_outcome::not_sent, reason);
                                             return;
                                         }
                                         error_code ignored; // Without TCP_NODELAY calls are only slower.
                                         connection->stream.socket().set_option(asio::ip::tcp::no_delay(true), ignored);
                                         self->send(connection);
                                     });
}

void http_client::pool::send(const connection_pointer& connection)
{
    connection->stream.expires_after(connection->timeout);
    http::async_write(connection->stream, connection->request,
                      [self = this->shared_from_this(), connection](const error_code& reason, std::size_t) {
                          if (reason)
                              self->fail(connection, call_outcome::unknown, reason);
                          else
                              self->receive(connection);
                      });
}

void http_client::pool::receive(const connection_pointer& connection)
{
    connection->parser = std::make_unique<http::response_parser<http::string_body>>();
    connection->parser->body_limit(reply_body_limit);
    http::async_read(connection->stream, connection->buffer, *connection->parser,
                     [self = this->shared_from_this(), connection](const error_code& reason, std::size_t) {
                         if (reason)
                             self->fail(connection, call_outcome::unknown, reason);
                         else
                             self->finish(connection);
                     });
}

void http_client::pool::finish(const connection_pointer& connection)
{
    http::response<http::string_body> response = connection->parser->release();
    call_handler done = std::move(connection->done);
    connection->done = nullptr;
    if (response.keep_alive()) {
        connection->stream.expires_never();
        connection->last_used = boot_clock::now();
        this->idle.push_back(connection);
    }
    done({call_outcome::answered, static_cast<int>(response.result_int()), std::move(response.body()),
          connection->number});
}

void http_client::pool::fail(const connection_pointer& connection, call_outcome outcome, const error_code& reason)
{
    if (reason == beast::error::timeout) {
        // Idle connections that are at least as old may have lost their network path as well.
        std::erase_if(this->idle, [&](const connection_pointer& idle_connection) {
            return idle_connection->opened <= connection->opened;
        });
    }
    connection->stream.close();
    call_handler done = std::move(connection->done);
    connection->done = nullptr;
    done({outcome, 0, reason.message()});
}

http_client::http_client(asio::io_context& loop, const std::string& address, connection_limits limits)
{
    this->connections = std::make_shared<pool>(loop, parse_ip_endpoint(address), limits);
}

http_client::~http_client() = default;

void http_client::call(outgoing_request request, milliseconds timeout, call_handler done)
{
    this->connections->call(std::move(request), timeout, std::move(done));
}

bool http_client::mark_connection(std::uint64_t connection, std::uint64_t mark)
{
    return this->connections->mark_connection(connection, mark);
}

bool http_client::has_marked_connection(std::uint64_t mark) const
{
    return this->connections->has_marked_connection(mark);
}

void http_client::call_marked(std::uint64_t mark, outgoing_request request, milliseconds timeout, call_handler done)
{
    this->connections->call_marked(mark, std::move(request), timeout, std::move(done));
}

} // namespace wigeon
