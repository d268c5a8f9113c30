// Stand-in for many workers in one process, each on its own port. A task runs for its expected time unless its command
// says otherwise: "run 2000" runs for 2000 ms, "fail" fails after 20 ms; "run 2000 cores 40 memory 60" also reports the
// use of 40 cores and 60 GB. The control port follows those of the workers. GET /runs there lists the run interval and
// the last used cores of each task. POST /control with worker (a number) sets a fault: hang (0 or 1: orders are
// answered only after 30 s), fail_all (0 or 1: each task that starts fails), checkpoint_ms (how long a checkpoint
// takes, after which the task stops) or restart (all tasks stop and are forgotten).
// Usage: stand-in-workers HOST FIRST_PORT COUNT

#include <atomic>
#include <iostream>
#include <map>
#include <memory>
#include <mutex>
#include <sstream>

#include "base/network.h"
#include "base/settings.h"
#include "base/time.h"
#include "wigeon.pb.h"

namespace wigeon {

namespace {

using task_key = std::tuple<std::string, std::uint32_t, std::uint32_t>;

// The times are in milliseconds of the steady clock.
struct task {
    TaskState state = TASK_ABSENT;
    std::uint64_t lease_expiry = 0;
    std::uint64_t finish_at = 0;
    std::uint64_t started_at = 0;
    std::uint64_t ended_at = 0;
    bool fails = false;
    std::uint32_t cores = 0;
    std::uint32_t memory = 0; // In GB.
};

std::uint64_t read_clock_ms()
{
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<milliseconds>(read_steady_clock().time_since_epoch()).count());
}

constexpr std::uint64_t usage_report_delay_ms = 300;

// The number that follows `word` in the command, or 0 without the word.
std::uint32_t read_number(const std::string& command, const std::string& word)
{
    const std::size_t found = command.find(word);
    return found == std::string::npos ? 0 : static_cast<std::uint32_t>(std::stoul(command.substr(found + word.size())));
}

class worker {
public:
    WorkerReports handle(const WorkerOrders& orders)
    {
        const std::lock_guard lock(this->mutex);
        const std::uint64_t now = read_clock_ms();
        this->advance(now);
        WorkerReports reports;
        reports.set_worker(orders.worker());
        reports.set_clock_ms(now);
        reports.set_is_fenced(orders.term() < this->term);
        this->term = std::max(this->term, orders.term());
        reports.set_term(this->term);
        const bool is_expired = orders.not_after_ms() != 0 && now > orders.not_after_ms();
        if (reports.is_fenced() || is_expired)
            return reports;
        for (const TaskOrder& order : orders.orders()) {
            const task_key key(order.job(), order.attempt(), order.task());
            this->execute(order, key, now);
            TaskReport& report = *reports.add_reports();
            report.set_job(order.job());
            report.set_attempt(order.attempt());
            report.set_task(order.task());
            const auto found = this->tasks.find(key);
            report.set_state(found == this->tasks.end() ? TASK_ABSENT : found->second.state);
            if (report.state() == TASK_RUNNING && now >= found->second.started_at + usage_report_delay_ms) {
                report.set_used_cores(found->second.cores);
                report.set_used_memory_gigabytes(found->second.memory);
            }
        }
        reports.set_used_memory_gigabytes(this->sum_memory(now));
        return reports;
    }

    void print_runs(std::ostream& out, const std::string& id)
    {
        const std::lock_guard lock(this->mutex);
        const std::uint64_t now = read_clock_ms();
        this->advance(now);
        const auto print = [&](const task_key& key, const task& entry) {
            if (entry.started_at == 0)
                return;
            const std::uint64_t end = entry.state == TASK_RUNNING ? now : entry.ended_at;
            out << std::get<0>(key) << ' ' << std::get<1>(key) << ' ' << std::get<2>(key) << ' ' << id << ' '
                << entry.started_at << ' ' << end << ' ' << TaskState_Name(entry.state) << ' ' << entry.cores << '\n';
        };
        for (const auto& [key, entry] : this->forgotten_tasks)
            print(key, entry);
        for (const auto& [key, entry] : this->tasks)
            print(key, entry);
    }

    std::atomic<bool> hangs = false;
    std::atomic<bool> fails_all = false;
    std::atomic<int> checkpoint_ms = 100;

    void restart()
    {
        const std::lock_guard lock(this->mutex);
        const std::uint64_t now = read_clock_ms();
        this->advance(now);
        for (auto& [key, entry] : this->tasks)
            this->end_task(entry, TASK_STOPPED, now);
        this->forget_all();
        this->term = 0;
    }

private:
    void end_task(task& entry, TaskState state, std::uint64_t at)
    {
        if (entry.state == TASK_RUNNING)
            entry.ended_at = at;
        if (entry.state == TASK_RUNNING || entry.state == TASK_HELD)
            entry.state = state;
    }

    void advance(std::uint64_t now)
    {
        for (auto& [key, entry] : this->tasks) {
            const std::uint64_t finish = entry.state == TASK_RUNNING ? entry.finish_at : UINT64_MAX;
            if (finish <= std::min(now, entry.lease_expiry))
                this->end_task(entry, entry.fails ? TASK_FAILED : TASK_FINISHED, finish);
            else if (entry.lease_expiry < now)
                this->end_task(entry, TASK_STOPPED, entry.lease_expiry);
        }
    }

    std::uint32_t sum_memory(std::uint64_t now) const
    {
        std::uint32_t sum = 0;
        for (const auto& [key, entry] : this->tasks) {
            if (entry.state == TASK_RUNNING && now >= entry.started_at + usage_report_delay_ms)
                sum += entry.memory;
        }
        return sum;
    }

    void forget_all()
    {
        this->forgotten_tasks.insert(this->tasks.begin(), this->tasks.end());
        this->tasks.clear();
    }

    void execute(const TaskOrder& order, const task_key& key, std::uint64_t now)
    {
        const auto found = this->tasks.find(key);
        if (order.action() == TASK_HOLD) {
            if (found == this->tasks.end() && !this->forgotten_tasks.contains(key))
                this->tasks[key] = {TASK_HELD, now + order.lease_ms()};
            return;
        }
        if (found == this->tasks.end())
            return;
        task& entry = found->second;
        switch (order.action()) {
        case TASK_RELEASE:
            if (entry.state == TASK_HELD)
                this->start_task(entry, order, now);
            break;
        case TASK_RENEW:
            if (entry.state == TASK_RUNNING)
                entry.lease_expiry = now + order.lease_ms();
            if (order.cores_limit() != 0)
                entry.cores = std::min(entry.cores, order.cores_limit());
            break;
        case TASK_CHECKPOINT:
            if (entry.state == TASK_RUNNING)
                entry.lease_expiry =
                    std::min(entry.lease_expiry, now + static_cast<std::uint64_t>(this->checkpoint_ms));
            break;
        case TASK_STOP:
            this->end_task(entry, TASK_STOPPED, now);
            break;
        case TASK_FORGET:
            this->end_task(entry, TASK_STOPPED, now);
            this->forgotten_tasks.insert(*found);
            this->tasks.erase(found);
            break;
        default:
            break;
        }
    }

    void start_task(task& entry, const TaskOrder& order, std::uint64_t now)
    {
        std::uint64_t run_ms = order.expected_run_ms();
        if (order.command().starts_with("run "))
            run_ms = std::stoull(order.command().substr(4));
        entry.cores = read_number(order.command(), " cores ");
        entry.memory = read_number(order.command(), " memory ");
        entry.fails = this->fails_all || order.command() == "fail";
        entry.state = TASK_RUNNING;
        entry.started_at = now;
        entry.finish_at = now + (entry.fails ? 20 : run_ms);
        entry.lease_expiry = now + order.lease_ms();
    }

    std::mutex mutex;
    std::uint64_t term = 0;
    std::map<task_key, task> tasks;
    std::map<task_key, task> forgotten_tasks; // Forgotten tasks, kept for /runs; a hold order does not add them again.
};

constexpr std::size_t server_threads = 16;
constexpr milliseconds hang_duration{30'000};

std::string make_worker_id(int index)
{
    return "w" + std::to_string(index);
}

} // namespace

} // namespace wigeon

int main(int argc, char** argv)
{
    using namespace wigeon;
    block_stop_signals();
    if (argc != 4) {
        std::cerr << "usage: stand-in-workers HOST FIRST_PORT COUNT\n";
        return usage_exit_code;
    }
    const int first_port = std::stoi(argv[2]);
    const int count = std::stoi(argv[3]);
    std::vector<std::unique_ptr<worker>> workers;
    std::vector<std::unique_ptr<http_server>> servers;
    for (int i = 0; i < count; ++i) {
        worker& instance = *workers.emplace_back(std::make_unique<worker>());
        http_server& server = *servers.emplace_back(std::make_unique<http_server>(server_threads));
        server.routes().set_keep_alive_max_count(1'000'000);
        server.routes().set_keep_alive_timeout(3600);
        server.routes().Post("/orders", [&instance](const auto& request, auto& answer) {
            if (instance.hangs)
                std::this_thread::sleep_for(hang_duration);
            WorkerOrders orders;
            orders.ParseFromString(request.body);
            answer.set_content(instance.handle(orders).SerializeAsString(), "application/x-protobuf");
        });
    }
    // The control port follows those of the workers.
    http_server control(4);
    control.routes().Get("/runs", [&](const auto&, auto& answer) {
        std::ostringstream out;
        for (int i = 0; i < count; ++i)
            workers[static_cast<std::size_t>(i)]->print_runs(out, make_worker_id(i));
        answer.set_content(out.str(), "text/plain");
    });
    control.routes().Post("/control", [&](const auto& request, auto&) {
        worker& chosen = *workers.at(std::stoul(request.get_param_value("worker")));
        if (request.has_param("hang"))
            chosen.hangs = request.get_param_value("hang") == "1";
        if (request.has_param("fail_all"))
            chosen.fails_all = request.get_param_value("fail_all") == "1";
        if (request.has_param("checkpoint_ms"))
            chosen.checkpoint_ms = std::stoi(request.get_param_value("checkpoint_ms"));
        if (request.has_param("restart"))
            chosen.restart();
    });
    for (int i = 0; i < count; ++i)
        servers[static_cast<std::size_t>(i)]->start(std::string(argv[1]) + ":" + std::to_string(first_port + i));
    control.start(std::string(argv[1]) + ":" + std::to_string(first_port + count));
    wait_for_stop_signal();
    std::_Exit(0);
}
