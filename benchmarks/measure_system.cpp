// Measures real processes against the stand-ins: the time from a crash of the term's holder to the next start of a
// gang, the propagation of a configuration version, the detection of leaving and joining members, silent connections,
// the start of a fresh process, and long outages and slow calls of the log.
//
// Usage: WIGEON_BUILD=build measure-system failover|spread|membership|silence|fresh [rounds]
//        WIGEON_BUILD=build measure-system outage|slow [seconds]

#include <algorithm>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <string>
#include <thread>

#include "base/json.h"
#include "benchmarks/fleet_maker.h"
#include "outside/log_service.h"
#include "replica/replica.h"
#include "support/cluster.h"

namespace wigeon::test {

namespace {

constexpr int warm_connection_count = 16;
constexpr int long_gang_count = 4;

void print_quantiles(const char* what, std::vector<double> values)
{
    std::sort(values.begin(), values.end());
    const auto quantile = [&](double fraction) {
        return values[static_cast<std::size_t>(fraction * static_cast<double>(values.size() - 1))];
    };
    std::printf("%s: n=%zu p50=%.0f p90=%.0f p99=%.0f max=%.0f ms\n", what, values.size(), quantile(0.5), quantile(0.9),
                quantile(0.99), values.back());
}

JobRequest make_gang(const std::string& key, int run_ms)
{
    JobRequest job;
    job.set_account("small");
    job.set_job_class("urgent");
    job.set_key(key);
    job.set_tasks(2);
    job.set_accelerators_per_task(8);
    job.set_adjacency(ADJACENCY_RACK);
    job.set_command("run " + std::to_string(run_ms));
    return job;
}

JobRequest make_urgent(int number)
{
    return make_gang("urgent-" + std::to_string(number), 100);
}

void wait_for_end(const cluster& system, const std::string& id, milliseconds timeout)
{
    cluster::wait_until([&] { return system.read_job(0, id).state() == JOB_FINISHED; }, timeout, id);
}

// Kills the holder, submits an urgent gang at once and measures the time from the kill until the gang runs.
void measure_failover(int rounds)
{
    cluster system({.schedulers = 3, .workers = 4});
    system.publish(system.make_configuration());
    std::vector<double> times;
    for (int i = 0; i < rounds; ++i) {
        const int holder = system.find_holder();
        const steady_time begin = read_steady_clock();
        system.scheduler(holder).kill();
        const std::string id = system.submit(i % 2, make_urgent(i));
        cluster::wait_until([&] { return system.read_job(0, id).running_at_ms() != 0; }, milliseconds(30'000), id);
        times.push_back(static_cast<double>(elapsed_ms(begin, read_steady_clock()).count()));
        system.start_scheduler(holder);
        std::this_thread::sleep_for(milliseconds(700));
    }
    print_quantiles("crash of the holder to the urgent gang running", times);
    std::printf("within 3700 ms: %ld of %zu\n",
                std::count_if(times.begin(), times.end(), [](double t) { return t <= 3'700; }), times.size());
}

// Measures the time from before the start of wigeonctl until the slowest of all processes reports the new version.
void measure_spread(int rounds)
{
    cluster system({.entries = 6, .schedulers = 6, .workers = 2, .executors = 1});
    system.publish(system.make_configuration());
    std::vector<double> times;
    for (int i = 0; i < rounds; ++i) {
        ConfigurationPatch patch;
        Account* account = patch.add_put_accounts();
        account->set_name("small");
        account->set_weight(static_cast<std::uint32_t>(1 + i % 5));
        const auto version = static_cast<std::uint64_t>(i) + 1;
        const steady_time begin = read_steady_clock();
        system.publish_file("patch", format_json(patch), version);
        for (int p = 0; p < 6; ++p) {
            for (const char* role : {"entry", "scheduler"})
                cluster::wait_until([&] { return system.version_at(role, p) > version; }, milliseconds(30'000), role);
        }
        times.push_back(static_cast<double>(elapsed_ms(begin, read_steady_clock()).count()));
    }
    print_quantiles("publication to in force at 6 entries and 6 schedulers, start of wigeonctl included", times);
}

// Measures the time from the signal to an entry, or from its start, until a scheduler's count of live entries shows it.
// The heartbeat intervals are the defaults.
void measure_membership(int rounds)
{
    const std::vector<std::string> flags = {"--beat_interval_ms=1000", "--idle_beat_interval_ms=8000",
                                            "--peer_timeout_ms=3500"};
    cluster system(
        {.entries = 6, .schedulers = 6, .workers = 2, .executors = 1, .entry_flags = flags, .scheduler_flags = flags});
    system.publish(system.make_configuration());
    const auto measure = [&](const char* count, std::vector<double>& times) {
        const steady_time begin = read_steady_clock();
        cluster::wait_until([&] { return system.status(0, "live_entries") == count; }, milliseconds(30'000), count);
        times.push_back(static_cast<double>(elapsed_ms(begin, read_steady_clock()).count()));
    };
    std::vector<double> crashes;
    std::vector<double> leaves;
    std::vector<double> joins;
    for (int i = 0; i < rounds; ++i) {
        const bool is_crash = i % 2 == 0;
        system.entry(1).signal(is_crash ? SIGKILL : SIGTERM);
        measure("5", is_crash ? crashes : leaves);
        system.entry(1).wait();
        system.start_entry(1);
        measure("6", joins);
    }
    print_quantiles("crash detected", crashes);
    print_quantiles("leave detected", leaves);
    print_quantiles("join detected, start of the process included", joins);
    double expired = 0;
    for (int i = 0; i < 6; ++i)
        expired = std::max(expired, system.metric("scheduler", i, "wigeon_members_expired_total"));
    std::printf("members expired at one scheduler at most: %.0f, crashes: %zu\n", expired, crashes.size());
}

// Runs gangs through an outage of the log in which one scheduler and one entry are restarted, while requests without a
// key continue.
void measure_outage(int seconds)
{
    cluster system({.schedulers = 3, .workers = 12});
    system.publish(system.make_configuration());
    const int run_ms = (seconds + 20) * 1'000;
    std::vector<std::string> ids;
    ids.reserve(long_gang_count);
    for (int i = 0; i < long_gang_count; ++i)
        ids.push_back(system.submit(i % 2, make_gang("long-" + std::to_string(i), run_ms)));
    for (const std::string& id : ids)
        cluster::wait_until([&] { return system.read_job(0, id).state() == JOB_RUNNING; }, milliseconds(20'000), id);
    const std::string term = system.status(0, "term");
    system.control_platform("down=1");
    const steady_time begin = read_steady_clock();
    bool is_restarted = false;
    int served = 0;
    int sent = 0;
    int accepted = 0;
    while (read_steady_clock() - begin < std::chrono::seconds(seconds)) {
        ++sent;
        served += system.request(0, "r" + std::to_string(sent), "/run/1").status == 200;
        accepted += sent % 10 == 0 && system.post(0, "/v1/jobs", format_json(make_urgent(sent))).status == 202;
        if (!is_restarted && read_steady_clock() - begin > std::chrono::seconds(seconds / 2)) {
            const int standby = (system.find_holder() + 1) % 3;
            system.scheduler(standby).kill();
            system.entry(1).kill();
            system.start_scheduler(standby);
            system.start_entry(1);
            is_restarted = true;
        }
        std::this_thread::sleep_for(milliseconds(500));
    }
    system.control_platform("down=0");
    const steady_time end = read_steady_clock();
    cluster::wait_until([&] { return system.post(1, "/v1/jobs", format_json(make_gang("after", 100))).status == 202; },
                        milliseconds(60'000), "an acceptance");
    wait_for_end(system, "small/after", milliseconds(60'000));
    std::printf("outage of %d s: requests served %d of %d, jobs accepted %d; first new gang finished %ld ms after it\n",
                seconds, served, sent, accepted, static_cast<long>(elapsed_ms(end, read_steady_clock()).count()));
    for (const std::string& id : ids)
        wait_for_end(system, id, milliseconds(120'000));
    std::uint32_t attempts = 0;
    for (const std::string& id : ids)
        attempts += system.read_job(0, id).attempt();
    std::printf("%d gangs ran through the outage in %u attempts; term before %s, after %s\n", long_gang_count, attempts,
                term.c_str(), system.status(0, "term").c_str());
}

// Freezes the open connections to all executors and measures the next idempotent request, with and without detection of
// silent connections.
void measure_silence(int rounds)
{
    const std::vector<std::string> flags_without_detection = {"--probe_interval_ms=60000", "--suspect_after_ms=600000"};
    for (const bool has_detection : {true, false}) {
        cluster system({.entries = 1,
                        .schedulers = 1,
                        .workers = 1,
                        .executors = 4,
                        .entry_flags = has_detection ? std::vector<std::string>{} : flags_without_detection});
        system.publish(system.make_configuration());
        std::vector<double> times;
        int failed = 0;
        for (int i = 0; i < rounds; ++i) {
            std::vector<std::thread> threads;
            threads.reserve(warm_connection_count);
            for (int w = 0; w < warm_connection_count; ++w) {
                threads.emplace_back([&, w] {
                    system.request(0, "warm" + std::to_string(i) + "-" + std::to_string(w), "/run/30",
                                   {{"Wigeon-Idempotent", "true"}});
                });
            }
            for (std::thread& thread : threads)
                thread.join();
            system.set_fault("all:executor", "freeze");
            const steady_time begin = read_steady_clock();
            failed += system
                          .request(0, "late" + std::to_string(i), "/run/1",
                                   {{"Wigeon-Idempotent", "true"}, {"Wigeon-Deadline-Ms", "5000"}})
                          .status != 200;
            times.push_back(static_cast<double>(elapsed_ms(begin, read_steady_clock()).count()));
            system.set_fault("all:executor", "cut");
        }
        print_quantiles(has_detection ? "first request after the freeze, with detection"
                                      : "first request after the freeze, without",
                        times);
        std::printf("failed at the deadline of 5 s: %d of %d\n", failed, rounds);
    }
}

// Submits gangs while each append to the log takes 3 s and each read 500 ms.
void measure_slow_log(int seconds)
{
    cluster system({.schedulers = 3, .workers = 8});
    system.publish(system.make_configuration());
    const std::string term = system.status(0, "term");
    system.control_platform("slow_ms=3000&slow_read_ms=500");
    const steady_time begin = read_steady_clock();
    std::vector<double> times;
    int unaccepted = 0;
    for (int i = 0; read_steady_clock() - begin < std::chrono::seconds(seconds); ++i) {
        const steady_time sent_at = read_steady_clock();
        const int status = system.post(0, "/v1/jobs", format_json(make_urgent(i))).status;
        unaccepted += status != 202;
        if (status != 202)
            continue;
        wait_for_end(system, "small/urgent-" + std::to_string(i), milliseconds(120'000));
        times.push_back(static_cast<double>(elapsed_ms(sent_at, read_steady_clock()).count()));
    }
    print_quantiles("gang of 100 ms from submission to finished on a slow log", times);
    std::printf("submissions without an acceptance: %d; term before %s, after %s\n", unaccepted, term.c_str(),
                system.status(0, "term").c_str());
}

// Writes a snapshot with running tasks, and records after it, to the log and measures the time from the start of an
// entry until it is ready.
void measure_start(int rounds)
{
    constexpr int renewals = 2'000;
    for (const int tasks : {0, 2'500, 5'000, 10'000}) {
        cluster system({.entries = 1, .schedulers = 1, .workers = 1, .executors = 1});
        system.scheduler(0).kill();
        system.entry(0).kill();
        const auto log = make_http_log_service(system.platform_address(), milliseconds(30'000));
        SystemState state = make_loaded_state({1'900, 2, 16, 15, 88, 1}, tasks, 0);
        state.set_next_offset(
            log->read(replica::main_stream, log_service::end_of_stream, milliseconds(0)).end_offset());
        log->append(replica::snapshot_stream, std::vector<std::string>{state.SerializeAsString()});
        Record renewal;
        renewal.mutable_renewal()->set_term(1);
        renewal.mutable_renewal()->set_lease_ms(1'200);
        log->append(replica::main_stream, std::vector<std::string>(renewals, renewal.SerializeAsString()));
        std::vector<double> times;
        for (int i = 0; i < rounds; ++i) {
            const steady_time begin = read_steady_clock();
            system.start_entry(0);
            system.wait_until_ready("entry", 0);
            times.push_back(static_cast<double>(elapsed_ms(begin, read_steady_clock()).count()));
            system.entry(0).kill();
        }
        const std::string what = "start of an entry to ready, " + std::to_string(tasks) + " tasks, " +
                                 std::to_string(state.ByteSizeLong()) + " bytes of snapshot";
        print_quantiles(what.c_str(), times);
    }
}

} // namespace

} // namespace wigeon::test

int main(int argc, char** argv)
{
    const std::string what = argc > 1 ? argv[1] : "";
    const int rounds = argc > 2 ? std::atoi(argv[2]) : 30;
    if (what == "failover")
        wigeon::test::measure_failover(rounds);
    else if (what == "spread")
        wigeon::test::measure_spread(rounds);
    else if (what == "membership")
        wigeon::test::measure_membership(rounds);
    else if (what == "silence")
        wigeon::test::measure_silence(rounds);
    else if (what == "fresh")
        wigeon::test::measure_start(rounds);
    else if (what == "outage")
        wigeon::test::measure_outage(rounds);
    else if (what == "slow")
        wigeon::test::measure_slow_log(rounds);
    else
        std::printf(
            "usage: measure-system failover|spread|membership|silence|fresh [rounds], or outage|slow [seconds]\n");
}
