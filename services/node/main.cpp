// wigeon-node: the scheduler on one entry host of the users' platform.

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
#include "platform/documents.h"
#include "platform/executor_client.h"
#include "platform/node_settings.h"
#include "platform/store_client.h"

DEFINE_string(settings, "", "settings file; the environment variable WIGEONCOURSE_NODE_FILE names it by default");
DEFINE_int32(metrics_port, 0, "port of /metrics on the node's address; 0: the first free port of the settings");
DEFINE_string(log_format, "json", "json or key=value");
DEFINE_int32(job_retention_s, 3'600,
             "seconds for which ended jobs stay known; at least twice as long as the settings let callers ask");

namespace wigeon {

namespace {

constexpr int usage_failure = 2;

// Callers' connections are kept open; the rest of the descriptors is for the store, executors and files.
constexpr std::size_t reserved_descriptors = 1'200;
constexpr std::size_t header_byte_limit = 16'384;
constexpr std::size_t body_byte_limit = 262'144;
constexpr milliseconds caller_idle_timeout{15'000};

// A settings file that changes without a signal is noticed within this time.
constexpr milliseconds settings_poll{1'000};

// Followers take the leader as gone after four beats that did not come; a weak host gives stronger ones time to claim.
constexpr milliseconds leader_silence{1'600};
constexpr milliseconds handover_wait{30};
constexpr milliseconds weak_host_wait{600};
constexpr milliseconds claim_spread{200};
constexpr double strong_host_share = 0.25;

// An executor answers a look at least every 2 s when it is idle; one look may be lost.
constexpr milliseconds oldest_look{5'000};

// Ended jobs stay known for this many times as long as callers may ask for them.
constexpr int job_retention_factor = 2;

// Keys are refused this long before a change that this node has not seen could be binding.
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
    options.leading.identity = {settings.node_name, draw_incarnation()};
    options.caller_address = settings.caller_address;
    options.ready_address = settings.ready_address;
    const int metrics_port = FLAGS_metrics_port > 0 ? FLAGS_metrics_port : settings.first_free_port;
    options.metrics_address = settings.ip + ":" + std::to_string(metrics_port);
    const std::size_t connections = settings.descriptors > 2 * reserved_descriptors
                                        ? settings.descriptors - reserved_descriptors
                                        : reserved_descriptors;
    options.caller_limits = {header_byte_limit, body_byte_limit, connections, caller_idle_timeout};
    options.leading.bounds = {settings.longest_lease, settings.stop_time, oldest_look};
    options.leading.job_retention = std::max<milliseconds>(settings.job_state_time * job_retention_factor,
                                                           std::chrono::seconds(FLAGS_job_retention_s));
    options.callers.max_policy_age = settings.revocation_limit - revocation_margin;
    const milliseconds spread(static_cast<std::int64_t>(options.leading.identity.incarnation %
                                                        static_cast<std::uint64_t>(claim_spread.count())));
    const milliseconds handicap = settings.cpu_share < strong_host_share ? weak_host_wait : milliseconds(0);
    options.election = {leader_silence + handicap + spread, handover_wait + handicap + spread};
    options.shutdown_timeout = settings.stop_grace;
    return options;
}

// Reads the settings again on SIGHUP and when the file changes.
class settings_watch {
public:
    settings_watch(boost::asio::io_context& loop, std::string watched_path, platform::node_settings read,
                   platform::store_client& store_connection)
        : timer(loop),
          path(std::move(watched_path)),
          current(std::move(read)),
          store(store_connection),
          modified(find_modification(path))
    {
        this->poll();
    }

    void reload(std::string_view cause)
    {
        try {
            const platform::node_settings changed = platform::read_node_settings(this->path);
            log_change("settings_read", {{"cause", std::string(cause)},
                                         {"changed", changed == this->current ? "false" : "true"},
                                         {"store", changed.store_address}});
            this->store.set_address(changed.store_address);
            this->current = changed;
        }
        catch (const error& failure) {
            log_change("settings_refused", {{"cause", std::string(cause)}, {"reason", failure.what()}});
            process_metrics().count("wigeon_settings_refused_total");
        }
    }

private:
    static std::int64_t find_modification(const std::string& path)
    {
        struct stat status {};
        constexpr std::int64_t nanoseconds_per_second = 1'000'000'000;
        if (::stat(path.c_str(), &status) != 0)
            return 0;
        return status.st_mtim.tv_sec * nanoseconds_per_second + status.st_mtim.tv_nsec;
    }

    void poll()
    {
        this->timer.expires_after(settings_poll);
        this->timer.async_wait([this](const boost::system::error_code& reason) {
            if (reason)
                return;
            const std::int64_t seen = find_modification(this->path);
            if (seen != this->modified)
                this->reload("file_changed");
            this->modified = seen;
            this->poll();
        });
    }

    boost::asio::steady_timer timer;
    std::string path;
    platform::node_settings current;
    platform::store_client& store;
    std::int64_t modified;
};

void run()
{
    if (FLAGS_job_retention_s < 0)
        throw error(error_kind::malformed_request, "--job_retention_s must not be negative");
    const std::string path = find_settings_path();
    const platform::node_settings settings = platform::read_node_settings(path);
    boost::asio::io_context loop(1);
    platform::store_client store(loop, settings.store_address);
    platform::executor_client executors(loop);
    platform::advice_client advisor(loop, settings.advisor_address);
    const platform::json_documents documents;
    const node_options options = make_options(settings);
    node_process node(loop, options, {store, executors, advisor, documents, platform::make_document_topics()});
    platform::caller_interface callers(node.callers(), node.state(), advisor.is_known());
    settings_watch watch(loop, path, settings, store);

    boost::asio::signal_set signals(loop, SIGTERM, SIGINT, SIGHUP);
    std::function<void()> wait_for_signal = [&] {
        signals.async_wait([&](const boost::system::error_code& reason, int signal) {
            if (reason)
                return;
            if (signal == SIGHUP)
                watch.reload("signal");
            else
                node.stop();
            wait_for_signal();
        });
    };
    wait_for_signal();
    node.start(
        [&callers](const incoming_request& request, const reply_handler& reply) { callers.handle(request, reply); });
    log_change("started", {{"node", settings.node_name},
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
        // What libraries do at a regular exit could only delay the end.
        std::_Exit(0);
    }
    catch (const wigeon::error& failure) {
        wigeon::stop_logging();
        std::cerr << "wigeon-node: " << failure.what() << '\n';
        return wigeon::usage_failure;
    }
    catch (const std::exception& failure) {
        wigeon::stop_logging();
        std::cerr << "wigeon-node: " << failure.what() << '\n';
        return 1;
    }
}
