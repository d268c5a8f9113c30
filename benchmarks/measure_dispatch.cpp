// Measures how long the leader takes on a full fleet for a scheduling round, for collecting and confirming its changes,
// and for handling one poll report.
// Usage: measure-dispatch [executors] [waiting jobs] [shares]

#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <random>
#include <string>
#include <string_view>

#include "dispatch/dispatcher.h"

namespace wigeon {

namespace {

constexpr dispatch_limits limits{milliseconds(6'000), milliseconds(200), milliseconds(5'000)};
constexpr int rounds = 200;

double to_microseconds(std::chrono::steady_clock::duration duration)
{
    return std::chrono::duration<double, std::micro>(duration).count();
}

records::Submission make_random_submission(std::mt19937_64& random)
{
    records::Submission submission;
    const auto draw = [&random](std::uint32_t limit) { return static_cast<std::uint32_t>(random() % limit); };
    const std::uint32_t queue = draw(3);
    submission.set_queue("q" + std::to_string(queue));
    submission.set_account("account" + std::to_string(draw(10)));
    records::Step& step = *submission.add_steps();
    step.set_gang(queue < 2);
    step.set_count(queue == 2 ? 10 + draw(40) : 1 + draw(12));
    step.set_cpu_millicores(queue == 1 ? 26'000 : 6'000);
    step.set_memory_mb(queue == 1 ? 55'000 : 10'000);
    step.set_accelerators(queue == 2 ? 1 : 1U << draw(4));
    step.set_estimate_ms(queue == 0 ? 2'500 : 10'000);
    step.set_checkpointing(queue > 0 && draw(2) == 0);
    step.set_same_rack(step.gang() && draw(3) > 0);
    return submission;
}

void measure(int executors, int jobs, bool uses_shares)
{
    boot_time now{milliseconds(1'000'000)};
    std::mt19937_64 random(20261204);
    dispatch_limits options_and_limits = limits;
    options_and_limits.options.shares_by_account = uses_shares;
    dispatcher job_dispatcher(options_and_limits, now);
    fleet_policy policy;
    for (std::uint32_t priority = 0; priority < 3; ++priority) {
        queue_policy queue;
        queue.name = "q" + std::to_string(priority);
        queue.pool = "pool";
        queue.priority = priority;
        queue.stretch = 1.5;
        policy.queues.push_back(queue);
    }
    job_dispatcher.set_policy(policy);
    for (int row = 0; row < executors; ++row) {
        executor_entry entry;
        entry.id = "executor" + std::to_string(row);
        entry.pool = "pool";
        entry.rack = "r" + std::to_string(row / 12);
        entry.capacity = {64'000, 131'072, 8};
        entry.incarnation_ms = 1;
        job_dispatcher.update_executor(entry, now);
    }
    const auto poll_all = [&] {
        for (int row = 0; row < executors; ++row) {
            const std::string id = "executor" + std::to_string(row);
            poll_report report;
            report.incarnation_ms = 1;
            report.clock = milliseconds(now.time_since_epoch());
            for (const task_reference& reference : job_dispatcher.job_runs().tasks_on(id)) {
                job_run& job = *job_dispatcher.job_runs().find(reference.job);
                const work_unit& unit = job.units[reference.unit_row];
                report.running.push_back({make_task_name(reference.job, {0, job.steps[unit.step_row].step,
                                                                         unit.first_task + reference.task_row}),
                                          reference.run, "", 50});
            }
            job_dispatcher.handle_poll_report(id, report, now, now);
        }
    };
    poll_all();
    for (int row = 0; row < jobs; ++row)
        job_dispatcher.add_job("job" + std::to_string(row), make_random_submission(random), {}, 0, now);
    const auto confirm = [&] {
        const dispatch_changes changes = job_dispatcher.collect_changes();
        for (const start_order& order : job_dispatcher.confirm_changes(changes, now))
            job_dispatcher.handle_start_answer(order, start_answer::accepted, now);
    };
    std::chrono::steady_clock::duration decide_time{};
    std::chrono::steady_clock::duration max_decide_time{};
    std::chrono::steady_clock::duration poll_time{};
    std::chrono::steady_clock::duration collect_time{};
    for (int round = 0; round < rounds; ++round) {
        now += milliseconds(20);
        const auto started_at = std::chrono::steady_clock::now();
        job_dispatcher.decide(0, now);
        const auto decided_at = std::chrono::steady_clock::now();
        confirm();
        for (const stop_order& order : job_dispatcher.collect_stops(now))
            job_dispatcher.handle_stop_answer(order, true, now);
        const auto collected_at = std::chrono::steady_clock::now();
        poll_all();
        poll_time += std::chrono::steady_clock::now() - collected_at;
        decide_time += decided_at - started_at;
        collect_time += collected_at - decided_at;
        max_decide_time = std::max(max_decide_time, decided_at - started_at);
        job_dispatcher.take_events();
    }
    std::printf("executors %d, jobs %d, rounds %d\n", executors, jobs, rounds);
    std::printf("decide: mean %.0f us, longest %.0f us\n", to_microseconds(decide_time) / rounds,
                to_microseconds(max_decide_time));
    std::printf("collect, confirm, stops: mean %.0f us\n", to_microseconds(collect_time) / rounds);
    std::printf("one poll report: mean %.1f us\n", to_microseconds(poll_time) / rounds / executors);
}

} // namespace

} // namespace wigeon

int main(int argc, char** argv)
{
    const int executors = argc > 1 ? std::atoi(argv[1]) : 350;
    const int jobs = argc > 2 ? std::atoi(argv[2]) : 1'000;
    wigeon::measure(executors, jobs, argc > 3 && std::string_view(argv[3]) == "shares");
}
