// Whole scheduling rounds on a small fleet.

#include <algorithm>
#include <set>

#include <boost/test/unit_test.hpp>

#include "dispatch/dispatcher.h"

namespace wigeon {

namespace {

constexpr dispatch_limits limits{milliseconds(6'000), milliseconds(200), milliseconds(5'000)};

records::QueuePolicy make_accepted_policy()
{
    records::QueuePolicy accepted;
    accepted.set_pool("pool");
    accepted.set_priority(2);
    accepted.set_max_attempts(3);
    accepted.set_stretch(1.5);
    return accepted;
}

struct fleet_fixture {
    boot_time now{milliseconds(1'000'000)};
    dispatcher dispatch{limits, this->now};
    int jobs = 0;
    std::uint64_t ends = 0;

    fleet_fixture()
    {
        fleet_policy policy;
        for (std::uint32_t priority = 0; priority < 3; ++priority) {
            queue_policy queue;
            queue.name = "q" + std::to_string(priority);
            queue.pool = "pool";
            queue.priority = priority;
            queue.stretch = 1.5;
            policy.queues.push_back(queue);
        }
        policy.accounts.push_back({"guaranteed", {}, 16});
        this->dispatch.set_policy(policy);
        for (int row = 0; row < 4; ++row) {
            executor_entry entry;
            entry.id = "e" + std::to_string(row);
            entry.pool = "pool";
            entry.rack = row < 2 ? "r1" : "r2";
            entry.capacity = {64'000, 128'000, 8};
            entry.incarnation_ms = 1;
            this->dispatch.update_executor(entry, this->now);
        }
        this->poll_all();
    }

    // Polls all executors. They report all placed tasks as running and no ends.
    void poll_all()
    {
        for (int row = 0; row < 4; ++row) {
            const std::string id = "e" + std::to_string(row);
            poll_report report;
            report.incarnation_ms = 1;
            report.clock = milliseconds(this->now.time_since_epoch());
            for (const task_reference& reference : this->dispatch.job_runs().tasks_on(id)) {
                const job_run& job = *this->dispatch.job_runs().find(reference.job);
                const work_unit& unit = job.units[reference.unit_row];
                const std::uint32_t percent = static_cast<std::uint32_t>((this->now - unit.placed_at).count() / 100);
                report.running.push_back({make_task_name(reference.job, {0, 0, unit.first_task + reference.task_row}),
                                          reference.run, "", percent});
            }
            this->dispatch.handle_poll_report(id, report, this->now, this->now);
        }
    }

    std::string add(const std::string& queue, std::uint32_t tasks, std::uint32_t accelerators, bool gang,
                    bool checkpointing = false, const std::string& account = "other")
    {
        records::Submission submission;
        submission.set_queue(queue);
        submission.set_account(account);
        records::Step& step = *submission.add_steps();
        step.set_count(tasks);
        step.set_accelerators(accelerators);
        step.set_gang(gang);
        step.set_same_rack(gang);
        step.set_checkpointing(checkpointing);
        step.set_estimate_ms(8'000);
        std::string id = "job" + std::to_string(++this->jobs);
        this->dispatch.add_job(id, submission, {}, 0, this->now);
        return id;
    }

    std::string add_of_removed_queue(const std::optional<records::QueuePolicy>& accepted,
                                     const records::JobProgress& progress = {})
    {
        records::Submission submission;
        submission.set_queue("removed");
        if (accepted)
            *submission.mutable_accepted_policy() = *accepted;
        submission.add_steps()->set_accelerators(1);
        std::string id = "job" + std::to_string(++this->jobs);
        this->dispatch.add_job(id, submission, progress, 0, this->now);
        return id;
    }

    void end_run_as_failed(const std::string& executor_id, const std::string& job, std::uint32_t run)
    {
        this->now += milliseconds(200);
        poll_report report;
        report.incarnation_ms = 1;
        report.clock = milliseconds(this->now.time_since_epoch());
        report.ended.push_back({++this->ends, make_task_name(job, {0, 0, 0}), run, run_outcome::failed, ""});
        this->dispatch.handle_poll_report(executor_id, report, this->now, this->now);
        this->poll_all();
    }

    void decide()
    {
        this->dispatch.decide(0, this->now);
        const dispatch_changes changes = this->dispatch.collect_changes();
        for (const start_order& order : this->dispatch.confirm_changes(changes, this->now))
            this->dispatch.handle_start_answer(order, start_answer::accepted, this->now);
    }

    void pass(std::int64_t passed_ms)
    {
        for (std::int64_t left = passed_ms; left > 0; left -= 200) {
            this->now += milliseconds(200);
            this->poll_all();
            this->decide();
        }
    }

    bool is_placed(const std::string& id)
    {
        const job_run* job = this->dispatch.job_runs().find(id);
        return job != nullptr && !job->units[0].placed_tasks.empty();
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(dispatcher_story)

BOOST_FIXTURE_TEST_CASE(a_guarantee_is_reclaimed_from_work_that_can_not_be_saved, fleet_fixture)
{
    const std::string borrowed = this->add("q2", 4, 8, false);
    this->decide();
    BOOST_TEST(this->is_placed(borrowed));
    this->pass(3'000);
    this->add("q0", 1, 8, false, false, "guaranteed");
    this->decide();
    BOOST_TEST(this->dispatch.collect_stops(this->now).size() == 1U);
}

BOOST_FIXTURE_TEST_CASE(urgent_work_that_is_late_stops_only_what_can_be_saved, fleet_fixture)
{
    this->add("q2", 4, 8, false);
    this->decide();
    const std::string late = this->add("q0", 1, 8, false);
    this->dispatch.job_runs().find(late)->arrived_at = this->now - milliseconds(60'000);
    this->decide();
    BOOST_TEST(this->dispatch.collect_stops(this->now).empty());
}

// The log shows decisions; repeated attempts must not fill it.
BOOST_FIXTURE_TEST_CASE(a_failed_preemption_attempt_is_logged_once_while_a_unit_waits, fleet_fixture)
{
    this->add("q2", 4, 8, false);
    this->decide();
    const std::string late = this->add("q0", 1, 8, false);
    this->dispatch.job_runs().find(late)->arrived_at = this->now - milliseconds(60'000);
    this->pass(2'000);
    const auto events = this->dispatch.take_events();
    BOOST_TEST(std::count_if(events.begin(), events.end(),
                             [](const dispatch_event& event) { return event.name == "preemption_impossible"; }) == 1);
}

// How much a filling task disturbs serving tasks is not known in advance, so they never share an executor.
BOOST_FIXTURE_TEST_CASE(tasks_that_fill_and_tasks_that_serve_keep_apart, fleet_fixture)
{
    const auto add_sharing = [this](const std::string& id, std::uint32_t tasks, bool is_filling) {
        records::Submission submission;
        submission.set_queue("q1");
        records::Step& step = *submission.add_steps();
        step.set_count(tasks);
        step.set_cpu_millicores(1'000);
        step.set_estimate_ms(8'000);
        step.set_filling(is_filling);
        step.set_tail_target_ms(is_filling ? 0 : 50);
        this->dispatch.add_job(id, submission, {}, 0, this->now);
    };
    const auto list_executors = [this](const std::string& id) {
        std::set<std::string> executors;
        for (const work_unit& unit : this->dispatch.job_runs().find(id)->units) {
            for (const placed_task& task : unit.placed_tasks)
                executors.insert(task.executor);
        }
        return executors;
    };
    add_sharing("serving", 2, false);
    this->decide(); // In an earlier round than the tasks below.
    add_sharing("filling", 300, true);
    add_sharing("serving2", 300, false);
    for (int round = 0; round < 3; ++round) // Each places a limited number.
        this->decide();
    const auto filled = list_executors("filling");
    BOOST_TEST(!filled.empty());
    for (const char* id : {"serving", "serving2"}) {
        for (const std::string& executor : list_executors(id))
            BOOST_TEST(!filled.contains(executor), executor << " runs filling and serving tasks");
    }
}

BOOST_FIXTURE_TEST_CASE(an_executor_that_drains_gets_nothing_new, fleet_fixture)
{
    for (int row = 0; row < 4; ++row) {
        executor_entry entry = this->dispatch.executors().find("e" + std::to_string(row))->entry;
        entry.is_draining = row != 2;
        this->dispatch.update_executor(entry, this->now);
    }
    const std::string job = this->add("q1", 1, 1, false);
    this->decide();
    BOOST_REQUIRE(this->is_placed(job));
    BOOST_TEST(this->dispatch.job_runs().find(job)->units[0].placed_tasks[0].executor == "e2");
}

BOOST_FIXTURE_TEST_CASE(a_gang_waits_for_its_rack_only_so_long, fleet_fixture)
{
    // One accelerator of each rack stays in use, so that no rack has two whole executors free.
    for (const char* busy : {"e0", "e2"})
        this->dispatch.executors().find(busy)->used.accelerators += 1;
    const std::string wide = this->add("q1", 2, 8, true);
    this->decide();
    BOOST_TEST(!this->is_placed(wide));
    this->pass(1'000);
    BOOST_TEST(!this->is_placed(wide));
    this->pass(1'600);
    BOOST_TEST(this->is_placed(wide));
}

// Guards against jobs that a new leader takes over after their queue was removed: it must keep the policy under which
// they were accepted, or they fail early or wait for good.
BOOST_AUTO_TEST_SUITE(a_job_of_a_removed_queue)

BOOST_FIXTURE_TEST_CASE(is_run_by_a_new_leader_on_its_pool_with_all_its_attempts, fleet_fixture)
{
    const std::string id = this->add_of_removed_queue(make_accepted_policy());
    for (std::uint32_t run = 1; run <= 3; ++run) {
        this->decide();
        const job_run& job = *this->dispatch.job_runs().find(id);
        BOOST_TEST((job.phase == records::JOB_PHASE_RUNNING));
        BOOST_REQUIRE(job.units[0].placed_tasks.size() == 1U);
        this->end_run_as_failed(job.units[0].placed_tasks[0].executor, id, run);
    }
    BOOST_TEST((this->dispatch.job_runs().find(id)->phase == records::JOB_PHASE_FAILED));
}

BOOST_FIXTURE_TEST_CASE(is_run_on_the_policy_of_its_queue_when_that_is_back, fleet_fixture)
{
    records::QueuePolicy former = make_accepted_policy();
    former.set_pool("former");
    const std::string id = this->add_of_removed_queue(former);
    this->decide();
    BOOST_TEST(!this->is_placed(id));
    fleet_policy policy;
    policy.queues.push_back({.name = "removed", .pool = "pool"});
    this->dispatch.set_policy(policy);
    this->decide();
    BOOST_TEST(this->is_placed(id));
}

// An earlier build accepted the job and recorded no policy.
BOOST_FIXTURE_TEST_CASE(whose_policy_is_unknown_is_neither_started_nor_failed, fleet_fixture)
{
    records::JobProgress progress;
    progress.set_phase(records::JOB_PHASE_RUNNING);
    progress.add_executors()->set_id("e0");
    records::UnitProgress& unit = *progress.add_units();
    unit.set_run(1);
    unit.add_placed_on(0);
    const std::string id = this->add_of_removed_queue(std::nullopt, progress);
    this->end_run_as_failed("e0", id, 1);
    this->decide();
    BOOST_TEST(!this->is_placed(id));
    BOOST_TEST((this->dispatch.job_runs().find(id)->phase == records::JOB_PHASE_RUNNING));
    BOOST_TEST(this->dispatch.job_runs().find(id)->units[0].failures == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

// What is recorded must not grow with the width of a job, or its cost grows with the square of the width.
BOOST_FIXTURE_TEST_CASE(the_end_of_a_task_records_that_task_only, fleet_fixture)
{
    const std::string id = this->add("q2", 8, 4, false);
    this->dispatch.decide(0, this->now);
    const dispatch_changes placed = this->dispatch.collect_changes();
    BOOST_TEST(placed.units.size() == 8U);
    BOOST_TEST(placed.phases.size() == 1U);
    this->dispatch.confirm_changes(placed, this->now);
    const job_run& job = *this->dispatch.job_runs().find(id);
    const placed_task& task = job.units[3].placed_tasks.front();
    poll_report report;
    report.incarnation_ms = 1;
    report.clock = milliseconds(this->now.time_since_epoch());
    for (const task_reference& reference : this->dispatch.job_runs().tasks_on(task.executor)) {
        if (reference.unit_row != 3)
            report.running.push_back({make_task_name(id, {0, 0, reference.unit_row}), reference.run, "", 50});
    }
    report.ended.push_back({1, make_task_name(id, {0, 0, 3}), 1, run_outcome::done, ""});
    this->dispatch.handle_poll_report(task.executor, report, this->now, this->now);
    const dispatch_changes ended = this->dispatch.collect_changes();
    BOOST_REQUIRE(ended.units.size() == 1U);
    BOOST_TEST(ended.units[0].key == id + ".0.0.3");
    BOOST_TEST(ended.units[0].content->progress().done());
    BOOST_TEST(ended.units[0].content->ByteSizeLong() <= 4U);
    BOOST_TEST(ended.phases.empty());
    BOOST_TEST(ended.ends.size() == 1U);
}

// Guards against a long append at the end of a large job (review case 6), for which heartbeats and the records of other
// jobs would wait.
BOOST_FIXTURE_TEST_CASE(the_records_of_a_large_job_are_removed_a_part_at_a_time, fleet_fixture)
{
    constexpr std::uint32_t unit_count = 9'000;
    const std::string id(200, 'j'); // Long keys, so that fewer units make up many bytes.
    records::Submission submission;
    submission.set_queue("q2");
    submission.add_steps()->set_count(unit_count);
    records::JobProgress progress;
    progress.set_phase(records::JOB_PHASE_COMPLETED);
    for (std::uint32_t row = 0; row < unit_count; ++row) {
        records::UnitProgress& unit = *progress.add_units();
        unit.set_first_task(row);
        unit.set_done(true);
    }
    this->dispatch.add_job(id, submission, progress, 0, this->now);
    std::size_t removed = 0;
    while (const job_run* job = this->dispatch.job_runs().find(id)) {
        BOOST_TEST((job->phase == records::JOB_PHASE_COMPLETED));
        const dispatch_changes changes = this->dispatch.collect_changes();
        BOOST_REQUIRE(!changes.units.empty());
        BOOST_TEST(changes.units.size() * id.size() < 1'200'000U);
        removed += changes.units.size();
        this->dispatch.confirm_changes(changes, this->now);
    }
    BOOST_TEST(removed == unit_count);
}

// The two topics are appended apart: without its records, a job whose end was not stored would run again.
BOOST_FIXTURE_TEST_CASE(the_record_of_a_unit_that_completes_its_job_goes_after_the_end_is_stored, fleet_fixture)
{
    const std::string id = this->add("q2", 1, 8, false);
    this->decide();
    const std::string executor = this->dispatch.job_runs().find(id)->units[0].placed_tasks.front().executor;
    poll_report report;
    report.incarnation_ms = 1;
    report.clock = milliseconds(this->now.time_since_epoch());
    report.ended.push_back({1, make_task_name(id, {0, 0, 0}), 1, run_outcome::done, ""});
    this->dispatch.handle_poll_report(executor, report, this->now, this->now);
    const dispatch_changes completed = this->dispatch.collect_changes();
    BOOST_REQUIRE(completed.phases.size() == 1U);
    BOOST_TEST(completed.phases[0].phase == records::JOB_PHASE_COMPLETED);
    BOOST_TEST(completed.units.empty());
    this->dispatch.confirm_changes(completed, this->now);
    const dispatch_changes removed = this->dispatch.collect_changes();
    BOOST_REQUIRE(removed.units.size() == 1U);
    BOOST_TEST(!removed.units[0].content.has_value());
}

BOOST_FIXTURE_TEST_CASE(the_records_of_units_that_may_still_run_outlast_the_end_of_their_job, fleet_fixture)
{
    const std::string id = this->add("q2", 1, 8, false);
    this->decide();
    this->dispatch.cancel_job(id, this->now);
    const dispatch_changes cancelled = this->dispatch.collect_changes();
    BOOST_REQUIRE(cancelled.phases.size() == 1U);
    BOOST_TEST(cancelled.units.empty());
    this->dispatch.confirm_changes(cancelled, this->now);
    // The task may still run, so a later leader needs its record in order to stop it.
    BOOST_TEST(this->dispatch.collect_changes().is_empty());
    const stop_order stop = this->dispatch.collect_stops(this->now).at(0);
    this->dispatch.handle_stop_answer(stop, true, this->now);
    this->now += milliseconds(1'000);
    poll_report report;
    report.incarnation_ms = 1;
    report.clock = milliseconds(this->now.time_since_epoch());
    this->dispatch.handle_poll_report(stop.executor, report, this->now, this->now);
    const dispatch_changes removed = this->dispatch.collect_changes();
    BOOST_REQUIRE(removed.units.size() == 1U);
    BOOST_TEST(!removed.units[0].content.has_value());
    this->dispatch.confirm_changes(removed, this->now);
    BOOST_TEST(this->dispatch.job_runs().find(id) == nullptr);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace wigeon
