// Clients that send without end, hold what they sent, never read or stay idle. Guards against a process that ends,
// hangs, or uses memory or descriptors without a bound because of what its clients send. The amounts and bounds were
// fixed before the limits existed; the cases check no times and no share of served requests.

#include <atomic>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <thread>

#include <poll.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <httplib.h>

#include "support/cluster.h"
#include "support/node_cluster.h"

namespace wigeon::test {

namespace {

namespace asio = boost::asio;
using boost::system::error_code;

constexpr const char* host = "127.0.0.1";
constexpr std::size_t bytes_per_mb = 1'048'576;

constexpr int flood_connections = 4;
constexpr std::size_t flood_bytes = 16 * bytes_per_mb; // On each connection.
constexpr int holding_connections = 200;
constexpr std::size_t held_body_bytes = 250'000; // Of a body of 262,144 bytes.
constexpr int slow_connections = 64;
constexpr int slow_bytes = 100; // On each connection.
constexpr int idle_connections = 400;
constexpr std::size_t descriptor_bound = 256;
constexpr std::size_t node_memory_bound = 40 * bytes_per_mb;
constexpr std::size_t entry_memory_bound = 64 * bytes_per_mb;
constexpr std::size_t scheduler_memory_bound = 64 * bytes_per_mb;
constexpr int node_memory_mb = 48; // Setting limits.memory-mb.

constexpr milliseconds slow_pause{50};
constexpr milliseconds sample_interval{10};
constexpr milliseconds blocked_send_limit{3'000}; // A client whose data is not taken for this long stops.
constexpr milliseconds answer_timeout{60'000};
constexpr milliseconds retry_interval{100};

std::size_t read_resident_bytes(pid_t process_id)
{
    std::ifstream file("/proc/" + std::to_string(process_id) + "/statm");
    std::size_t total_pages = 0;
    std::size_t resident_pages = 0;
    file >> total_pages >> resident_pages;
    return resident_pages * static_cast<std::size_t>(sysconf(_SC_PAGESIZE));
}

std::size_t count_descriptors(pid_t process_id)
{
    std::error_code reason;
    const std::filesystem::directory_iterator files("/proc/" + std::to_string(process_id) + "/fd", reason);
    return reason ? 0 : static_cast<std::size_t>(std::distance(begin(files), end(files)));
}

// Records the largest use of memory and descriptors until it is destroyed.
class usage_sampler {
public:
    explicit usage_sampler(pid_t observed)
        : process_id(observed), thread([this] {
              while (!this->is_done) {
                  this->sample();
                  std::this_thread::sleep_for(sample_interval);
              }
          })
    {
    }

    ~usage_sampler() { this->stop(); }

    void stop()
    {
        this->is_done = true;
        if (this->thread.joinable())
            this->thread.join();
    }

    [[nodiscard]] std::size_t resident_bytes() const { return this->max_resident_bytes; }
    [[nodiscard]] std::size_t descriptors() const { return this->max_descriptors; }

private:
    void sample()
    {
        this->max_resident_bytes = std::max(this->max_resident_bytes.load(), read_resident_bytes(this->process_id));
        this->max_descriptors = std::max(this->max_descriptors.load(), count_descriptors(this->process_id));
    }

    pid_t process_id;
    std::atomic<std::size_t> max_resident_bytes = 0;
    std::atomic<std::size_t> max_descriptors = 0;
    std::atomic<bool> is_done = false;
    std::thread thread;
};

// A client that never reads. Its connection stays open until it is destroyed.
class raw_client {
public:
    explicit raw_client(int port) : socket(this->loop)
    {
        const asio::ip::tcp::endpoint peer(asio::ip::make_address(host), static_cast<std::uint16_t>(port));
        this->socket.open(peer.protocol());
        // Bounds connect() to a process that does not accept; Boost.Asio's own call would wait for minutes.
        const timeval timeout{std::chrono::duration_cast<std::chrono::seconds>(blocked_send_limit).count(), 0};
        setsockopt(this->socket.native_handle(), SOL_SOCKET, SO_SNDTIMEO, &timeout, sizeof(timeout));
        this->is_open = ::connect(this->socket.native_handle(), peer.data(), static_cast<socklen_t>(peer.size())) == 0;
        if (this->is_open)
            this->socket.non_blocking(true);
    }

    // False once the peer has closed the connection or takes no more data.
    bool send(std::string_view text)
    {
        while (this->is_open && !text.empty()) {
            error_code reason;
            const std::size_t sent = this->socket.write_some(asio::buffer(text.data(), text.size()), reason);
            text.remove_prefix(sent);
            if (reason == asio::error::would_block)
                this->is_open = this->wait_until_writable();
            else if (reason)
                this->is_open = false;
        }
        return this->is_open;
    }

    [[nodiscard]] bool is_connected() const { return this->is_open; }

private:
    bool wait_until_writable()
    {
        pollfd descriptor{this->socket.native_handle(), POLLOUT, 0};
        return ::poll(&descriptor, 1, static_cast<int>(blocked_send_limit.count())) > 0;
    }

    asio::io_context loop;
    asio::ip::tcp::socket socket;
    bool is_open = false;
};

// What one client sends: `start`, then `unit` again and again.
struct flood {
    std::string name;
    std::string start;
    std::string unit;
};

std::ostream& operator<<(std::ostream& out, const flood& shown)
{
    return out << shown.name;
}

// The target is replaced by a path of the process.
const std::string head = "POST TARGET HTTP/1.1\r\nHost: h.example\r\nAuthorization: Token key\r\n"
                         "Content-Type: application/json\r\n";
const std::string chunked_head = head + "Transfer-Encoding: chunked\r\n\r\n";
const std::string filling(4'096, 'x');

const std::vector<flood> floods{
    {"trailers in many lines", chunked_head + "2\r\n{}\r\n0\r\n", "Trailer-Field: " + filling.substr(0, 100) + "\r\n"},
    {"one trailer without end", chunked_head + "2\r\n{}\r\n0\r\nTrailer-Field: ", filling},
    {"a chunk extension without end", chunked_head + "2;extension=", filling},
    {"a chunk extension in each of many chunks", chunked_head, "1;extension=" + filling + "\r\nx\r\n"},
    {"a header block without end", head, "X-Field: " + filling.substr(0, 100) + "\r\n"},
    {"a header line without end", head + "X-Field: ", filling},
    {"a request target without end", "POST /", filling},
    {"a body beyond the limit by length", head + "Content-Length: 16777216\r\n\r\n", filling},
    {"a body beyond the limit by chunks", chunked_head, "1000\r\n" + filling + "\r\n"},
    {"pipelined requests whose responses are never read", "", "GET TARGET HTTP/1.1\r\nHost: h.example\r\n\r\n"}};

std::string insert_target(std::string text, const std::string& target)
{
    const std::string mark = "TARGET";
    const std::size_t position = text.find(mark);
    return position == std::string::npos ? text : text.replace(position, mark.size(), target);
}

// A process under test and its bounds.
struct victim {
    pid_t process_id;
    int port;
    std::string target;
    std::size_t memory_bound;
    std::function<bool()> is_request_answered;
};

bool is_alive(pid_t process_id)
{
    std::ifstream file("/proc/" + std::to_string(process_id) + "/stat");
    std::string id;
    std::string name;
    std::string state;
    file >> id >> name >> state;
    return !state.empty() && state != "Z";
}

// Runs `attack`, whose result keeps the hostile connections open while the ordinary request is sent.
template <typename Attack>
void check_survives(const victim& process, const Attack& attack)
{
    usage_sampler usage(process.process_id);
    const auto connections = attack();
    const auto deadline = boot_clock::now() + answer_timeout;
    bool is_answered = process.is_request_answered();
    while (!is_answered && is_alive(process.process_id) && boot_clock::now() < deadline) {
        std::this_thread::sleep_for(retry_interval);
        is_answered = process.is_request_answered();
    }
    usage.stop();
    BOOST_TEST(is_alive(process.process_id), "the process ended");
    BOOST_TEST(usage.resident_bytes() < process.memory_bound);
    BOOST_TEST(usage.descriptors() <= descriptor_bound);
    BOOST_TEST(is_answered, "an ordinary request is not answered");
    BOOST_TEST_MESSAGE("resident at most " << usage.resident_bytes() / bytes_per_mb << " MB, descriptors at most "
                                           << usage.descriptors());
}

using client_list = std::vector<std::unique_ptr<raw_client>>;

client_list connect_clients(int count, int port)
{
    client_list clients;
    for (int index = 0; index < count; ++index) {
        clients.push_back(std::make_unique<raw_client>(port));
        if (!clients.back()->is_connected())
            break; // The process accepts no more.
    }
    return clients;
}

void check_flood(const victim& process, const flood& sent)
{
    check_survives(process, [&] {
        client_list clients = connect_clients(flood_connections, process.port);
        std::vector<std::jthread> senders;
        for (const auto& client : clients) {
            senders.emplace_back([&process, &sent, &client = *client] {
                const std::string unit = insert_target(sent.unit, process.target);
                std::string block;
                while (block.size() < filling.size())
                    block += unit;
                if (!client.send(insert_target(sent.start, process.target)))
                    return;
                for (std::size_t count = 0; count < flood_bytes; count += block.size()) {
                    if (!client.send(block))
                        return;
                }
            });
        }
        senders.clear();
        return clients;
    });
}

void check_held_bodies(const victim& process)
{
    check_survives(process, [&] {
        client_list clients = connect_clients(holding_connections, process.port);
        const std::string text =
            insert_target(head, process.target) + "Content-Length: 262144\r\n\r\n" + std::string(held_body_bytes, 'x');
        // A sender gives up as soon as its data is not taken, so that the others follow.
        std::vector<std::jthread> senders;
        for (const auto& client : clients)
            senders.emplace_back([&text, &client = *client] { client.send(text); });
        senders.clear();
        return clients;
    });
}

void check_slow_clients(const victim& process)
{
    check_survives(process, [&] {
        client_list clients = connect_clients(slow_connections, process.port);
        const std::string text = insert_target(head, process.target) + "X-Field: " + filling;
        for (std::size_t index = 0; index < slow_bytes; ++index) {
            for (const auto& client : clients)
                client->send(text.substr(index, 1));
            std::this_thread::sleep_for(slow_pause);
        }
        return clients;
    });
}

// The process may open fewer descriptors than there are clients.
void check_idle_clients(const victim& process)
{
    const rlimit limit{descriptor_bound, descriptor_bound};
    BOOST_REQUIRE(::prlimit(process.process_id, RLIMIT_NOFILE, &limit, nullptr) == 0);
    check_survives(process, [&] { return connect_clients(idle_connections, process.port); });
}

bool is_answered(int port, const std::string& path, int status)
{
    httplib::Client client(host, port);
    client.set_connection_timeout(1);
    client.set_read_timeout(5);
    const auto response = client.Get(path);
    return response && response->status == status;
}

const std::string short_task = R"({"count":1,"cpu":1000,"mem-mb":100,"gpu":1,"estimate-ms":100})";

struct node_under_test {
    node_cluster system{node_cluster_options{.memory_mb = node_memory_mb}};
    victim process{this->system.node_process_id(0), this->system.caller_port_of(0), "/batch/0000000000000002",
                   node_memory_bound,
                   [this] { return this->system.submit(0, "0000000000000001", "batch", short_task) == 200; }};
};

struct entry_under_test {
    entry_under_test() { this->system.publish(this->system.make_configuration()); }

    cluster system{{.entries = 1, .schedulers = 1, .workers = 1, .executors = 1}};
    victim process{this->system.entry(0).process_id(), this->system.caller_port(0), "/v1/jobs", entry_memory_bound,
                   [this] { return is_answered(this->system.caller_port(0), "/v1/jobs/small/none", 404); }};
};

struct scheduler_under_test {
    cluster system{{.entries = 1, .schedulers = 1, .workers = 1, .executors = 1}};
    victim process{this->system.scheduler(0).process_id(), this->system.operator_port("scheduler", 0), "/v1/status",
                   scheduler_memory_bound,
                   [this] { return is_answered(this->system.operator_port("scheduler", 0), "/v1/status", 200); }};
};

} // namespace

BOOST_AUTO_TEST_SUITE(hostile_clients_story)

BOOST_AUTO_TEST_SUITE(wigeon_node_survives)

BOOST_DATA_TEST_CASE(input_without_end, boost::unit_test::data::make(floods), sent)
{
    const node_under_test tested{};
    check_flood(tested.process, sent);
}

BOOST_AUTO_TEST_CASE(many_connections_that_each_hold_just_under_a_limit)
{
    const node_under_test tested{};
    check_held_bodies(tested.process);
}

BOOST_AUTO_TEST_CASE(clients_that_send_one_byte_at_a_time)
{
    const node_under_test tested{};
    check_slow_clients(tested.process);
}

BOOST_AUTO_TEST_CASE(more_idle_connections_than_descriptors)
{
    const node_under_test tested{};
    check_idle_clients(tested.process);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(wigeon_entry_survives)

BOOST_DATA_TEST_CASE(input_without_end, boost::unit_test::data::make(floods), sent)
{
    const entry_under_test tested{};
    check_flood(tested.process, sent);
}

BOOST_AUTO_TEST_CASE(many_connections_that_each_hold_just_under_a_limit)
{
    const entry_under_test tested{};
    check_held_bodies(tested.process);
}

BOOST_AUTO_TEST_CASE(clients_that_send_one_byte_at_a_time)
{
    const entry_under_test tested{};
    check_slow_clients(tested.process);
}

BOOST_AUTO_TEST_CASE(more_idle_connections_than_descriptors)
{
    const entry_under_test tested{};
    check_idle_clients(tested.process);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(wigeon_scheduler_survives)

BOOST_DATA_TEST_CASE(input_without_end, boost::unit_test::data::make(floods), sent)
{
    const scheduler_under_test tested{};
    check_flood(tested.process, sent);
}

BOOST_AUTO_TEST_CASE(many_connections_that_each_hold_just_under_a_limit)
{
    const scheduler_under_test tested{};
    check_held_bodies(tested.process);
}

BOOST_AUTO_TEST_CASE(clients_that_send_one_byte_at_a_time)
{
    const scheduler_under_test tested{};
    check_slow_clients(tested.process);
}

BOOST_AUTO_TEST_CASE(more_idle_connections_than_descriptors)
{
    const scheduler_under_test tested{};
    check_idle_clients(tested.process);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

} // namespace wigeon::test
