// Runs a complete system on loopback for one test: the stand-ins, the fault-injecting proxy in front of each outside
// system, entries and schedulers. The ports are chosen from the free ones at the start.

#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "base/time.h"
#include "support/process.h"
#include "wigeon.pb.h"

namespace wigeon::test {

struct cluster_options {
    int entries = 2;
    int schedulers = 2;
    int workers = 4;
    int workers_per_rack = 2;
    std::uint32_t accelerators = 8; // Per worker.
    int executors = 2;
    int slots = 8; // Per executor.
    std::vector<std::string> entry_flags = {};
    std::vector<std::string> scheduler_flags = {};
    bool has_peer_proxy = false; // Proxies the connections between peers, so that a process can be cut off.
    int racks_per_zone = 1000;
};

struct http_reply {
    int status = 0; // 0: no complete response.
    std::string body;
    std::map<std::string, std::string> headers;
};

// One run of a task on a worker. The times are of the steady clock, which all workers share.
struct task_run {
    std::string job;
    std::uint32_t attempt = 0;
    std::uint32_t task = 0;
    std::string worker;
    std::uint64_t begin_ms = 0;
    std::uint64_t end_ms = 0;
    std::string state;       // Name of the TaskState.
    std::uint32_t cores = 0; // In use at the end of the run.
};

class cluster {
public:
    explicit cluster(cluster_options given_options);
    ~cluster();

    cluster(const cluster&) = delete;
    cluster& operator=(const cluster&) = delete;

    // The configuration that matches the stand-ins: accounts "large" and "small" without guarantees, classes
    // "batch" (may borrow), "strict" (may not), "urgent".
    [[nodiscard]] Configuration make_configuration() const;

    // Publishes the configuration against the base version and waits until it is in force at all started processes.
    // Throws when it is not accepted.
    void publish(const Configuration& configuration, std::uint64_t base_version = 0);
    command_result publish_file(const std::string& subcommand, const std::string& json, std::uint64_t base_version);

    // Runs wigeonctl with the log's address, JSON output and these arguments.
    command_result run_wigeonctl(const std::vector<std::string>& arguments);

    void start_entry(int index);
    [[nodiscard]] int entry_count() const { return this->options.entries; }
    void start_scheduler(int index);
    void wait_until_ready(const std::string& role, int index) const; // Until /readyz returns 200.
    process& entry(int index) { return this->entries.at(static_cast<std::size_t>(index)); }
    process& scheduler(int index) { return this->schedulers.at(static_cast<std::size_t>(index)); }
    [[nodiscard]] std::string platform_address() const;
    [[nodiscard]] std::string operator_address(const std::string& role, int index) const;
    [[nodiscard]] int caller_port(int entry) const { return this->ports.at("caller:entry" + std::to_string(entry)); }
    [[nodiscard]] int operator_port(const std::string& role, int index) const
    {
        return this->ports.at("operator:" + role + std::to_string(index));
    }
    process& platform() { return this->platform_process; }

    // Sends a request to an entry's caller port.
    [[nodiscard]] http_reply post(int entry, const std::string& path, const std::string& body,
                                  const std::map<std::string, std::string>& headers = {},
                                  milliseconds timeout = milliseconds(15'000)) const;
    [[nodiscard]] http_reply get(int entry, const std::string& path) const;

    // Sends a request with its id and the body "body-of-ID", by default of account "small" and class "batch".
    http_reply request(int entry, const std::string& id, const std::string& path,
                       std::map<std::string, std::string> headers = {}) const;

    // Submits a job and returns its id. Throws when it is not accepted.
    std::string submit(int entry, const JobRequest& job) const;
    [[nodiscard]] Job read_job(int entry, const std::string& id) const;

    // Field of the JSON at /v1/status of a scheduler; empty when it does not answer or has no such field.
    [[nodiscard]] std::string status(int scheduler, const std::string& field) const;
    [[nodiscard]] int find_holder() const; // -1 when no scheduler reports that it holds the term.

    // Value of a series at an entry's or scheduler's /metrics; 0 when it is missing, -1 when there is no response.
    [[nodiscard]] double metric(const std::string& role, int index, const std::string& series) const;

    // The configuration version in force at a process, from a response header of an entry or the status of a scheduler;
    // 0 when it does not answer.
    [[nodiscard]] std::uint64_t version_at(const std::string& role, int index) const;

    // What the workers and executors recorded since their start: the runs of tasks, how often each request ran by its
    // id, the lines of the executors' GET /loads (see stand_ins/executors.cpp), and the requests that reached one
    // executor.
    [[nodiscard]] std::vector<task_run> read_task_runs() const;
    [[nodiscard]] std::map<std::string, int> read_request_runs() const;
    [[nodiscard]] std::string read_executor_loads() const;
    [[nodiscard]] int count_received(int executor) const;

    void control_platform(const std::string& form) const; // e.g. "down=1"
    void set_host_leaving(const std::string& id, bool is_leaving) const;
    void control_worker(int worker, const std::string& form) const; // e.g. "hang=1"
    void control_executor(const std::string& executor, const std::string& form) const;

    // Sets a fault of stand-in-proxy on the routes of a target: "log:entry0", "log:scheduler1", "worker3", "executor0"
    // or "peers:entry0"; "all:log" selects all targets whose name begins with "log". With `from`, only connections from
    // that address are affected. Throws when there is no such target.
    void set_fault(const std::string& target, const std::string& fault, const std::string& from = "") const;

    // The address from which the scheduler calls workers.
    static std::string source_of_scheduler(int index) { return "127.0.0." + std::to_string(10 + index); }

    // Throws when the condition does not hold within the timeout.
    static void wait_until(const std::function<bool()>& condition, milliseconds timeout, const std::string& what);

private:
    std::string list_peers(const std::string& name) const;
    void post_form(int port, const std::string& path, const std::string& form) const;
    std::vector<std::string> make_common_flags(const std::string& name);

    cluster_options options;
    std::string folder;
    std::map<std::string, int> ports;               // By the name of the listener.
    std::map<std::string, std::vector<int>> routes; // Proxy ports by the name of the fault target.
    process platform_process;
    process workers_process;
    process executors_process;
    process proxy_process;
    std::vector<process> entries;
    std::vector<process> schedulers;
};

} // namespace wigeon::test
