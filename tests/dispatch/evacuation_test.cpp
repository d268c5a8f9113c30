// Evacuated availability zones: the rule itself, and scheduling rounds on a fleet of two zones.

#include <algorithm>
#include <set>

#include <boost/test/unit_test.hpp>

#include "dispatch/dispatcher.h"

namespace wigeon {

namespace {

constexpr dispatch_limits limits{milliseconds(6'000), milliseconds(200), milliseconds(5'000)};
constexpr milliseconds max_age{3'800};

// Four executors of 8 accelerators: e0 and e1 in zone z0 and rack r0, e2 and e3 in zone z1 and rack r1.
struct two_zone_fixture {
    boot_time now{milliseconds(1'000'000)};
    dispatcher dispatch{limits, this->now};
    zone_evacuations evacuations;
    int jobs = 0;

    two_zone_fixture()
    {
        fleet_policy policy;
        queue_policy queue;
        queue.name = "q";
        queue.pool = "pool";
        queue.priority = 1;
        queue.stretch = 1.5;
        policy.queues.push_back(queue);
        this->dispatch.set_policy(policy);
        this->evacuations.set_max_age(max_age);
        for (int row = 0; row < 4; ++row) {
            executor_entry entry;
            entry.id = "e" + std::to_string(row);
            entry.pool = "pool";
            entry.zone = row < 2 ? "z0" : "z1";
            entry.rack = row < 2 ? "r0" : "r1";
            entry.capacity = {64'000, 128'000, 8};
            entry.incarnation_ms = 1;
            this->dispatch.update_executor(entry, this->now);
        }
        this->read_evacuations();
        this->poll_all();
    }

    void read_evacuations()
    {
        this->evacuations.set_current_as_of(this->now);
        this->dispatch.set_evacuations(this->evacuations);
    }

    void evacuate(const std::string& zone)
    {
        this->evacuations.begin(zone, this->now);
        this->read_evacuations();
    }

    void return_zone(const std::string& zone)
    {
        this->evacuations.end(zone, this->now);
        this->read_evacuations();
    }

    // All placed tasks are reported as running.
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
                report.running.push_back({make_task_name(reference.job, {0, 0, unit.first_task + reference.task_row}),
                                          reference.run, "",
                                          static_cast<std::uint32_t>((this->now - unit.placed_at).count() / 200)});
            }
            this->dispatch.handle_poll_report(id, report, this->now, this->now);
        }
    }

    std::string add(std::uint32_t tasks, std::uint32_t accelerators, bool gang, const std::string& data_rack = "")
    {
        records::Submission submission;
        submission.set_queue("q");
        submission.set_account("account");
        records::Step& step = *submission.add_steps();
        step.set_count(tasks);
        step.set_accelerators(accelerators);
        step.set_gang(gang);
        step.set_data_rack(data_rack);
        step.set_estimate_ms(20'000);
        std::string id = "job" + std::to_string(++this->jobs);
        this->dispatch.add_job(id, submission, {}, 0, this->now);
        return id;
    }

    // Returns the executors that were told to start a task.
    std::set<std::string> confirm(const dispatch_changes& changes)
    {
        std::set<std::string> started;
        for (const start_order& order : this->dispatch.confirm_changes(changes, this->now)) {
            started.insert(order.executor);
            this->dispatch.handle_start_answer(order, start_answer::accepted, this->now);
        }
        return started;
    }

    std::set<std::string> run_round()
    {
        this->dispatch.decide(0, this->now);
        return this->confirm(this->dispatch.collect_changes());
    }

    // Rounds for this time; the operators' records are read all the while.
    std::set<std::string> pass(std::int64_t passed_ms)
    {
        std::set<std::string> started;
        for (std::int64_t left = passed_ms; left > 0; left -= 100) {
            this->now += milliseconds(100);
            this->read_evacuations();
            this->poll_all();
            started.merge(this->run_round());
        }
        return started;
    }
};

using executor_set = std::set<std::string>;

} // namespace

BOOST_AUTO_TEST_SUITE(evacuation_story)

BOOST_AUTO_TEST_SUITE(the_rule)

// Guards against a zone of hundreds of idle executors that are all filled in the round after its return.
BOOST_AUTO_TEST_CASE(admits_the_executors_of_a_returned_zone_one_after_the_other)
{
    const boot_time now{milliseconds(1'000'000)};
    zone_evacuations evacuations;
    evacuations.begin("z0", now);
    BOOST_TEST(evacuations.end("z0", now + milliseconds(7'000)).value().count() == 7'000);
    const auto count_admitted = [&](std::int64_t after_ms) {
        int admitted = 0;
        for (int row = 0; row < 100; ++row)
            admitted +=
                evacuations.admits("z0", "e" + std::to_string(row), now + milliseconds(7'000 + after_ms)) ? 1 : 0;
        return admitted;
    };
    BOOST_TEST(count_admitted(0) < 10);
    BOOST_TEST(count_admitted(500) > 25);
    BOOST_TEST(count_admitted(500) < 75);
    BOOST_TEST(count_admitted(zone_return_time.count()) == 100);
    BOOST_TEST(evacuations.admits("z1", "e0", now));
}

// Guards against a zone that is admitted again because the end of an earlier evacuation is remembered.
BOOST_AUTO_TEST_CASE(holds_for_a_zone_that_is_evacuated_twice_within_a_second)
{
    const boot_time now{milliseconds(1'000'000)};
    zone_evacuations evacuations;
    BOOST_TEST(evacuations.begin("z0", now));
    BOOST_TEST(!evacuations.begin("z0", now));
    evacuations.end("z0", now + milliseconds(300));
    BOOST_TEST(!evacuations.end("z0", now + milliseconds(300)).has_value());
    evacuations.begin("z0", now + milliseconds(600));
    BOOST_TEST(!evacuations.admits("z0", "e0", now + milliseconds(5'000)));
}

// Guards against starts by a node that can't know of an evacuation because it does not reach the store.
BOOST_AUTO_TEST_CASE(admits_nothing_once_the_records_were_read_too_long_ago)
{
    const boot_time now{milliseconds(1'000'000)};
    zone_evacuations evacuations;
    BOOST_TEST(evacuations.admits("z0", "e0", now)); // Without a limit, the age does not matter.
    evacuations.set_max_age(max_age);
    BOOST_TEST(!evacuations.admits("z0", "e0", now)); // The records were never read.
    evacuations.set_current_as_of(now);
    BOOST_TEST(evacuations.admits("z0", "e0", now + max_age));
    BOOST_TEST(!evacuations.admits("z0", "e0", now + max_age + milliseconds(1)));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(while_a_zone_is_evacuated)

// Guards against starts in the zone, and against work there that is stopped without need.
BOOST_FIXTURE_TEST_CASE(nothing_starts_there_and_running_work_goes_on, two_zone_fixture)
{
    this->add(1, 4, false);
    BOOST_TEST(this->run_round() == executor_set{"e0"});
    this->evacuate("z0");
    this->add(8, 4, false);
    BOOST_TEST(this->pass(2'000) == (executor_set{"e2", "e3"}));
    const auto events = this->dispatch.take_events();
    BOOST_TEST(std::none_of(events.begin(), events.end(),
                            [](const dispatch_event& event) { return event.name == "start_withdrawn"; }));
    BOOST_TEST(this->dispatch.collect_stops(this->now).empty());
    BOOST_TEST(this->dispatch.count_tasks_on("e0") == 1U);
}

BOOST_FIXTURE_TEST_CASE(other_zones_take_the_work_and_a_gang_too_wide_for_them_waits_for_its_return, two_zone_fixture)
{
    this->evacuate("z0");
    const std::string wide = this->add(3, 8, true);
    this->add(2, 4, false);
    const executor_set started = this->pass(3'000);
    BOOST_TEST(!started.empty());
    BOOST_TEST(!started.contains("e0"));
    BOOST_TEST(!started.contains("e1"));
    BOOST_TEST(this->dispatch.job_runs().find(wide)->units[0].placed_tasks.empty());
    this->return_zone("z0");
    this->add(3, 8, false);
    const executor_set after = this->pass(zone_return_time.count() + 200);
    BOOST_TEST(after.contains("e0"));
    BOOST_TEST(after.contains("e1"));
}

// Guards against a placement that was decided before the evacuation and is sent after it: its record takes up to
// seconds to be stored.
BOOST_FIXTURE_TEST_CASE(placements_that_are_not_sent_yet_are_withdrawn_as_a_whole, two_zone_fixture)
{
    const std::string gang = this->add(4, 8, true);
    this->dispatch.decide(0, this->now);
    const dispatch_changes changes = this->dispatch.collect_changes();
    BOOST_TEST(changes.starts.size() == 4U);
    this->evacuate("z0");
    BOOST_TEST(this->confirm(changes).empty());
    const work_unit& unit = this->dispatch.job_runs().find(gang)->units[0];
    BOOST_TEST(unit.placed_tasks.empty());
    BOOST_TEST(unit.run == 1U);
    this->return_zone("z0");
    BOOST_TEST(this->pass(zone_return_time.count() + 200).size() == 4U);
    BOOST_TEST(unit.run == 2U);
}

// Guards against a step that waits for its data rack as long as its estimate, beside idle executors elsewhere.
BOOST_FIXTURE_TEST_CASE(a_step_does_not_wait_for_data_that_lies_there, two_zone_fixture)
{
    this->add(1, 1, false, "r0");
    BOOST_TEST(this->run_round() == executor_set{"e0"});
    this->evacuate("z0");
    this->add(1, 1, false, "r0");
    const executor_set started = this->run_round();
    BOOST_TEST((started == executor_set{"e2"} || started == executor_set{"e3"}));
}

BOOST_FIXTURE_TEST_CASE(and_all_others_too_work_waits, two_zone_fixture)
{
    this->evacuate("z0");
    this->evacuate("z1");
    const std::string job = this->add(1, 1, false);
    BOOST_TEST(this->pass(3'000).empty());
    this->return_zone("z1");
    BOOST_TEST(this->pass(zone_return_time.count() + 200).size() == 1U);
    BOOST_TEST(this->dispatch.job_runs().find(job)->units[0].run == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

// Guards against starts, decided or already recorded, by a leader whose reads of the operators' records fail.
BOOST_FIXTURE_TEST_CASE(nothing_starts_while_the_operators_records_can_not_be_read, two_zone_fixture)
{
    this->add(1, 1, false);
    this->dispatch.decide(0, this->now);
    const dispatch_changes changes = this->dispatch.collect_changes();
    this->now += max_age + milliseconds(1);
    this->poll_all();
    BOOST_TEST(this->confirm(changes).empty());
    BOOST_TEST(this->run_round().empty());
    const auto events = this->dispatch.take_events();
    BOOST_TEST(std::count_if(events.begin(), events.end(),
                             [](const dispatch_event& event) { return event.name == "starts_suspended"; }) == 1);
    this->read_evacuations();
    BOOST_TEST(this->run_round().size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace wigeon
