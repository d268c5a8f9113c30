// Processor time of the leader's decisions on a full fleet: a round, a look, and what it appends.
// Usage: measure-dispatch [executors] [waiting jobs]

#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <random>
#include <string>

#include "dispatch/dispatcher.h"

namespace wigeon {

namespace {

constexpr dispatch_limits bounds{milliseconds(6'000), milliseconds(200), milliseconds(5'000)};
constexpr int rounds = 200;

double to_microseconds(std::chrono::steady_clock::duration time)
{
    return std::chrono::duration<double, std::micro>(time).count();
}

records::Submission draw_submission(std::mt19937_64& random)
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

void run(int executors, int jobs)
{
    boot_time now{milliseconds(1'000'000)};
    std::mt19937_64 random(20261204);
    dispatcher work(bounds, now);
    fleet_policy policy;
    for (std::uint32_t priority = 0; priority < 3; ++priority) {
        queue_policy queue;
        queue.name = "q" + std::to_string(priority);
        queue.pool = "pool";
        queue.priority = priority;
        queue.stretch = 1.5;
        policy.queues.push_back(queue);
    }
    work.set_policy(policy);
    for (int row = 0; row < executors; ++row) {
        executor_entry entry;
        entry.id = "executor" + std::to_string(row);
        entry.pool = "pool";
        entry.rack = "r" + std::to_string(row / 12);
        entry.capacity = {64'000, 131'072, 8};
        entry.incarnation_ms = 1;
        work.update_executor(entry, now);
    }
    const auto look_at_all = [&] {
        for (int row = 0; row < executors; ++row) {
            const std::string id = "executor" + std::to_string(row);
            poll_report report;
            report.incarnation_ms = 1;
            report.clock = milliseconds(now.time_since_epoch());
            for (const task_reference& member : work.runs().tasks_on(id)) {
                job_run& job = *work.runs().find(member.job);
                const work_unit& part = job.units[member.unit_row];
                report.running.push_back(
                    {make_task_name(member.job, {0, job.steps[part.step_row].step, part.first_task + member.task_row}),
                     member.run, "", 50});
            }
            work.handle_poll_report(id, report, now, now);
        }
    };
    look_at_all();
    for (int row = 0; row < jobs; ++row)
        work.add_job("job" + std::to_string(row), draw_submission(random), {}, 0, now);
    const auto confirm = [&] {
        const dispatch_changes changes = work.collect_changes();
        for (const start_order& order : work.confirm_changes(changes, now))
            work.handle_start_answer(order, start_answer::accepted, now);
    };
    std::chrono::steady_clock::duration deciding{};
    std::chrono::steady_clock::duration longest{};
    std::chrono::steady_clock::duration looking{};
    std::chrono::steady_clock::duration collecting{};
    for (int round = 0; round < rounds; ++round) {
        now += milliseconds(20);
        const auto begun = std::chrono::steady_clock::now();
        work.decide(0, now);
        const auto decided = std::chrono::steady_clock::now();
        confirm();
        for (const stop_order& order : work.collect_stops(now))
            work.handle_stop_answer(order, true, now);
        const auto collected = std::chrono::steady_clock::now();
        look_at_all();
        looking += std::chrono::steady_clock::now() - collected;
        deciding += decided - begun;
        collecting += collected - decided;
        longest = std::max(longest, decided - begun);
        work.take_events();
    }
    std::printf("executors %d, jobs %d, rounds %d\n", executors, jobs, rounds);
    std::printf("decide: mean %.0f us, longest %.0f us\n", to_microseconds(deciding) / rounds,
                to_microseconds(longest));
    std::printf("collect, confirm, stops: mean %.0f us\n", to_microseconds(collecting) / rounds);
    std::printf("one look: mean %.1f us\n", to_microseconds(looking) / rounds / executors);
}

} // namespace

} // namespace wigeon

int main(int argc, char** argv)
{
    const int executors = argc > 1 ? std::atoi(argv[1]) : 350;
    const int jobs = argc > 2 ? std::atoi(argv[2]) : 1'000;
    wigeon::run(executors, jobs);
}
