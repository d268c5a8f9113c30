// wigeon-node: a scheduler node on an entry host of the users' platform.

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <iostream>
#include <memory>
#include <string>

#include <sys/stat.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <gflags/gflags.h>

#include "base/address.h"
#include "base/error_kind.h"
#include "base/logging.h"
#include "base/metrics.h"
#include "base/version.h"
#include "node/node_process.h"
#include "platform/advice_client.h"
#include "platform/caller_interface.h"
#include "platform/executor_client.h"
#include "platform/json_document_decoder.h"
#include "platform/node_settings.h"
#include "platform/store_client.h"

DEFINE_string(settings, "", "settings file; the environment variable WIGEONCOURSE_NODE_FILE names it by default");
DEFINE_int32(metrics_port, 0, "port of /metrics on the node's address; 0: the first free port of the settings");
DEFINE_string(log_format, "json", "json or key=value");
DEFINE_string(progress_format, "per_job",
              "per_job, or per_unit once every node runs a build that reads it; a store stays in the per-unit format");
DEFINE_int32(job_retention_s, 3'600,
             "seconds for which ended jobs stay known; at least twice as long as the settings let callers ask");

DEFINE_bool(place_by_speed, false,
            "place tasks by the measured speeds of the executors while these differ; see docs/OPERATIONS.md");
DEFINE_bool(bound_preemption, false, "limit how much work is stopped for work that no guarantee covers");
DEFINE_bool(share_by_account, false, "while room is short, serve the accounts that use less than their share first");
DEFINE_int32(header_timeout_ms, 3'000, "milliseconds from the first byte of a caller's request to the end of its head");

namespace wigeon {

namespace {

constexpr int usage_error_exit_code = 2;

// Callers' connections are persistent. These descriptors are left for the store, executors and files.
constexpr std::size_t reserved_descriptors = 1'200;
constexpr std::size_t header_byte_limit = 16'384;
constexpr std::size_t body_byte_limit = 262'144;
constexpr milliseconds caller_idle_timeout{15'000};

// Connections of callers may hold this part of the host's memory.
constexpr std::size_t held_memory_divisor = 4;
constexpr std::size_t bytes_per_mb = 1'048'576;

// Interval of the checks for a settings file that changed without a signal.
constexpr milliseconds settings_poll_interval{1'000};

// Followers treat the leader as gone after four missed heartbeats. A weak host waits longer, so that a stronger one can
// claim the leadership first.
constexpr milliseconds leader_timeout{1'600};

constexpr milliseconds resignation_delay{30}; // Replaces the timeout after a resignation.
constexpr milliseconds weak_host_delay{600};
constexpr milliseconds claim_jitter{200};
constexpr double strong_host_cpu_share = 0.25;

// Left between the last order that a leader may send and the earliest claim of a follower: for the time between the
// check and the send, and for clocks that run at different rates.
constexpr milliseconds takeover_margin{400};

// Weak hosts, which are many and claim later anyway, read less often. The number of waiting jobs may be 2 s old.
constexpr follower_pace weak_host_pace{milliseconds(1'000), milliseconds(2'000), milliseconds(2'500)};

// An idle executor answers a poll at least every 2 s; one poll may be lost.
constexpr milliseconds max_poll_age{5'000};

// Ended jobs are kept this many times as long as callers may ask for their state.
constexpr int job_retention_factor = 2;

// Nothing is started this long before an evacuation that this node has not read could take effect: an append and the
// start itself lie between the decision and the executor.
constexpr milliseconds evacuation_margin{1'200};

// Keys are refused this long before a configuration change that this node has not read could take effect.
constexpr milliseconds revocation_margin{1'200};

std::string find_settings_path()
{
    if (!FLAGS_settings.empty())
        return FLAGS_settings;
    const char* path = std::getenv("WIGEONCOURSE_NODE_FILE");
    if (path == nullptr)
        throw error(error_kind::malformed_request, "--settings or WIGEONCOURSE_NODE_FILE must name the settings file");
    return path;
}

node_options make_options(const platform::node_settings& settings)
{
    node_options options;
    options.leading.identity = {settings.node_name, generate_incarnation()};
    options.caller_address = settings.caller_address;
    options.ready_address = settings.ready_address;
    const int metrics_port = FLAGS_metrics_port > 0 ? FLAGS_metrics_port : settings.first_free_port;
    options.metrics_address = settings.ip + ":" + std::to_string(metrics_port);
    const std::size_t connections = settings.max_descriptors > 2 * reserved_descriptors
                                        ? settings.max_descriptors - reserved_descriptors
                                        : std::max<std::size_t>(settings.max_descriptors / 2, 1);
    options.caller_limits = {header_byte_limit, body_byte_limit, connections, caller_idle_timeout,
                             milliseconds(FLAGS_header_timeout_ms)};
    options.caller_limits.held_bytes = settings.memory_mb * bytes_per_mb / held_memory_divisor;
    options.leading.limits = {settings.max_lease,
                              settings.max_stop_time,
                              max_poll_age,
                              {FLAGS_place_by_speed, FLAGS_bound_preemption, FLAGS_share_by_account}};
    if (settings.evacuation_limit)
        options.leading.max_evacuation_age =
            std::max(*settings.evacuation_limit - evacuation_margin, evacuation_margin);
    options.leading.max_confirmation_age = leader_timeout - takeover_margin;
    options.leading.job_retention = std::max<milliseconds>(settings.job_state_retention * job_retention_factor,
                                                           std::chrono::seconds(FLAGS_job_retention_s));
    options.service_limits.max_policy_age = settings.revocation_limit - revocation_margin;
    options.service_limits.early_cancellation_retention = options.leading.job_retention;
    const milliseconds jitter(static_cast<std::int64_t>(options.leading.identity.incarnation %
                                                        static_cast<std::uint64_t>(claim_jitter.count())));
    const bool is_weak_host = settings.cpu_share < strong_host_cpu_share;
    const milliseconds host_delay = is_weak_host ? weak_host_delay : milliseconds(0);
    if (is_weak_host)
        options.following = weak_host_pace;
    options.election = {leader_timeout + host_delay + jitter, resignation_delay + host_delay + jitter};
    options.leading.converts_to_unit_records = FLAGS_progress_format == "per_unit";
    options.shutdown_timeout = settings.stop_grace;
    return options;
}

// Reloads the settings on SIGHUP and when the file changes.
class settings_watcher {
public:
    settings_watcher(boost::asio::io_context& loop, std::string watched_path, platform::node_settings initial,
                     platform::store_client& store_connection)
        : timer(loop),
          path(std::move(watched_path)),
          current(std::move(initial)),
          store(store_connection),
          modification_time(read_modification_time(path))
    {
        this->poll();
    }

    void reload(std::string_view cause)
    {
        try {
            const platform::node_settings reloaded = platform::read_node_settings(this->path);
            log_event("settings_read", {{"cause", std::string(cause)},
                                        {"changed", reloaded == this->current ? "false" : "true"},
                                        {"store", reloaded.store_address}});
            this->store.set_address(reloaded.store_address);
            this->current = reloaded;
        }
        catch (const error& failure) {
            log_event("settings_refused", {{"cause", std::string(cause)}, {"reason", failure.what()}});
            process_metrics().count("wigeon_settings_refused_total");
        }
    }

private:
    static std::int64_t read_modification_time(const std::string& path)
    {
        struct stat status {};
        constexpr std::int64_t nanoseconds_per_second = 1'000'000'000;
        if (::stat(path.c_str(), &status) != 0)
            return 0;
        return status.st_mtim.tv_sec * nanoseconds_per_second + status.st_mtim.tv_nsec;
    }

    void poll()
    {
        this->timer.expires_after(settings_poll_interval);
        this->timer.async_wait([this](const boost::system::error_code& reason) {
            if (reason)
                return;
            const std::int64_t latest = read_modification_time(this->path);
            if (latest != this->modification_time)
                this->reload("file_changed");
            this->modification_time = latest;
            this->poll();
        });
    }

    boost::asio::steady_timer timer;
    std::string path;
    platform::node_settings current;
    platform::store_client& store;
    std::int64_t modification_time;
};

void run()
{
    if (FLAGS_progress_format != "per_job" && FLAGS_progress_format != "per_unit")
        throw error(error_kind::malformed_request, "--progress_format must be per_job or per_unit");
    if (FLAGS_job_retention_s < 0)
        throw error(error_kind::malformed_request, "--job_retention_s must not be negative");
    if (FLAGS_header_timeout_ms < 1)
        throw error(error_kind::malformed_request, "--header_timeout_ms must be positive");
    const std::string path = find_settings_path();
    const platform::node_settings settings = platform::read_node_settings(path);
    boost::asio::io_context loop(1);
    platform::store_client store(loop, settings.store_address, settings.store_limits);
    platform::executor_client executors(loop);
    platform::advice_client advisor(loop, settings.advisor_address);
    const platform::json_document_decoder documents;
    const node_options options = make_options(settings);
    node_process node(loop, options, {store, executors, advisor, documents, platform::make_document_topics()});
    platform::caller_interface callers(node.callers(), node.state(), advisor.is_configured());
    settings_watcher watcher(loop, path, settings, store);

    boost::asio::signal_set signals(loop, SIGTERM, SIGINT, SIGHUP);
    std::function<void()> wait_for_signal = [&] {
        signals.async_wait([&](const boost::system::error_code& reason, int signal) {
            if (reason)
                return;
            if (signal == SIGHUP)
                watcher.reload("signal");
            else
                node.stop();
            wait_for_signal();
        });
    };
    wait_for_signal();
    node.start(
        [&callers](const incoming_request& request, const reply_handler& reply) { callers.handle(request, reply); });
    log_event("started", {{"node", settings.node_name},
                          {"zone", settings.zone},
                          {"incarnation", format_incarnation(options.leading.identity.incarnation)},
                          {"version", version_text},
                          {"callers", options.caller_address},
                          {"metrics", options.metrics_address},
                          {"store", settings.store_address}});
    loop.run();
}

} // namespace

} // namespace wigeon

int main(int argc, char** argv)
{
    gflags::SetVersionString(wigeon::version_text);
    gflags::SetUsageMessage("wigeon-node: the scheduler on one entry host of the users' platform");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    std::signal(SIGPIPE, SIG_IGN);
    wigeon::start_background_logging("wigeon-node", FLAGS_log_format);
    try {
        wigeon::run();
        wigeon::stop_logging();
        // The exit handlers of libraries could only delay the exit.
        std::_Exit(0);
    }
    catch (const wigeon::error& failure) {
        wigeon::stop_logging();
        std::cerr << "wigeon-node: " << failure.what() << '\n';
        return wigeon::usage_error_exit_code;
    }
    catch (const std::exception& failure) {
        wigeon::stop_logging();
        std::cerr << "wigeon-node: " << failure.what() << '\n';
        return 1;
    }
}
