// Jobs of many occurrences, on a small fleet whose tasks end at once: what the leader holds and records must follow the
// work that is open, whatever the job consists of, and each task must run once.

#include <algorithm>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "dispatch/dispatcher.h"
#include "jobs/unit_records.h"

namespace wigeon {

namespace {

constexpr dispatch_limits limits{milliseconds(6'000), milliseconds(200), milliseconds(5'000)};
constexpr int executor_count = 4;
constexpr std::int64_t cores_per_executor = 64;

struct large_job_fixture {
    boot_time now{milliseconds(1'000'000)};
    std::unique_ptr<dispatcher> leader;
    job_table jobs;
    std::map<std::string, records::Submission> submissions;
    std::map<std::string, records::JobPhase> phases;      // Content of the topic of states.
    std::map<std::string, std::string> units;             // Content of the topic of units.
    std::map<std::string, std::vector<start_order>> runs; // Tasks that run, by executor.
    std::map<std::string, std::vector<ended_task>> ends;  // That are not acknowledged, by executor.
    std::map<std::string, std::uint64_t> end_counts;      // By executor.
    std::map<std::string, int> starts;                    // By task.
    std::size_t most_units = 0;                           // Held by the leader for one job at one time.
    std::size_t most_starts = 0;                          // Of one round.

    large_job_fixture() { this->start_leader(); }

    // A leader that restores all that is recorded.
    void start_leader()
    {
        this->leader = std::make_unique<dispatcher>(limits, this->now);
        fleet_policy policy;
        queue_policy queue;
        queue.name = "q";
        queue.pool = "pool";
        queue.stretch = 1.5;
        policy.queues.push_back(queue);
        this->leader->set_policy(policy);
        for (int row = 0; row < executor_count; ++row) {
            executor_entry entry;
            entry.id = "e" + std::to_string(row);
            entry.pool = "pool";
            entry.capacity = {cores_per_executor * 1'000, 128'000, 8};
            entry.incarnation_ms = 1;
            this->leader->update_executor(entry, this->now);
        }
        unit_progress_collector collector(this->jobs);
        for (const auto& [key, content] : this->units)
            BOOST_REQUIRE(collector.add({key, content}));
        unit_progress_map loaded = collector.finish();
        for (const auto& [id, submission] : this->submissions) {
            loaded[id].set_phase(this->phases[id]);
            if (!is_final(this->phases[id]) || loaded[id].units_size() > 0 || loaded[id].finished_size() > 0)
                this->leader->add_job(id, submission, loaded[id], 0, this->now);
        }
        this->poll_all();
    }

    // All occurrences are due.
    void submit(const std::string& id, std::uint32_t occurrences, const std::vector<std::uint32_t>& step_counts)
    {
        records::Submission submission;
        submission.set_queue("q");
        submission.set_occurrences(occurrences);
        for (const std::uint32_t count : step_counts) {
            if (submission.steps_size() > 0)
                submission.add_steps()->add_after(static_cast<std::uint32_t>(submission.steps_size()) - 2);
            else
                submission.add_steps();
            records::Step& step = *submission.mutable_steps(submission.steps_size() - 1);
            step.set_count(count);
            step.set_cpu_millicores(1'000);
            step.set_estimate_ms(100);
        }
        this->submit(id, submission);
    }

    void submit(const std::string& id, const records::Submission& submission)
    {
        this->submissions[id] = submission;
        this->jobs.apply_submission_record({id, submission.SerializeAsString()}, this->now);
        this->leader->add_job(id, submission, {}, 0, this->now);
    }

    void poll_all()
    {
        for (int row = 0; row < executor_count; ++row) {
            const std::string id = "e" + std::to_string(row);
            const std::uint64_t acknowledged = this->leader->executors().find(id)->find_end_to_acknowledge();
            std::erase_if(this->ends[id],
                          [acknowledged](const ended_task& ended) { return ended.sequence <= acknowledged; });
            for (const start_order& order : this->runs[id])
                this->ends[id].push_back(
                    {++this->end_counts[id], order.task, order.reference.run, run_outcome::done, ""});
            this->runs[id].clear();
            poll_report report;
            report.incarnation_ms = 1;
            report.clock = milliseconds(this->now.time_since_epoch());
            report.ended = this->ends[id];
            this->leader->handle_poll_report(id, report, this->now, this->now);
        }
    }

    void record(const dispatch_changes& changes)
    {
        for (const dispatch_changes::unit_record& record : changes.units) {
            if (record.content)
                this->units[record.key] = record.content->SerializeAsString();
            else
                this->units.erase(record.key);
        }
        for (const dispatch_changes::phase_record& record : changes.phases)
            this->phases[record.job] = record.phase;
    }

    // One round, after which all tasks that were started have ended.
    void run_round()
    {
        this->now += milliseconds(50);
        this->leader->decide(1'000'000'000'000, this->now);
        for (const auto& [id, job] : this->leader->job_runs().jobs())
            this->most_units = std::max(this->most_units, job.units.size());
        const dispatch_changes changes = this->leader->collect_changes();
        this->record(changes);
        this->most_starts = std::max(this->most_starts, changes.starts.size());
        for (const start_order& order : this->leader->confirm_changes(changes, this->now)) {
            ++this->starts[order.task];
            this->runs[order.executor].push_back(order);
            this->leader->handle_start_answer(order, start_answer::accepted, this->now);
        }
        this->poll_all();
    }

    void run_until_ended(const std::string& id)
    {
        for (int round = 0; round < 10'000 && this->leader->job_runs().find(id) != nullptr; ++round)
            this->run_round();
        BOOST_TEST((this->phases[id] == records::JOB_PHASE_COMPLETED));
    }

    [[nodiscard]] bool has_run_each_task_once(std::size_t task_count) const
    {
        return this->starts.size() == task_count &&
               std::all_of(this->starts.begin(), this->starts.end(), [](const auto& task) { return task.second == 1; });
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(large_job_story)

// Guards against a round whose cost and memory grow with all occurrences that are due (review case 9): a million tasks
// of one job were opened at once, each occurrence with a search through all before it, and no node got to the end.
BOOST_AUTO_TEST_SUITE(an_overdue_schedule)

BOOST_FIXTURE_TEST_CASE(of_a_million_tasks_begins_at_once_and_opens_what_the_fleet_can_run, large_job_fixture)
{
    this->submit("job", 10'000, {100});
    this->run_round();
    BOOST_TEST(this->starts.size() == static_cast<std::size_t>(executor_count * cores_per_executor));
    for (int round = 0; round < 20; ++round)
        this->run_round();
    BOOST_TEST(this->starts.size() == static_cast<std::size_t>(21 * executor_count * cores_per_executor));
    BOOST_TEST(this->most_units < 2'000U);
}

BOOST_FIXTURE_TEST_CASE(runs_each_task_once_and_leaves_no_record, large_job_fixture)
{
    this->submit("job", 1'500, {2, 5});
    this->run_until_ended("job");
    BOOST_TEST(this->has_run_each_task_once(10'500));
    BOOST_TEST(this->units.empty());
    BOOST_TEST(this->most_units < 2'000U);
}

// Guards against a task name whose occurrence wraps around to that of another task.
BOOST_FIXTURE_TEST_CASE(has_no_task_beyond_its_occurrences, large_job_fixture)
{
    this->submit("job", 10, {2, 5});
    this->run_round();
    job_run& job = *this->leader->job_runs().find("job");
    std::uint32_t task_row = 0;
    BOOST_TEST(job.find_unit({1, 0, 0}, task_row) != nullptr);
    BOOST_TEST(job.find_unit({1U + (1U << 31U), 0, 0}, task_row) == nullptr);
    BOOST_TEST(job.find_unit({1, 0, 2}, task_row) == nullptr);
    BOOST_TEST(job.find_unit({1, 2, 0}, task_row) == nullptr);
}

// As many tasks in many jobs as in one.
BOOST_FIXTURE_TEST_CASE(beside_others_like_it_is_opened_no_further_than_alone, large_job_fixture)
{
    for (int row = 0; row < 10; ++row)
        this->submit("job" + std::to_string(row), 10'000, {100});
    for (int round = 0; round < 20; ++round)
        this->run_round();
    BOOST_TEST(this->starts.size() == static_cast<std::size_t>(20 * executor_count * cores_per_executor));
    BOOST_TEST(this->most_units < 2'000U);
}

BOOST_FIXTURE_TEST_CASE(whose_step_waits_for_an_earlier_one_holds_no_units_of_it_before, large_job_fixture)
{
    this->submit("job", 10'000, {1, 9'000});
    this->run_round();
    BOOST_TEST(this->most_units <= 1'001U);
    this->run_round();
    BOOST_TEST(this->most_units <= 11'000U);
}

// Guards against a turn of the event loop that sends thousands of starts. Each takes some 0.1 ms of a whole core.
BOOST_FIXTURE_TEST_CASE(on_an_idle_fleet_is_started_a_part_at_a_time, large_job_fixture)
{
    for (int row = 0; row < executor_count; ++row) {
        executor_entry entry = this->leader->executors().find("e" + std::to_string(row))->entry;
        entry.capacity.cpu_millicores *= 32;
        this->leader->update_executor(entry, this->now);
    }
    for (int row = 0; row < 10; ++row)
        this->submit("job" + std::to_string(row), 10'000, {100});
    for (int round = 0; round < 20; ++round)
        this->run_round();
    BOOST_TEST(this->starts.size() == 20U * 256U);
    BOOST_TEST(this->most_starts <= 256U);
}

// Guards against units that can't be placed and use up what a job may hold open.
BOOST_FIXTURE_TEST_CASE(with_a_step_that_can_not_run_goes_on_with_the_others, large_job_fixture)
{
    records::Submission submission;
    submission.set_queue("q");
    submission.set_occurrences(3'000);
    for (const char* label : {"missing", ""}) {
        records::Step& step = *submission.add_steps();
        step.set_count(2);
        step.set_cpu_millicores(1'000);
        step.set_required_label(label);
    }
    this->submit("job", submission);
    for (int round = 0; round < 40; ++round)
        this->run_round();
    BOOST_TEST(this->starts.size() == 6'000U);
    BOOST_TEST(this->most_units < 8'000U);
}

BOOST_AUTO_TEST_SUITE_END()

// Guards against a takeover whose memory and time grow with all tasks that have ended (review case 7).
BOOST_AUTO_TEST_SUITE(a_new_leader)

BOOST_FIXTURE_TEST_CASE(goes_on_where_the_former_one_was_and_runs_nothing_again, large_job_fixture)
{
    this->submit("job", 1'000, {3, 8});
    for (int takeover = 0; takeover < 5; ++takeover) {
        for (int round = 0; round < 7; ++round)
            this->run_round();
        this->start_leader();
    }
    this->run_until_ended("job");
    BOOST_TEST(this->has_run_each_task_once(11'000));
    BOOST_TEST(this->units.empty());
}

BOOST_FIXTURE_TEST_CASE(holds_no_units_of_occurrences_that_have_ended, large_job_fixture)
{
    this->submit("job", 10'000, {11});
    for (std::uint32_t occurrence = 0; occurrence < 9'990; ++occurrence) {
        for (std::uint32_t index = 0; index < 11; ++index) {
            records::UnitRecord done;
            done.mutable_progress()->set_done(true);
            this->units[make_task_name("job", {occurrence, 0, index})] = done.SerializeAsString();
        }
    }
    this->phases["job"] = records::JOB_PHASE_RUNNING;
    this->start_leader();
    BOOST_TEST(this->leader->job_runs().find("job")->units.empty());
    this->run_until_ended("job");
    BOOST_TEST(this->has_run_each_task_once(110));
    BOOST_TEST(this->units.empty());
}

BOOST_FIXTURE_TEST_CASE(of_a_cancelled_job_removes_its_records, large_job_fixture)
{
    this->submit("job", 1'000, {3, 8});
    for (int round = 0; round < 20; ++round)
        this->run_round();
    this->leader->cancel_job("job", this->now);
    const dispatch_changes cancelled = this->leader->collect_changes();
    this->record(cancelled);
    BOOST_TEST((this->phases["job"] == records::JOB_PHASE_CANCELLED));
    BOOST_TEST(!this->units.empty());
    this->start_leader();
    for (int round = 0; round < 5; ++round)
        this->run_round();
    BOOST_TEST(this->units.empty());
    BOOST_TEST(this->leader->job_runs().find("job") == nullptr);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

} // namespace wigeon
