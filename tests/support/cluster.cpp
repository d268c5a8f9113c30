// Starts and stops the processes of a test and sends requests to them.

#include "support/cluster.h"

#include <atomic>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <stdexcept>
#include <thread>

#include <google/protobuf/struct.pb.h>
#include <httplib.h>

#include "base/json.h"
#include "base/network.h"
#include "support/ports.h"

namespace wigeon::test {

namespace {

constexpr const char* host = "127.0.0.1";
constexpr milliseconds start_timeout{30'000};

std::string address_of(int port)
{
    return std::string(host) + ":" + std::to_string(port);
}

http_reply make_reply(const httplib::Result& response)
{
    http_reply reply;
    if (!response)
        return reply;
    reply.status = response->status;
    reply.body = response->body;
    for (const auto& [name, value] : response->headers)
        reply.headers[name] = value;
    return reply;
}

std::string find_program(const std::string& name)
{
    const char* folder = std::getenv("WIGEON_BUILD");
    return std::string(folder == nullptr ? "." : folder) + "/" + name;
}

} // namespace

cluster::cluster(cluster_options given_options)
    : options(std::move(given_options)),
      entries(static_cast<std::size_t>(this->options.entries)),
      schedulers(static_cast<std::size_t>(this->options.schedulers))
{
    std::string pattern = (std::filesystem::temp_directory_path() / "wigeon-test-XXXXXX").string();
    this->folder = mkdtemp(pattern.data());
    std::vector<std::string> names;
    for (int i = 0; i < this->options.entries; ++i)
        names.push_back("entry" + std::to_string(i));
    for (int i = 0; i < this->options.schedulers; ++i)
        names.push_back("scheduler" + std::to_string(i));
    this->ports["platform"] = allocate_ports(1);
    this->ports["workers"] = allocate_ports(this->options.workers + 1);
    this->ports["executors"] = allocate_ports(this->options.executors + 1);
    this->ports["proxy"] = allocate_ports(1);
    std::vector<std::string> proxy_command = {find_program("tests/stand-in-proxy"), host,
                                              std::to_string(this->ports["proxy"])};
    const auto add_route = [&](const std::string& target, const std::string& key, int port) {
        const int route_port = allocate_ports(1);
        this->ports[key] = route_port;
        this->routes[target].push_back(route_port);
        proxy_command.push_back(std::to_string(route_port) + "=" + address_of(port));
    };
    for (const std::string& name : names) {
        this->ports["caller:" + name] = allocate_ports(1);
        this->ports["operator:" + name] = allocate_ports(1);
        this->ports["peer:" + name] = allocate_ports(2);
        add_route("log:" + name, "log:" + name, this->ports["platform"]);
    }
    for (int i = 0; i < this->options.workers; ++i)
        add_route("worker" + std::to_string(i), "worker" + std::to_string(i), this->ports["workers"] + i);
    for (int i = 0; i < this->options.executors; ++i)
        add_route("executor" + std::to_string(i), "executor" + std::to_string(i), this->ports["executors"] + i);
    for (const std::string& from : this->options.has_peer_proxy ? names : std::vector<std::string>{}) {
        for (const std::string& to : names) {
            if (from == to)
                continue;
            const int first_port = allocate_ports(2);
            this->ports["peer:" + from + ">" + to] = first_port;
            for (int i = 0; i < 2; ++i) {
                proxy_command.push_back(std::to_string(first_port + i) + "=" +
                                        address_of(this->ports["peer:" + to] + i));
                this->routes["peers:" + from].push_back(first_port + i);
                this->routes["peers:" + to].push_back(first_port + i);
            }
        }
    }
    this->platform_process = process(this->folder, "platform",
                                     {find_program("tests/stand-in-platform"), address_of(this->ports["platform"])});
    this->workers_process = process(this->folder, "workers",
                                    {find_program("tests/stand-in-workers"), host,
                                     std::to_string(this->ports["workers"]), std::to_string(this->options.workers)});
    this->executors_process =
        process(this->folder, "executors",
                {find_program("tests/stand-in-executors"), host, std::to_string(this->ports["executors"]),
                 std::to_string(this->options.executors), std::to_string(this->options.slots)});
    this->proxy_process = process(this->folder, "proxy", proxy_command);
    wait_until(
        [this] {
            httplib::Client client(host, this->ports.at("platform"));
            return static_cast<bool>(client.Get("/hosts"));
        },
        start_timeout, "the platform");
    wait_until(
        [this] {
            httplib::Client client(host, this->ports.at("proxy"));
            return static_cast<bool>(client.Post("/control", httplib::Params{{"route", "nothing"}}));
        },
        start_timeout, "the proxy");
    for (int i = 0; i < this->options.schedulers; ++i)
        this->start_scheduler(i);
    for (int i = 0; i < this->options.entries; ++i)
        this->start_entry(i);
    for (int i = 0; i < this->options.schedulers; ++i)
        this->wait_until_ready("scheduler", i);
    for (int i = 0; i < this->options.entries; ++i)
        this->wait_until_ready("entry", i);
    wait_until([this] { return this->find_holder() >= 0; }, start_timeout, "a holder of the term");
}

cluster::~cluster()
{
    this->entries.clear();
    this->schedulers.clear();
    if (std::getenv("WIGEON_KEEP_LOGS") == nullptr)
        std::filesystem::remove_all(this->folder);
}

void cluster::wait_until(const std::function<bool()>& condition, milliseconds timeout, const std::string& what)
{
    const steady_time deadline = read_steady_clock() + timeout;
    while (!condition()) {
        if (read_steady_clock() > deadline)
            throw std::runtime_error("timed out after " + std::to_string(timeout.count()) + " ms waiting for " + what);
        std::this_thread::sleep_for(milliseconds(20));
    }
}

std::string cluster::list_peers(const std::string& name) const
{
    std::string peers;
    for (const auto& [key, port] : this->ports) {
        const bool is_peer = this->options.has_peer_proxy ? key.starts_with("peer:" + name + ">")
                                                          : key.starts_with("peer:") && key != "peer:" + name;
        if (is_peer)
            peers += (peers.empty() ? "" : ",") + address_of(port);
    }
    return peers;
}

std::vector<std::string> cluster::make_common_flags(const std::string& name)
{
    return {"--log_address=" + address_of(this->ports["log:" + name]),
            "--host_list_address=" + address_of(this->ports["platform"]),
            "--peer_address=" + address_of(this->ports["peer:" + name]),
            "--peers=" + this->list_peers(name),
            "--operator_address=" + address_of(this->ports["operator:" + name]),
            "--beat_interval_ms=200",
            "--idle_beat_interval_ms=400",
            "--peer_timeout_ms=1000"};
}

void cluster::start_entry(int index)
{
    const std::string name = "entry" + std::to_string(index);
    std::vector<std::string> command = {find_program("wigeon-entry"),
                                        "--listen_address=" + address_of(this->ports["caller:" + name])};
    for (const std::string& flag : this->make_common_flags(name))
        command.push_back(flag);
    command.insert(command.end(), this->options.entry_flags.begin(), this->options.entry_flags.end());
    this->entry(index) = process(this->folder, name, command);
}

void cluster::start_scheduler(int index)
{
    const std::string name = "scheduler" + std::to_string(index);
    std::vector<std::string> command = {find_program("wigeon-scheduler"),
                                        "--worker_source_address=" + source_of_scheduler(index)};
    for (const std::string& flag : this->make_common_flags(name))
        command.push_back(flag);
    command.insert(command.end(), this->options.scheduler_flags.begin(), this->options.scheduler_flags.end());
    this->scheduler(index) = process(this->folder, name, command);
}

std::string cluster::platform_address() const
{
    return address_of(this->ports.at("platform"));
}

std::string cluster::operator_address(const std::string& role, int index) const
{
    return address_of(this->ports.at("operator:" + role + std::to_string(index)));
}

void cluster::wait_until_ready(const std::string& role, int index) const
{
    const std::string name = role + std::to_string(index);
    wait_until(
        [&] {
            httplib::Client client(host, this->ports.at("operator:" + name));
            const auto response = client.Get("/readyz");
            return response && response->status == 200;
        },
        start_timeout, name);
}

Configuration cluster::make_configuration() const
{
    Configuration configuration;
    for (const char* name : {"large", "small"}) {
        Account* account = configuration.add_accounts();
        account->set_name(name);
        account->set_weight(1);
    }
    for (const char* name : {"batch", "strict", "urgent"}) {
        JobClass* job_class = configuration.add_classes();
        job_class->set_name(name);
        job_class->set_weight(1);
        job_class->set_urgent(std::string(name) == "urgent");
        job_class->set_may_borrow(std::string(name) != "strict");
    }
    for (int i = 0; i < this->options.workers; ++i) {
        Worker* worker = configuration.add_workers();
        worker->set_id("w" + std::to_string(i));
        const int rack = i / this->options.workers_per_rack;
        worker->set_zone("zone-" + std::to_string(1 + rack / this->options.racks_per_zone));
        worker->set_rack("rack-" + std::to_string(rack));
        worker->set_address(address_of(this->ports.at("worker" + std::to_string(i))));
        worker->set_accelerators(this->options.accelerators);
        worker->set_cores(130);
        worker->set_memory_gigabytes(250);
    }
    for (int i = 0; i < this->options.executors; ++i) {
        Executor* executor = configuration.add_executors();
        executor->set_id("e" + std::to_string(i));
        executor->set_zone("zone-1");
        executor->set_address(address_of(this->ports.at("executor" + std::to_string(i))));
        executor->set_slots(static_cast<std::uint32_t>(this->options.slots));
        executor->set_connections(60);
    }
    return configuration;
}

command_result cluster::publish_file(const std::string& subcommand, const std::string& json, std::uint64_t base_version)
{
    static std::atomic<int> count = 0;
    const std::string path = this->folder + "/change-" + std::to_string(++count) + ".json";
    std::ofstream(path) << json;
    return this->run_wigeonctl({subcommand, path, "--base_version=" + std::to_string(base_version)});
}

command_result cluster::run_wigeonctl(const std::vector<std::string>& arguments)
{
    std::vector<std::string> command = {find_program("wigeonctl"),
                                        "--log_address=" + address_of(this->ports["platform"]), "--output=json"};
    command.insert(command.end(), arguments.begin(), arguments.end());
    return run_command(this->folder, "wigeonctl", command);
}

void cluster::publish(const Configuration& configuration, std::uint64_t base_version)
{
    const command_result result = this->publish_file("publish", format_json(configuration), base_version);
    if (result.exit_code != 0)
        throw std::runtime_error("publishing the configuration failed: " + result.output);
    const auto is_in_force = [&] {
        for (int i = 0; i < this->options.entries; ++i) {
            if (this->entry(i).is_started() && this->version_at("entry", i) <= base_version)
                return false;
        }
        for (int i = 0; i < this->options.schedulers; ++i) {
            if (this->scheduler(i).is_started() && this->version_at("scheduler", i) <= base_version)
                return false;
        }
        return true;
    };
    wait_until(is_in_force, start_timeout, "the configuration");
    // An entry's share of the executors' slots grows only after a delay.
    if (base_version == 0 && this->options.entries > 0 && this->options.executors > 0)
        std::this_thread::sleep_for(milliseconds(2800));
}

http_reply cluster::post(int entry, const std::string& path, const std::string& body,
                         const std::map<std::string, std::string>& headers, milliseconds timeout) const
{
    httplib::Client client(host, this->ports.at("caller:entry" + std::to_string(entry)));
    client.set_read_timeout(timeout);
    const auto response = client.Post(path, httplib::Headers(headers.begin(), headers.end()), body, "application/json");
    return make_reply(response);
}

http_reply cluster::get(int entry, const std::string& path) const
{
    httplib::Client client(host, this->ports.at("caller:entry" + std::to_string(entry)));
    const auto response = client.Get(path);
    return make_reply(response);
}

http_reply cluster::request(int entry, const std::string& id, const std::string& path,
                            std::map<std::string, std::string> headers) const
{
    headers.emplace("Wigeon-Account", "small");
    headers.emplace("Wigeon-Class", "batch");
    headers.emplace("Wigeon-Request-Id", id);
    return this->post(entry, "/v1/requests" + path, "body-of-" + id, headers);
}

std::string cluster::submit(int entry, const JobRequest& job) const
{
    const http_reply reply = this->post(entry, "/v1/jobs", format_json(job));
    if (reply.status != 202)
        throw std::runtime_error("submitting the job failed: " + std::to_string(reply.status) + " " + reply.body);
    return job.account() + "/" + job.key();
}

Job cluster::read_job(int entry, const std::string& id) const
{
    const http_reply reply = this->get(entry, "/v1/jobs/" + id);
    Job job;
    if (reply.status == 200)
        parse_json(reply.body, job);
    return job;
}

std::string cluster::status(int scheduler, const std::string& field) const
{
    httplib::Client client(host, this->ports.at("operator:scheduler" + std::to_string(scheduler)));
    client.set_read_timeout(milliseconds(500));
    const auto response = client.Get("/v1/status");
    if (!response)
        return "";
    google::protobuf::Struct status;
    parse_json(response->body, status);
    const auto found = status.fields().find(field);
    if (found == status.fields().end())
        return "";
    const google::protobuf::Value& value = found->second;
    if (value.has_bool_value())
        return value.bool_value() ? "true" : "false";
    return value.has_string_value() ? value.string_value()
                                    : std::to_string(static_cast<std::uint64_t>(value.number_value()));
}

int cluster::find_holder() const
{
    for (int i = 0; i < this->options.schedulers; ++i) {
        if (this->schedulers.at(static_cast<std::size_t>(i)).is_started() && this->status(i, "is_holder") == "true")
            return i;
    }
    return -1;
}

double cluster::metric(const std::string& role, int index, const std::string& series) const
{
    httplib::Client client(host, this->ports.at("operator:" + role + std::to_string(index)));
    const auto response = client.Get("/metrics");
    if (!response)
        return -1;
    std::istringstream lines(response->body);
    for (std::string line; std::getline(lines, line);) {
        if (line.starts_with(series + " "))
            return std::stod(line.substr(series.size() + 1));
    }
    return 0;
}

std::uint64_t cluster::version_at(const std::string& role, int index) const
{
    if (role == "scheduler") {
        const std::string text = this->status(index, "configuration_version");
        return text.empty() ? 0 : std::stoull(text);
    }
    const http_reply reply = this->get(index, "/v1/jobs/none/none");
    const auto found = reply.headers.find("Wigeon-Configuration-Version");
    return found == reply.headers.end() ? 0 : std::stoull(found->second);
}

std::vector<task_run> cluster::read_task_runs() const
{
    httplib::Client client(host, this->ports.at("workers") + this->options.workers);
    const auto response = client.Get("/runs");
    std::vector<task_run> runs;
    std::istringstream text(response ? response->body : "");
    for (task_run run; text >> run.job >> run.attempt >> run.task >> run.worker >> run.begin_ms >> run.end_ms >>
                       run.state >> run.cores;)
        runs.push_back(run);
    return runs;
}

std::map<std::string, int> cluster::read_request_runs() const
{
    httplib::Client client(host, this->ports.at("executors") + this->options.executors);
    const auto response = client.Get("/runs");
    std::map<std::string, int> runs;
    std::istringstream text(response ? response->body : "");
    std::string id;
    for (int count = 0; text >> id >> count;)
        runs[id] = count;
    return runs;
}

std::string cluster::read_executor_loads() const
{
    httplib::Client client(host, this->ports.at("executors") + this->options.executors);
    const auto response = client.Get("/loads");
    return response ? response->body : "";
}

int cluster::count_received(int executor) const
{
    std::istringstream lines(this->read_executor_loads());
    std::string line;
    for (int i = 0; i <= executor; ++i)
        std::getline(lines, line);
    return std::stoi(line.substr(line.rfind(' ') + 1));
}

void cluster::post_form(int port, const std::string& path, const std::string& form) const
{
    httplib::Client client(host, port);
    if (!client.Post(path, form, "application/x-www-form-urlencoded"))
        throw std::runtime_error("no response from the stand-in at port " + std::to_string(port));
}

void cluster::control_platform(const std::string& form) const
{
    this->post_form(this->ports.at("platform"), "/control", form);
}

void cluster::set_host_leaving(const std::string& id, bool is_leaving) const
{
    this->post_form(this->ports.at("platform"), "/hosts", "id=" + id + "&leaving=" + (is_leaving ? "1" : "0"));
}

void cluster::control_worker(int worker, const std::string& form) const
{
    this->post_form(this->ports.at("workers") + this->options.workers, "/control",
                    "worker=" + std::to_string(worker) + "&" + form);
}

void cluster::control_executor(const std::string& executor, const std::string& form) const
{
    this->post_form(this->ports.at("executors") + this->options.executors, "/control",
                    "executor=" + executor + "&" + form);
}

void cluster::set_fault(const std::string& target, const std::string& fault, const std::string& from) const
{
    const std::string suffix = "&fault=" + fault + (from.empty() ? "" : "&from=" + from);
    bool is_found = false;
    for (const auto& [name, route_ports] : this->routes) {
        if (name != target && !(target.starts_with("all:") && name.starts_with(target.substr(4))))
            continue;
        is_found = true;
        for (const int port : route_ports)
            this->post_form(this->ports.at("proxy"), "/control", "route=" + std::to_string(port) + suffix);
    }
    if (!is_found)
        throw std::runtime_error("no proxy route " + target);
    // The proxy applies a changed fault after its current poll, which takes up to 20 ms.
    std::this_thread::sleep_for(milliseconds(60));
}

} // namespace wigeon::test
