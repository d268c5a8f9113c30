// Tests that a call reaches only the incarnation of the executor that it was decided for, however late it is sent.

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>

#include "net/http_listener.h"
#include "platform/executor_client.h"

namespace wigeon::platform {

namespace {

namespace asio = boost::asio;

constexpr listener_limits limits{4'096, 100'000, 32, milliseconds(20'000)};
constexpr milliseconds lease_deadline{9'000};

std::string make_report(std::uint64_t incarnation_ms)
{
    return R"({"clock-ms":1000,"running":[],"ended":[],"born":)" + std::to_string(incarnation_ms) + "}";
}

struct received_call {
    std::uint64_t incarnation_ms = 0;
    std::string path;
    std::string body;
};

// An executor that accepts all calls, and can start again at its address under its id.
struct executor_fixture {
    asio::io_context loop;
    executor_client client{this->loop};
    std::unique_ptr<http_listener> listener;
    int port = 0;
    std::uint64_t born = 1;
    std::vector<received_call> calls;

    executor_fixture() { this->start_executor(); }

    void start_executor()
    {
        this->listener = std::make_unique<http_listener>(
            this->loop, limits,
            [this, own_birth = this->born](const incoming_request& request, const reply_handler& reply) {
                this->calls.push_back({own_birth, request.target, request.body});
                reply({200, make_report(own_birth), 0});
            });
        this->port = this->listener->start("127.0.0.1:" + std::to_string(this->port));
    }

    void restart_executor()
    {
        this->listener->stop();
        this->listener.reset();
        ++this->born;
        this->start_executor();
    }

    [[nodiscard]] executor_target make_target(std::uint64_t incarnation_ms) const
    {
        return {"e", "127.0.0.1:" + std::to_string(this->port), incarnation_ms};
    }

    void run_until(const std::function<bool()>& is_done)
    {
        this->loop.restart();
        while (!is_done() && this->loop.run_one() > 0)
            continue;
        BOOST_REQUIRE(is_done());
    }

    poll_result poll(std::uint64_t incarnation_ms, const poll_request& request = {})
    {
        std::optional<poll_result> seen;
        this->client.poll(this->make_target(incarnation_ms), request,
                          [&](const poll_result& result) { seen = result; });
        this->run_until([&] { return seen.has_value(); });
        return *seen;
    }

    order_result start(std::uint64_t incarnation_ms)
    {
        start_order order;
        order.task = "job.0.0.0";
        order.incarnation_ms = incarnation_ms;
        std::optional<order_result> seen;
        this->client.start(this->make_target(incarnation_ms), order, lease_deadline, 1,
                           [&](const order_result& result) { seen = result; });
        this->run_until([&] { return seen.has_value(); });
        return *seen;
    }

    [[nodiscard]] std::vector<std::uint64_t> list_incarnations_called(const std::string& path) const
    {
        std::vector<std::uint64_t> incarnations;
        for (const received_call& call : this->calls) {
            if (call.path == path)
                incarnations.push_back(call.incarnation_ms);
        }
        return incarnations;
    }
};

// Answers each call on a connection of its own, which it closes.
class closing_executor {
public:
    closing_executor() : thread([this](const std::stop_token& stop) { this->serve(stop); }) {}

    ~closing_executor()
    {
        this->thread.request_stop();
        asio::ip::tcp::socket(this->loop).connect(this->acceptor.local_endpoint()); // Ends the accept.
    }

    [[nodiscard]] int port() const { return this->acceptor.local_endpoint().port(); }

private:
    void serve(const std::stop_token& stop)
    {
        while (true) {
            asio::ip::tcp::socket socket = this->acceptor.accept();
            if (stop.stop_requested())
                return;
            std::string call;
            asio::read_until(socket, asio::dynamic_buffer(call), '}');
            const std::string body = make_report(1);
            asio::write(socket, asio::buffer("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: " +
                                             std::to_string(body.size()) + "\r\n\r\n" + body));
        }
    }

    asio::io_context loop;
    asio::ip::tcp::acceptor acceptor{this->loop, {asio::ip::make_address("127.0.0.1"), 0}};
    std::jthread thread;
};

} // namespace

BOOST_AUTO_TEST_SUITE(executor_client_story)

BOOST_AUTO_TEST_SUITE(an_order)

BOOST_FIXTURE_TEST_CASE(reaches_the_incarnation_that_it_was_decided_for, executor_fixture)
{
    BOOST_TEST((this->start(1).outcome == request_outcome::accepted));
    BOOST_TEST(this->list_incarnations_called("/run-start") == std::vector<std::uint64_t>{1},
               boost::test_tools::per_element());
    const std::size_t calls = this->calls.size();
    BOOST_TEST((this->start(1).outcome == request_outcome::accepted));
    BOOST_TEST(this->calls.size() == calls + 1); // The connection is known by now.
}

// Guards against a task that a fresh incarnation begins on the order of a leader that was replaced (review case 11):
// the executor has the same id and address as before, and has seen no fencing token.
BOOST_FIXTURE_TEST_CASE(does_not_reach_a_later_incarnation_under_the_same_id, executor_fixture)
{
    this->poll(1);
    this->restart_executor();
    BOOST_TEST((this->start(1).outcome == request_outcome::unreachable));
    BOOST_TEST(this->list_incarnations_called("/run-start").empty());
    this->poll(2);
    BOOST_TEST((this->start(1).outcome == request_outcome::unreachable));
    BOOST_TEST(this->list_incarnations_called("/run-start").empty());
    BOOST_TEST((this->start(2).outcome == request_outcome::accepted));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_poll)

// Guards against ends of a fresh incarnation that are dropped unseen, since they carry the numbers of earlier ends, and
// against its leases being extended by a leader that doesn't know what runs there.
BOOST_FIXTURE_TEST_CASE(acknowledges_and_extends_nothing_on_a_later_incarnation, executor_fixture)
{
    this->poll(1);
    poll_request request;
    request.end_to_acknowledge = 57;
    request.lease_deadline = lease_deadline;
    this->poll(1, request);
    BOOST_TEST(this->calls.back().body.find("\"last-seen\":57") != std::string::npos);
    BOOST_TEST(this->calls.back().body.find("deadline-ms") != std::string::npos);
    this->restart_executor();
    for (int attempt = 0; attempt < 2; ++attempt) {
        this->poll(1, request);
        BOOST_TEST(this->calls.back().incarnation_ms == 2U);
        BOOST_TEST(this->calls.back().body.find("\"last-seen\":0") != std::string::npos);
        BOOST_TEST(this->calls.back().body.find("deadline-ms") == std::string::npos);
    }
}

BOOST_AUTO_TEST_SUITE_END()

// Guards against leases that are never extended, and tasks that are never started, where no connection lasts.
BOOST_AUTO_TEST_CASE(an_executor_that_closes_each_connection_gets_whole_calls)
{
    asio::io_context loop;
    executor_client client(loop);
    const closing_executor peer;
    const executor_target target{"e", "127.0.0.1:" + std::to_string(peer.port()), 1};
    start_order order;
    order.incarnation_ms = 1;
    request_outcome started = request_outcome::unknown;
    client.poll(target, {}, [&](const poll_result& polled) {
        BOOST_TEST((polled.outcome == request_outcome::accepted));
        client.start(target, order, lease_deadline, 1, [&](const order_result& result) { started = result.outcome; });
    });
    loop.run();
    BOOST_TEST((started == request_outcome::accepted));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace wigeon::platform
