// Measurements on real processes behind the stand-ins: the time from the death of the holder to the next start, the
// spread of a configuration version, and control traffic and memory of each process.
// Usage: WIGEON_BUILD=build measure-system failover|spread|idle [rounds]

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <string>
#include <thread>

#include "base/json.h"
#include "support/cluster.h"

namespace wigeon::test {

namespace {

void print_quantiles(const char* what, std::vector<double> values)
{
    std::sort(values.begin(), values.end());
    const auto at = [&](double share) {
        return values[static_cast<std::size_t>(share * static_cast<double>(values.size() - 1))];
    };
    std::printf("%s: n=%zu p50=%.0f p90=%.0f p99=%.0f max=%.0f ms\n", what, values.size(), at(0.5), at(0.9), at(0.99),
                values.back());
}

JobRequest make_urgent(int number)
{
    JobRequest job;
    job.set_account("small");
    job.set_job_class("urgent");
    job.set_key("urgent-" + std::to_string(number));
    job.set_tasks(2);
    job.set_accelerators_per_task(8);
    job.set_adjacency(ADJACENCY_RACK);
    job.set_command("run 100");
    return job;
}

// Urgent work submitted at the moment at which the holder is killed.
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
    print_quantiles("death of the holder to the urgent gang running", times);
    std::printf("within 3700 ms: %ld of %zu\n",
                std::count_if(times.begin(), times.end(), [](double t) { return t <= 3'700; }), times.size());
}

// From before wigeonctl is started until the slowest of all processes answers with the version.
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
    else
        std::printf("usage: measure-system failover|spread [rounds]\n");
}
