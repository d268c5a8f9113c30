// Limits of the listener on what clients send and leave unread. Guards against input that is held without a bound, and
// against limits that close the wrong connection.

#include <chrono>
#include <thread>

#include <sys/socket.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>

#include "base/metrics.h"
#include "net/http_listener.h"
#include "support/property.h"

namespace wigeon {

namespace {

namespace asio = boost::asio;
using boost::system::error_code;

constexpr listener_limits small_limits{.header_bytes = 4'096,
                                       .body_bytes = 100'000,
                                       .connections = 8,
                                       .idle_timeout = milliseconds(20'000),
                                       .header_timeout = milliseconds(20'000),
                                       .write_timeout = milliseconds(20'000),
                                       .held_bytes = 1'000'000};

// A listener on a thread of its own that answers each request with the size of its body.
class listener_under_test {
public:
    explicit listener_under_test(const listener_limits& limits)
        : listener(this->loop, limits, [](const incoming_request& request, const reply_handler& reply) {
              reply({200, std::to_string(request.body.size()), 0});
          })
    {
        this->port = static_cast<std::uint16_t>(this->listener.start("127.0.0.1:0"));
        this->thread = std::jthread([this] { this->loop.run(); });
    }

    ~listener_under_test() { this->loop.stop(); }

    std::uint16_t port = 0;

private:
    asio::io_context loop;
    http_listener listener;
    std::jthread thread;
};

class client {
public:
    explicit client(const listener_under_test& peer) : socket(this->loop)
    {
        this->socket.connect({asio::ip::make_address("127.0.0.1"), peer.port});
        const timeval receive_timeout{10, 0}; // A missing answer fails the test instead of stopping it.
        setsockopt(this->socket.native_handle(), SOL_SOCKET, SO_RCVTIMEO, &receive_timeout, sizeof(receive_timeout));
    }

    client& send(std::string_view text)
    {
        error_code ignored; // The listener may have closed the connection.
        asio::write(this->socket, asio::buffer(text.data(), text.size()), ignored);
        return *this;
    }

    // What arrives until the listener closes the connection, or until the text ends with `end`.
    std::string receive(std::string_view end = {})
    {
        std::string text;
        char byte = 0;
        while (::recv(this->socket.native_handle(), &byte, 1, 0) == 1) {
            text += byte;
            if (!end.empty() && text.ends_with(end))
                break;
        }
        return text;
    }

private:
    asio::io_context loop;
    asio::ip::tcp::socket socket;
};

std::uint64_t count_refusals(const std::string& reason)
{
    return process_metrics().read_count("wigeon_refusals_total{reason=\"" + reason + "\"}");
}

const std::string head = "POST / HTTP/1.1\r\nHost: h\r\n";
const std::string chunked_head = head + "Transfer-Encoding: chunked\r\n\r\n";

std::string make_request(std::size_t body_bytes)
{
    return head + "Content-Length: " + std::to_string(body_bytes) + "\r\n\r\n" + std::string(body_bytes, 'x');
}

} // namespace

BOOST_AUTO_TEST_SUITE(http_listener_story)

BOOST_AUTO_TEST_CASE(requests_at_the_limits_are_served_on_one_connection)
{
    const listener_under_test served(small_limits);
    client caller(served);
    BOOST_TEST(caller.send(make_request(100'000)).receive("\r\n\r\n100000").starts_with("HTTP/1.1 200"));
    std::string chunks = chunked_head;
    for (int index = 0; index < 100'000; ++index)
        chunks += "1\r\nx\r\n";
    BOOST_TEST(caller.send(chunks + "0\r\n\r\n").receive("\r\n\r\n100000").starts_with("HTTP/1.1 200"));
    const std::string long_head = head + "X-Field: " + std::string(4'000, 'v') + "\r\n\r\n";
    BOOST_TEST(caller.send(long_head).receive("\r\n\r\n0").starts_with("HTTP/1.1 200"));
    const std::string both = caller.send(make_request(3) + make_request(4)).receive("\r\n\r\n4");
    BOOST_TEST(both.find("\r\n\r\n3") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(a_line_without_end_is_refused_wherever_it_stands)
{
    const std::string filling(40'000, 'x');
    for (const std::string& start : {chunked_head + "2;extension=", chunked_head + "2\r\n{}\r\n0\r\nTrailer: "}) {
        const listener_under_test served(small_limits);
        const std::uint64_t before = count_refusals("line_too_long");
        client(served).send(start + filling).receive();
        BOOST_TEST(count_refusals("line_too_long") == before + 1);
    }
}

// Guards against a request whose body is small and whose chunk extensions have no end.
BOOST_AUTO_TEST_CASE(a_request_is_refused_for_all_its_bytes_together)
{
    const listener_under_test served(small_limits);
    const std::uint64_t before = count_refusals("request_too_large");
    client caller(served);
    caller.send(chunked_head);
    const std::string chunk = "1;extension=" + std::string(4'000, 'x') + "\r\nx\r\n";
    for (int index = 0; index < 300; ++index)
        caller.send(chunk);
    caller.receive();
    BOOST_TEST(count_refusals("request_too_large") == before + 1);
}

BOOST_AUTO_TEST_CASE(a_head_that_does_not_end_in_time_closes_the_connection)
{
    listener_limits limits = small_limits;
    limits.header_timeout = milliseconds(50);
    limits.idle_timeout = milliseconds(60'000);
    const listener_under_test served(limits);
    const std::uint64_t before = count_refusals("header_timeout");
    BOOST_TEST(client(served).send(head).receive().empty());
    // The stream closes the socket before the listener learns of the timeout and counts it.
    for (int wait = 0; wait < 100 && count_refusals("header_timeout") == before; ++wait)
        std::this_thread::sleep_for(milliseconds(100));
    BOOST_TEST(count_refusals("header_timeout") == before + 1);
}

BOOST_AUTO_TEST_CASE(a_used_up_budget_closes_the_connection_that_holds_the_most_for_the_longest_time)
{
    listener_limits limits = small_limits;
    limits.held_bytes = 250'000;
    const listener_under_test served(limits);
    const std::uint64_t before = count_refusals("memory_budget");
    const std::string unfinished = make_request(100'000).substr(0, 90'000);
    client oldest(served);
    oldest.send(unfinished);
    std::this_thread::sleep_for(milliseconds(300));
    client newer(served);
    newer.send(unfinished);
    std::this_thread::sleep_for(milliseconds(100));
    client newest(served);
    newest.send(unfinished);
    BOOST_TEST(oldest.receive().empty());
    BOOST_TEST(count_refusals("memory_budget") == before + 1);
    const std::string rest = make_request(100'000).substr(90'000);
    BOOST_TEST(newer.send(rest).receive("\r\n\r\n100000").starts_with("HTTP/1.1 200"));
    BOOST_TEST(newest.send(rest).receive("\r\n\r\n100000").starts_with("HTTP/1.1 200"));
}

BOOST_AUTO_TEST_CASE(one_connection_more_than_allowed_replaces_the_one_that_idles_for_the_longest_time)
{
    listener_limits limits = small_limits;
    limits.connections = 2;
    const listener_under_test served(limits);
    client oldest(served);
    std::this_thread::sleep_for(milliseconds(50));
    client newer(served);
    std::this_thread::sleep_for(milliseconds(700));
    client newest(served);
    BOOST_TEST(newest.send(make_request(1)).receive("\r\n\r\n1").starts_with("HTTP/1.1 200"));
    BOOST_TEST(newer.send(make_request(2)).receive("\r\n\r\n2").starts_with("HTTP/1.1 200"));
    BOOST_TEST(oldest.receive().empty());
}

// Guards against input that ends the process or after which the listener answers nobody.
BOOST_AUTO_TEST_CASE(drawn_bytes_leave_the_listener_answering)
{
    const listener_under_test served(small_limits);
    test::check_property("request bytes", [&] {
        std::string text = *rc::gen::element<std::string>("", head, chunked_head, chunked_head + "2\r\n{}\r\n0\r\n");
        const auto parts = *rc::gen::inRange(0, 8);
        for (int index = 0; index < parts; ++index) {
            text += *rc::gen::element<std::string>("\r\n", "\n", "0\r\n", "ffffffffffffffff\r\n",
                                                   ";e=", "Content-Length: ", "-1", "99999999999999999999",
                                                   "GET / HTTP/1.1\r\n", ":", "\xff");
            text += *rc::gen::container<std::string>(rc::gen::arbitrary<char>());
        }
        client(served).send(text);
        RC_ASSERT(client(served).send(make_request(5)).receive("\r\n\r\n5").starts_with("HTTP/1.1 200"));
    });
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace wigeon
