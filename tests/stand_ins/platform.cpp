// Stand-in for the platform's log service and host list: streams with offsets, limited retention, and outages.
// POST /control changes its behaviour while it runs, with the form fields down (0 or 1), slow_ms (delay of each
// append), slow_read_ms (delay of each read), drop_answers (how many appends are stored but answered with an error) and
// keep (removes the oldest records of each stream beyond this number). POST /hosts with id and leaving changes the host
// list. GET /counts prints the number of appends and the bytes read.

#include <atomic>
#include <condition_variable>
#include <deque>
#include <iostream>
#include <map>
#include <mutex>

#include "base/network.h"
#include "base/settings.h"
#include "base/time.h"
#include "wigeon.pb.h"

namespace wigeon {

namespace {

struct stream {
    std::deque<std::string> records;
    std::uint64_t earliest_offset = 0;
};

constexpr std::uint64_t page_bytes = 524'288;
constexpr std::size_t server_threads = 128;

class platform {
public:
    void add_routes(httplib::Server& server)
    {
        server.set_keep_alive_max_count(1'000'000);
        server.Post(R"(/streams/([a-z\-]+))",
                    [this](const auto& request, auto& answer) { this->append(request, answer); });
        server.Get(R"(/streams/([a-z\-]+))",
                   [this](const auto& request, auto& answer) { this->read(request, answer); });
        server.Get("/hosts", [this](const auto&, auto& answer) {
            const std::lock_guard lock(this->mutex);
            answer.set_content(this->hosts.SerializeAsString(), "application/x-protobuf");
        });
        server.Post("/hosts", [this](const auto& request, auto&) {
            const std::lock_guard lock(this->mutex);
            const std::string id = request.get_param_value("id");
            HostEntry* host = nullptr;
            for (HostEntry& known : *this->hosts.mutable_hosts())
                host = known.id() == id ? &known : host;
            host = host == nullptr ? this->hosts.add_hosts() : host;
            host->set_id(id);
            host->set_is_leaving(request.get_param_value("leaving") == "1");
        });
        server.Post("/control", [this](const auto& request, auto&) { this->apply_control(request); });
        server.Get("/counts", [this](const auto&, auto& answer) {
            answer.set_content(std::to_string(this->appends) + " " + std::to_string(this->bytes_read), "text/plain");
        });
    }

private:
    void apply_control(const httplib::Request& request)
    {
        const auto set_if_given = [&](const char* name, std::atomic<int>& value) {
            if (request.has_param(name))
                value = std::stoi(request.get_param_value(name));
        };
        set_if_given("down", this->down);
        set_if_given("slow_ms", this->slow_ms);
        set_if_given("slow_read_ms", this->slow_read_ms);
        set_if_given("drop_answers", this->drop_answers);
        if (!request.has_param("keep"))
            return;
        const std::lock_guard lock(this->mutex);
        for (auto& [name, trimmed] : this->streams) {
            while (trimmed.records.size() > std::stoul(request.get_param_value("keep"))) {
                trimmed.records.pop_front();
                ++trimmed.earliest_offset;
            }
        }
    }

    void append(const httplib::Request& request, httplib::Response& answer)
    {
        std::this_thread::sleep_for(milliseconds(this->slow_ms));
        RecordBatch batch;
        if (this->down != 0 || !batch.ParseFromString(request.body)) {
            answer.status = this->down != 0 ? 503 : 400;
            return;
        }
        AppendAnswer appended;
        {
            const std::lock_guard lock(this->mutex);
            stream& requested = this->streams[request.matches[1]];
            appended.set_first_offset(requested.earliest_offset + requested.records.size());
            for (std::string& record : *batch.mutable_records())
                requested.records.push_back(std::move(record));
        }
        ++this->appends;
        this->records_added.notify_all();
        if (this->drop_answers > 0) {
            --this->drop_answers;
            answer.status = 500;
            return;
        }
        answer.set_content(appended.SerializeAsString(), "application/x-protobuf");
    }

    void read(const httplib::Request& request, httplib::Response& answer)
    {
        const std::uint64_t from = std::stoull(request.get_param_value("from"));
        const milliseconds wait(std::stoul(request.get_param_value("wait_ms")));
        std::this_thread::sleep_for(milliseconds(this->slow_read_ms));
        std::unique_lock lock(this->mutex);
        if (this->down != 0) {
            answer.status = 503;
            return;
        }
        stream& requested = this->streams[request.matches[1]];
        this->records_added.wait_for(lock, wait,
                                     [&] { return requested.earliest_offset + requested.records.size() > from; });
        LogPage page;
        page.set_first_offset(from);
        page.set_earliest_offset(requested.earliest_offset);
        page.set_end_offset(requested.earliest_offset + requested.records.size());
        std::uint64_t size = 0;
        for (std::uint64_t i = from; from >= requested.earliest_offset && i < page.end_offset() && size < page_bytes;
             ++i) {
            page.add_records(requested.records[i - requested.earliest_offset]);
            size += requested.records[i - requested.earliest_offset].size();
        }
        answer.set_content(page.SerializeAsString(), "application/x-protobuf");
        this->bytes_read += answer.body.size();
    }

    std::mutex mutex;
    std::condition_variable records_added;
    std::map<std::string, stream> streams;
    HostList hosts;
    std::atomic<int> down = 0;
    std::atomic<int> slow_ms = 0;      // Delay before each append.
    std::atomic<int> slow_read_ms = 0; // Delay before each read.
    std::atomic<int> drop_answers = 0;
    std::atomic<std::uint64_t> appends = 0;
    std::atomic<std::uint64_t> bytes_read = 0;
};

} // namespace

} // namespace wigeon

int main(int argc, char** argv)
{
    wigeon::block_stop_signals();
    wigeon::platform platform;
    wigeon::http_server server(wigeon::server_threads, {.body_bytes = 64 * 1'048'576});
    platform.add_routes(server.routes());
    server.start(argc > 1 ? argv[1] : "127.0.0.1:0");
    wigeon::wait_for_stop_signal();
    std::_Exit(0);
}
