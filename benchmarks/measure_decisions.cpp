// Measures the time of planning, snapshots, replay and the gang driver against the size of the state.
// Usage: measure-decisions

#include <algorithm>
#include <chrono>
#include <cstdio>

#include "benchmarks/fleet_maker.h"
#include "placement/planner.h"
#include "scheduling/gang_driver.h"

namespace wigeon::test {

namespace {

double to_ms(std::chrono::steady_clock::duration duration)
{
    return std::chrono::duration<double, std::milli>(duration).count();
}

template <typename Work>
double measure_median_ms(int rounds, Work&& work)
{
    std::vector<double> times;
    for (int i = 0; i < rounds; ++i) {
        const steady_time begin = read_steady_clock();
        work();
        times.push_back(to_ms(read_steady_clock() - begin));
    }
    std::sort(times.begin(), times.end());
    return times[times.size() / 2];
}

struct line_fit {
    std::vector<double> x;
    std::vector<double> y;

    void add(double size, double value)
    {
        this->x.push_back(size);
        this->y.push_back(value);
    }

    // Prints the least-squares line and the largest deviation of a point from it.
    void print(const char* what, const char* unit) const
    {
        const double n = static_cast<double>(this->x.size());
        double sum_x = 0;
        double sum_y = 0;
        double sum_xx = 0;
        double sum_xy = 0;
        for (std::size_t i = 0; i < this->x.size(); ++i) {
            sum_x += this->x[i];
            sum_y += this->y[i];
            sum_xx += this->x[i] * this->x[i];
            sum_xy += this->x[i] * this->y[i];
        }
        const double gradient = (n * sum_xy - sum_x * sum_y) / (n * sum_xx - sum_x * sum_x);
        const double intercept = (sum_y - gradient * sum_x) / n;
        double max_error = 0;
        for (std::size_t i = 0; i < this->x.size(); ++i)
            max_error = std::max(max_error, std::abs(this->y[i] - intercept - gradient * this->x[i]));
        std::printf("  fit: %s = %.4g + %.4g * size %s, largest error %.3g\n", what, intercept, gradient, unit,
                    max_error);
    }
};

void measure_plan(int workers, int tasks, int waiting)
{
    const fleet_size size{workers, 8, 8, 3, 88, 0};
    const replicated_state state(make_loaded_state(size, tasks, waiting));
    const planner job_planner(make_placement_policy("nested_cells"), {});
    const double plan_ms =
        measure_median_ms(9, [&] { return job_planner.make_plan(state, {}, {}, 1'000'000'000).decisions.size(); });
    std::printf("%8d %8d %8d %10.3f\n", workers, tasks, waiting, plan_ms);
}

void measure_plans()
{
    std::printf("one planning round, ms\n%8s %8s %8s %10s\n", "workers", "tasks", "waiting", "ms");
    for (const int workers : {50, 317, 500, 1'900}) {
        for (const int tasks : {100, 1'000, 1'667, 10'000})
            measure_plan(workers, tasks, 0);
        measure_plan(workers, 10'000, 100);
        measure_plan(workers, 10'000, 1'000);
    }
}

void measure_snapshots()
{
    std::printf("\nsnapshot against running tasks (1,900 workers, 88 accounts)\n%8s %10s %10s %10s\n", "tasks", "bytes",
                "write ms", "read ms");
    line_fit bytes;
    for (const int tasks : {0, 2'500, 5'000, 10'000}) {
        const fleet_size size{1'900, 2, 16, 15, 88, 1};
        const replicated_state state(make_loaded_state(size, tasks, 0));
        std::string serialized;
        const double write_ms = measure_median_ms(5, [&] { serialized = state.make_snapshot().SerializeAsString(); });
        const double read_ms = measure_median_ms(5, [&] {
            SystemState parsed;
            parsed.ParseFromString(serialized);
            return replicated_state(parsed).next_offset();
        });
        std::printf("%8d %10zu %10.2f %10.2f\n", tasks, serialized.size(), write_ms, read_ms);
        bytes.add(tasks, static_cast<double>(serialized.size()));
    }
    bytes.print("bytes", "bytes");
}

void measure_replay()
{
    std::printf("\nreplay of submissions\n%8s %12s\n", "records", "us/record");
    for (const int records : {1'000, 4'000, 16'000}) {
        SystemState initial_state;
        *initial_state.mutable_configuration() = make_fleet({1'900, 2, 16, 15, 88, 1});
        replicated_state state(initial_state);
        std::vector<std::string> log;
        for (int i = 0; i < records; ++i) {
            Record record;
            record.set_author(1);
            record.set_sequence(static_cast<std::uint64_t>(i) + 1);
            record.set_time_ms(1'000'000);
            JobRequest& job = *record.mutable_submit();
            job.set_account("account" + std::to_string(i % 88));
            job.set_job_class("batch");
            job.set_key("j" + std::to_string(i));
            job.set_tasks(2);
            job.set_accelerators_per_task(1);
            log.push_back(record.SerializeAsString());
        }
        const steady_time from = read_steady_clock();
        for (const std::string& record : log)
            state.apply(state.next_offset(), record);
        std::printf("%8d %12.2f\n", records, to_ms(read_steady_clock() - from) * 1000 / records);
    }
}

void measure_driver()
{
    std::printf("\none tick of the gang driver without due orders, and bytes of the renewals of one interval\n");
    std::printf("%8s %8s %10s %12s %12s\n", "workers", "tasks", "tick ms", "messages", "bytes");
    for (const int tasks : {100, 1'000, 10'000}) {
        const fleet_size size{1'900, 8, 8, 15, 88, 0};
        const replicated_state state(make_loaded_state(size, tasks, 0));
        gang_driver driver({});
        driver.begin_term(1);
        steady_time now = read_steady_clock();
        std::vector<worker_message> messages = driver.make_orders(state, now, true);
        // All workers answer, so that the next interval sends renewals.
        const auto answer_all = [&] {
            for (const worker_message& message : messages) {
                worker_response answer;
                answer.outcome = call_outcome::answered;
                answer.reports.set_clock_ms(1'000);
                for (const TaskOrder& order : message.orders.orders()) {
                    TaskReport* report = answer.reports.add_reports();
                    report->set_job(order.job());
                    report->set_attempt(order.attempt());
                    report->set_task(order.task());
                    report->set_state(TASK_RUNNING);
                }
                driver.handle_response(message.orders, answer, now, now);
            }
        };
        answer_all();
        now += milliseconds(6'000);
        messages = driver.make_orders(state, now, true);
        std::size_t bytes = 0;
        for (const worker_message& message : messages)
            bytes += message.orders.ByteSizeLong();
        const std::size_t count = messages.size();
        answer_all();
        static_cast<void>(driver.make_decisions(state, now));
        const double tick_ms = measure_median_ms(9, [&] {
            now += milliseconds(10);
            messages = driver.make_orders(state, now, true);
            static_cast<void>(driver.make_decisions(state, now));
        });
        std::printf("%8d %8d %10.3f %12zu %12zu\n", size.workers, tasks, tick_ms, count, bytes);
    }
}

} // namespace

} // namespace wigeon::test

int main()
{
    wigeon::test::measure_plans();
    wigeon::test::measure_snapshots();
    wigeon::test::measure_replay();
    wigeon::test::measure_driver();
}
