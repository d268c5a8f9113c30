// Measures what schedules of many tasks cost the leader: a round while all occurrences are due, a takeover when all but
// the last one have ended, and the removal of the records after the end. The ratio between the sizes tells whether a
// cost follows the open work. Usage: measure-large-jobs TASKS JOBS: that many tasks in total, in occurrences of 100

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <map>
#include <memory>
#include <string>

#include "dispatch/dispatcher.h"
#include "jobs/unit_records.h"

namespace wigeon {

namespace {

constexpr dispatch_limits limits{milliseconds(6'000), milliseconds(200), milliseconds(5'000)};
constexpr int executor_count = 48;
constexpr int rounds = 20;
constexpr std::uint32_t tasks_per_occurrence = 100;

class stopwatch {
public:
    [[nodiscard]] double read_ms() const
    {
        return std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now() - this->started_at).count();
    }

private:
    std::chrono::steady_clock::time_point started_at = std::chrono::steady_clock::now();
};

class scenario {
public:
    scenario(std::uint32_t tasks, std::uint32_t job_count)
    {
        records::Submission submission;
        submission.set_queue("q");
        submission.set_occurrences(std::max(2U, tasks / job_count / tasks_per_occurrence));
        records::Step& step = *submission.add_steps();
        step.set_count(tasks_per_occurrence);
        step.set_cpu_millicores(1'000);
        step.set_estimate_ms(100);
        for (std::uint32_t row = 0; row < job_count; ++row) {
            const std::string id = "job" + std::to_string(row);
            this->submissions[id] = submission;
            this->jobs.apply_submission_record({id, submission.SerializeAsString()}, this->now);
        }
    }

    void measure_rounds()
    {
        const auto leader = this->make_leader();
        for (const auto& [id, submission] : this->submissions)
            leader->add_job(id, submission, {}, 0, this->now);
        double longest = 0;
        for (int round = 0; round < rounds; ++round) {
            const stopwatch watch;
            this->run_round(*leader);
            longest = std::max(longest, watch.read_ms());
        }
        std::size_t units = 0;
        for (const auto& [id, job] : leader->job_runs().jobs())
            units += job.units.size();
        std::printf("longest round %.1f ms, %zu units held\n", longest, units);
    }

    void measure_takeover()
    {
        std::map<std::string, std::string> stored;
        records::UnitRecord done;
        done.mutable_progress()->set_done(true);
        for (const auto& [id, submission] : this->submissions) {
            for (std::uint32_t occurrence = 0; occurrence + 1 < submission.occurrences(); ++occurrence) {
                for (std::uint32_t index = 0; index < tasks_per_occurrence; ++index)
                    stored[make_task_name(id, {occurrence, 0, index})] = done.SerializeAsString();
            }
        }
        const auto leader = this->make_leader();
        const stopwatch load;
        unit_progress_collector collector(this->jobs);
        for (const auto& [key, content] : stored)
            collector.add({key, content});
        unit_progress_map loaded = collector.finish();
        const double load_ms = load.read_ms();
        const stopwatch restore;
        for (const auto& [id, submission] : this->submissions) {
            loaded[id].set_phase(records::JOB_PHASE_RUNNING);
            leader->add_job(id, submission, loaded[id], 0, this->now);
        }
        const double restore_ms = restore.read_ms();
        for (const auto& [id, submission] : this->submissions)
            leader->cancel_job(id, this->now);
        double longest = 0;
        std::size_t most = 0;
        std::size_t removed = 0;
        while (!leader->job_runs().jobs().empty()) {
            const stopwatch removal;
            const dispatch_changes changes = leader->collect_changes();
            leader->confirm_changes(changes, this->now);
            longest = std::max(longest, removal.read_ms());
            most = std::max(most, changes.units.size());
            removed += changes.units.size();
        }
        std::printf(
            "takeover: load %.1f ms in turns of a page, restore %.1f ms; end: %zu records removed, at most %zu at "
            "once in %.1f ms\n",
            load_ms, restore_ms, removed, most, longest);
    }

private:
    std::unique_ptr<dispatcher> make_leader()
    {
        auto leader = std::make_unique<dispatcher>(limits, this->now);
        fleet_policy policy;
        queue_policy queue;
        queue.name = "q";
        queue.pool = "pool";
        queue.stretch = 1.5;
        policy.queues.push_back(queue);
        leader->set_policy(policy);
        for (int row = 0; row < executor_count; ++row) {
            executor_entry entry;
            entry.id = "executor" + std::to_string(row);
            entry.pool = "pool";
            entry.capacity = {128'000, 262'144, 8};
            entry.incarnation_ms = 1;
            leader->update_executor(entry, this->now);
            poll_report report;
            report.incarnation_ms = 1;
            report.clock = milliseconds(this->now.time_since_epoch());
            leader->handle_poll_report(entry.id, report, this->now, this->now);
        }
        return leader;
    }

    void run_round(dispatcher& leader)
    {
        this->now += milliseconds(50);
        leader.decide(1'000'000'000'000, this->now);
        for (const start_order& order : leader.confirm_changes(leader.collect_changes(), this->now))
            leader.handle_start_answer(order, start_answer::accepted, this->now);
        leader.take_events();
    }

    boot_time now{milliseconds(1'000'000)};
    std::map<std::string, records::Submission> submissions;
    job_table jobs;
};

} // namespace

} // namespace wigeon

int main(int argc, char** argv)
{
    const auto read_argument = [&](int row, int default_value) {
        return static_cast<std::uint32_t>(argc > row ? std::max(1, std::atoi(argv[row])) : default_value);
    };
    const std::uint32_t tasks = read_argument(1, 100'000);
    const std::uint32_t jobs = read_argument(2, 1);
    std::printf("%u tasks in %u jobs\n", tasks, jobs);
    wigeon::scenario scenario(tasks, jobs);
    scenario.measure_rounds();
    scenario.measure_takeover();
}
