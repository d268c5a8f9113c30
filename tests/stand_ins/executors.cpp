// Stand-in for many executors in one process, each on its own port with a fixed number of slots. The path of a request
// selects its behaviour: /run/MS answers after MS ms, /size/N returns N bytes in chunks, /broken/N closes the
// connection after half of the N bytes. The control port follows those of the executors. GET /runs there prints a line
// "request-id runs" for each request; GET /loads prints a line for each executor: requests in progress, the maximum
// of these so far, requests that were refused because all slots were in use, requests received. POST /control with
// executor (a number or all) and refuse, fail (0 or 1) or slow_ms (delay before each run) sets a fault.
// Usage: stand-in-executors HOST FIRST_PORT COUNT SLOTS

#include <atomic>
#include <iostream>
#include <map>
#include <memory>
#include <mutex>
#include <sstream>

#include "base/network.h"
#include "base/settings.h"
#include "base/time.h"

namespace wigeon {

namespace {

constexpr std::size_t server_threads = 32;
constexpr std::size_t chunk_bytes = 1000;

// Counts how often each request ran, on all executors together.
struct run_counter {
    std::mutex mutex;
    std::map<std::string, int> runs;
};

class executor {
public:
    executor(int slots, run_counter& counter) : slots(slots), counter(counter) {}

    void handle(const httplib::Request& request, httplib::Response& answer)
    {
        ++this->received_count;
        const int used = ++this->in_use;
        int previous_max = this->max_in_use;
        while (used > previous_max && !this->max_in_use.compare_exchange_weak(previous_max, used))
            ;
        if (used > this->slots)
            ++this->over_limit_count;
        if (used > this->slots || this->refuses) {
            --this->in_use;
            answer.status = 503;
            answer.set_header("Wigeon-Execution", "did_not_run");
            answer.set_content("busy", "text/plain");
            return;
        }
        {
            const std::lock_guard lock(this->counter.mutex);
            ++this->counter.runs[request.get_header_value("Wigeon-Request-Id")];
        }
        this->run(request, answer);
        --this->in_use;
    }

    std::atomic<int> in_use = 0;
    std::atomic<int> max_in_use = 0;
    std::atomic<int> over_limit_count = 0;
    std::atomic<int> received_count = 0;
    std::atomic<bool> refuses = false;
    std::atomic<bool> fails = false;
    std::atomic<int> slow_ms = 0;

private:
    void run(const httplib::Request& request, httplib::Response& answer)
    {
        if (this->fails) {
            answer.status = 500;
            answer.set_content("failed", "text/plain");
            return;
        }
        std::this_thread::sleep_for(milliseconds(this->slow_ms));
        const std::string id = request.get_header_value("Wigeon-Request-Id");
        const std::string number = request.matches.size() > 2 ? request.matches[2].str() : "0";
        const std::string kind = request.matches[1].str();
        if (kind == "run") {
            std::this_thread::sleep_for(milliseconds(std::stoul(number)));
            answer.set_content("answer " + id + " " + request.body, "text/plain");
            return;
        }
        const std::size_t size = std::stoul(number);
        const bool is_truncated = kind == "broken";
        answer.set_chunked_content_provider("application/octet-stream",
                                            [size, is_truncated](std::size_t offset, httplib::DataSink& sink) {
                                                if (is_truncated && offset >= size / 2)
                                                    return false;
                                                const std::size_t end = is_truncated ? size / 2 : size;
                                                const std::string chunk(std::min(chunk_bytes, end - offset), 'x');
                                                sink.write(chunk.data(), chunk.size());
                                                if (offset + chunk.size() >= size)
                                                    sink.done();
                                                return true;
                                            });
    }

    const int slots;
    run_counter& counter;
};

} // namespace

} // namespace wigeon

int main(int argc, char** argv)
{
    using namespace wigeon;
    block_stop_signals();
    if (argc != 5) {
        std::cerr << "usage: stand-in-executors HOST FIRST_PORT COUNT SLOTS\n";
        return usage_exit_code;
    }
    const int first_port = std::stoi(argv[2]);
    const int count = std::stoi(argv[3]);
    run_counter counter;
    std::vector<std::unique_ptr<executor>> executors;
    std::vector<std::unique_ptr<http_server>> servers;
    for (int i = 0; i < count; ++i) {
        executor& instance = *executors.emplace_back(std::make_unique<executor>(std::stoi(argv[4]), counter));
        http_server& server = *servers.emplace_back(std::make_unique<http_server>(server_threads));
        server.routes().set_keep_alive_max_count(1'000'000);
        server.routes().set_keep_alive_timeout(60);
        server.routes().Get("/healthz", [](const auto&, auto& answer) { answer.set_content("ok", "text/plain"); });
        server.routes().Post(R"(/(run|size|broken)/(\d+))",
                             [&instance](const auto& request, auto& answer) { instance.handle(request, answer); });
    }
    http_server control(4);
    control.routes().Get("/runs", [&](const auto&, auto& answer) {
        std::ostringstream out;
        const std::lock_guard lock(counter.mutex);
        for (const auto& [id, runs] : counter.runs)
            out << id << ' ' << runs << '\n';
        answer.set_content(out.str(), "text/plain");
    });
    control.routes().Get("/loads", [&](const auto&, auto& answer) {
        std::ostringstream out;
        for (const auto& instance : executors)
            out << instance->in_use << ' ' << instance->max_in_use << ' ' << instance->over_limit_count << ' '
                << instance->received_count << '\n';
        answer.set_content(out.str(), "text/plain");
    });
    control.routes().Post("/control", [&](const auto& request, auto&) {
        const bool is_all = request.get_param_value("executor") == "all";
        for (int i = 0; i < count; ++i) {
            if (!is_all && request.get_param_value("executor") != std::to_string(i))
                continue;
            executor& chosen = *executors[static_cast<std::size_t>(i)];
            if (request.has_param("refuse"))
                chosen.refuses = request.get_param_value("refuse") == "1";
            if (request.has_param("fail"))
                chosen.fails = request.get_param_value("fail") == "1";
            if (request.has_param("slow_ms"))
                chosen.slow_ms = std::stoi(request.get_param_value("slow_ms"));
        }
    });
    for (int i = 0; i < count; ++i)
        servers[static_cast<std::size_t>(i)]->start(std::string(argv[1]) + ":" + std::to_string(first_port + i));
    control.start(std::string(argv[1]) + ":" + std::to_string(first_port + count));
    wait_for_stop_signal();
    std::_Exit(0);
}
