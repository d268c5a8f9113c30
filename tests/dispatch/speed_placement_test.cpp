// Placement on a fleet whose executors run the same work at different speeds: the choice of classes itself, and
// scheduling rounds of the dispatcher.

#include <algorithm>
#include <array>
#include <set>

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include "dispatch/dispatcher.h"
#include "dispatch/placement.h"
#include "dispatch/preemption.h"
#include "support/property.h"

namespace wigeon {

namespace {

constexpr std::array<executor_pace, 3> paces{{{0.6, 0}, {1.0, 2}, {1.6, 4}}};
const std::vector<std::string> executor_names{"e0", "e1", "e2", "e3", "e4", "e5", "e6", "e7"};
const std::vector<std::string> rack_names{"r0", "r1", "r2", "r3"};

executor_capacity make_capacity(executor_pace pace, std::int64_t free_accelerators, std::string_view rack = "r0")
{
    executor_capacity capacity;
    capacity.executor = "e";
    capacity.pool = "pool";
    capacity.rack = rack;
    capacity.total = {64'000, 128'000, 8};
    capacity.free = {64'000, 128'000, free_accelerators};
    capacity.run_time_multiple = pace.run_time_multiple;
    capacity.speed_class = pace.speed_class;
    return capacity;
}

placement_need make_need(std::uint32_t count, std::int64_t accelerators, speed_preference preference)
{
    placement_need need;
    need.pool = "pool";
    need.per_task = {1'000, 1'000, accelerators};
    need.count = count;
    need.preference = preference;
    return need;
}

std::vector<std::int32_t> list_classes(std::span<const executor_capacity> executors,
                                       const std::optional<std::vector<std::size_t>>& places)
{
    BOOST_REQUIRE(places.has_value());
    std::vector<std::int32_t> classes;
    for (const std::size_t row : *places)
        classes.push_back(executors[row].speed_class);
    return classes;
}

// Two thirds of the fleet's accelerators are busy.
std::vector<executor_capacity> draw_fleet(std::size_t executors, bool is_even)
{
    std::vector<executor_capacity> fleet;
    for (std::size_t row = 0; row < executors; ++row) {
        const executor_pace pace = is_even ? executor_pace{} : paces[*rc::gen::inRange<std::size_t>(0, paces.size())];
        const int drawn = *rc::gen::inRange(0, 12);
        executor_capacity capacity =
            make_capacity(pace, std::max(0, drawn - 3), rack_names[*rc::gen::inRange<std::size_t>(0, 4)]);
        capacity.free.memory_mb = *rc::gen::inRange(1'000, 128'000);
        fleet.push_back(capacity);
    }
    return fleet;
}

placement_need draw_need(speed_preference preference)
{
    placement_need need = make_need(*rc::gen::inRange<std::uint32_t>(1, 33), *rc::gen::inRange(0, 5), preference);
    need.same_rack = *rc::gen::arbitrary<bool>();
    need.max_per_executor = *rc::gen::inRange<std::uint32_t>(0, 3);
    need.data_rack = *rc::gen::inRange(0, 4) == 0 ? "r1" : "";
    need.may_leave_data_rack = *rc::gen::arbitrary<bool>();
    need.in_time_multiple = *rc::gen::element(0.5, 1.0, 1.5, 3.0);
    need.safe_multiple = need.in_time_multiple / 2;
    return need;
}

// Six executors of 8 accelerators: e0 and e1 are fast, e2 and e3 medium, e4 and e5 slow. Queues: `urgent`
// (stretch 1.5), `regular` and `background` (stretch 3).
struct uneven_fixture {
    boot_time now{milliseconds(1'000'000)};
    dispatcher dispatch;
    std::map<std::string, executor_pace, std::less<>> speeds;
    int jobs = 0;
    bool are_stops_ignored = false;

    explicit uneven_fixture(bool places_by_speed = true)
        : dispatch({milliseconds(6'000), milliseconds(200), milliseconds(5'000), {places_by_speed, false, false}},
                   this->now)
    {
        fleet_policy policy;
        for (std::uint32_t priority = 0; priority < 3; ++priority) {
            queue_policy queue;
            queue.name = std::array{"urgent", "regular", "background"}[priority];
            queue.pool = "pool";
            queue.priority = priority;
            queue.stretch = priority == 0 ? 1.5 : 3;
            queue.target_duration = milliseconds(priority == 0 ? 300 : 1'000);
            policy.queues.push_back(queue);
        }
        policy.accounts.push_back({"account", {}, 48});
        this->dispatch.set_policy(policy);
        for (std::size_t row = 0; row < 6; ++row) {
            executor_entry entry;
            entry.id = executor_names[row];
            entry.pool = "pool";
            entry.rack = "r0";
            entry.capacity = {64'000, 128'000, 8};
            entry.incarnation_ms = 1;
            this->dispatch.update_executor(entry, this->now);
            this->speeds[entry.id] = paces[row / 2];
        }
        this->dispatch.set_speeds(this->speeds);
        this->poll_all();
    }

    // All placed tasks are reported as running, those that were told to stop as stopped.
    void poll_all()
    {
        for (const auto& [id, pace] : this->speeds) {
            poll_report report;
            report.incarnation_ms = 1;
            report.clock = milliseconds(this->now.time_since_epoch());
            for (const task_reference& reference : this->dispatch.job_runs().tasks_on(id)) {
                const job_run& job = *this->dispatch.job_runs().find(reference.job);
                const work_unit& unit = job.units[reference.unit_row];
                if (this->are_stops_ignored || !unit.placed_tasks[reference.task_row].is_stop_requested)
                    report.running.push_back(
                        {make_task_name(reference.job, {0, 0, unit.first_task + reference.task_row}), reference.run, "",
                         static_cast<std::uint32_t>((this->now - unit.placed_at).count() / 200)});
            }
            this->dispatch.handle_poll_report(id, report, this->now, this->now);
        }
    }

    std::string add(const std::string& queue, std::uint32_t tasks, std::uint32_t accelerators,
                    std::uint32_t estimate_ms, std::int64_t age_ms = 0, bool is_checkpointing = false)
    {
        constexpr std::int64_t wall_ms = 1'000'000;
        records::Submission submission;
        submission.set_queue(queue);
        submission.set_account("account");
        submission.set_submitted_ms(wall_ms - age_ms);
        records::Step& step = *submission.add_steps();
        step.set_count(tasks);
        step.set_accelerators(accelerators);
        step.set_gang(true);
        step.set_estimate_ms(estimate_ms);
        step.set_checkpointing(is_checkpointing);
        std::string id = "job" + std::to_string(++this->jobs);
        this->dispatch.add_job(id, submission, {}, wall_ms, this->now);
        return id;
    }

    // Returns the executors that were told to start a task in this round.
    std::multiset<std::string> run_round()
    {
        std::multiset<std::string> started;
        this->dispatch.decide(0, this->now);
        for (const start_order& order : this->dispatch.confirm_changes(this->dispatch.collect_changes(), this->now)) {
            started.insert(order.executor);
            this->dispatch.handle_start_answer(order, start_answer::accepted, this->now);
        }
        for (const stop_order& order : this->dispatch.collect_stops(this->now))
            this->dispatch.handle_stop_answer(order, !this->are_stops_ignored, this->now);
        this->now += milliseconds(20);
        this->poll_all();
        return started;
    }

    void set_speed(const std::string& id, executor_pace pace)
    {
        this->speeds[id] = pace;
        this->dispatch.set_speeds(this->speeds);
    }

    std::string find_event(std::string_view name)
    {
        for (const dispatch_event& event : this->dispatch.take_events()) {
            if (event.name == name)
                return event.detail;
        }
        return {};
    }
};

using names = std::multiset<std::string>;

} // namespace

BOOST_AUTO_TEST_SUITE(speed_placement_story)

// Guards against a change of behaviour on fleets whose executors are alike.
BOOST_AUTO_TEST_CASE(an_even_fleet_is_placed_exactly_as_without_a_preference)
{
    test::check_property("any fleet of one class", [] {
        const auto fleet = draw_fleet(*rc::gen::inRange<std::size_t>(1, 40), true);
        std::vector<std::uint32_t> present;
        for (std::size_t row = 0; row < fleet.size(); ++row)
            present.push_back(*rc::gen::inRange<std::uint32_t>(0, 2));
        placement_need need = draw_need(speed_preference::none);
        const auto expected = find_places(need, fleet, present);
        for (const auto preference : {speed_preference::fastest, speed_preference::slowest}) {
            need.preference = preference;
            RC_ASSERT(find_places(need, fleet, present) == expected);
        }
    });
}

// Guards against work that waits although it fits.
BOOST_AUTO_TEST_CASE(a_preference_never_decides_whether_a_unit_is_placed)
{
    test::check_property("any uneven fleet", [] {
        const auto fleet = draw_fleet(*rc::gen::inRange<std::size_t>(1, 40), false);
        placement_need need = draw_need(speed_preference::none);
        const bool fits = find_places(need, fleet, {}).has_value();
        for (const auto preference : {speed_preference::fastest, speed_preference::slowest}) {
            need.preference = preference;
            RC_ASSERT(find_places(need, fleet, {}).has_value() == fits);
        }
    });
}

BOOST_AUTO_TEST_SUITE(an_urgent_gang)

// Guards against gangs that are late because one member is slower than needed.
BOOST_AUTO_TEST_CASE(takes_the_lowest_class_bound_that_fits_and_packs_as_before_within_it)
{
    test::check_property("gangs of 1 to 32 on a busy fleet", [] {
        const auto fleet = draw_fleet(60, false);
        placement_need need = draw_need(speed_preference::fastest);
        need.same_rack = false;
        need.data_rack = "";
        need.in_time_multiple = 3;
        const auto places = find_places(need, fleet, {});
        need.preference = speed_preference::none;
        for (const executor_pace& bound : paces) {
            std::vector<executor_capacity> within = fleet;
            for (executor_capacity& executor : within)
                executor.is_permitted = executor.speed_class <= bound.speed_class;
            if (const auto expected = find_places(need, within, {})) {
                RC_ASSERT(places == expected);
                return;
            }
        }
        RC_ASSERT(!places.has_value());
    });
}

BOOST_AUTO_TEST_CASE(that_asks_for_one_rack_takes_the_fastest_rack_and_then_the_fullest)
{
    placement_need need = make_need(2, 4, speed_preference::fastest);
    need.same_rack = true;
    const std::array fleet{make_capacity(paces[2], 8, "r0"), make_capacity(paces[0], 8, "r1"),
                           make_capacity(paces[0], 8, "r2"), make_capacity(paces[1], 4, "r2")};
    BOOST_TEST(find_places(need, fleet, {})->front() == 1U);
}

BOOST_AUTO_TEST_CASE(takes_an_executor_of_its_class_that_is_in_time_before_one_that_is_not)
{
    placement_need need = make_need(1, 4, speed_preference::fastest);
    need.in_time_multiple = 1.55;
    const std::array fleet{make_capacity({1.6, 4}, 4), make_capacity({1.5, 4}, 8)};
    BOOST_TEST(find_places(need, fleet, {})->front() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(work_that_is_not_urgent)

BOOST_AUTO_TEST_CASE(leaves_fast_executors_free_while_slow_ones_are_in_time)
{
    placement_need need = make_need(1, 4, speed_preference::slowest);
    std::vector fleet{make_capacity(paces[0], 8), make_capacity(paces[1], 8), make_capacity(paces[2], 8)};
    const auto find_class = [&](double safe, double in_time) {
        need.safe_multiple = safe;
        need.in_time_multiple = in_time;
        return list_classes(fleet, find_places(need, fleet, {})).front();
    };
    BOOST_TEST(find_class(2, 4) == 4);
    BOOST_TEST(find_class(1.2, 2.4) == 2);
    BOOST_TEST(find_class(0.9, 1.8) == 0); // Half of the fast accelerators stay free.
    BOOST_TEST(find_class(0.4, 0.8) == 0);
    fleet[0].free.accelerators = 7;
    BOOST_TEST(find_class(0.9, 1.8) == 2);
    BOOST_TEST(find_class(0.4, 0.8) == 0); // In time on the fast executor only.
    BOOST_TEST(find_class(0.1, 0.2) == 2); // Late anywhere: the fastest of the others.
    fleet[1].free.accelerators = 0;
    fleet[2].free.accelerators = 0;
    BOOST_TEST(find_class(2, 4) == 0); // Nothing else fits.
}

// Guards against fast members that wait for a slow one.
BOOST_AUTO_TEST_CASE(in_a_gang_gets_members_of_like_speed)
{
    placement_need need = make_need(3, 4, speed_preference::slowest);
    const std::vector fleet{make_capacity(paces[0], 8), make_capacity(paces[0], 8), make_capacity(paces[1], 8),
                            make_capacity(paces[1], 4), make_capacity({1.2, 3}, 4), make_capacity({2.2, 6}, 8)};
    BOOST_TEST(list_classes(fleet, find_places(need, fleet, {})) == (std::vector<std::int32_t>{2, 2, 2}),
               boost::test_tools::per_element());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(stops_for_urgent_work)

// Guards against work that is stopped for a job that is late all the same.
BOOST_AUTO_TEST_CASE(free_a_place_in_time_unless_it_is_much_dearer)
{
    const std::vector fleet{make_capacity(paces[2], 0), make_capacity(paces[0], 0)};
    std::vector<preemptible_unit> units(2);
    units[0] = {{0, 0, 8}, {0}, 20, true};
    units[1] = {{0, 0, 8}, {1}, 40, true};
    placement_need need = make_need(1, 8, speed_preference::fastest);
    need.in_time_multiple = 1.5;
    BOOST_TEST(preemption_planner(fleet, units).plan(need, {})->places.front() == 1U);
    units[1].cost = 400;
    BOOST_TEST(preemption_planner(fleet, units).plan(need, {})->places.front() == 0U);
    need.must_be_in_time = true;
    BOOST_TEST(preemption_planner(fleet, units).plan(need, {})->places.front() == 1U);
    units[1].is_allowed = false;
    BOOST_TEST(!preemption_planner(fleet, units).plan(need, {}).has_value());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_round)

BOOST_AUTO_TEST_CASE(places_urgent_work_on_fast_executors_and_other_work_on_slow_ones)
{
    uneven_fixture fleet;
    fleet.add("urgent", 2, 8, 2'000);
    BOOST_TEST(fleet.run_round() == (names{"e0", "e1"}), boost::test_tools::per_element());
    const std::string detail = fleet.find_event("placed");
    BOOST_TEST(detail.ends_with(" class=0 expected_ms=1200"), detail);
    const speed_counts counts = fleet.dispatch.take_speed_counts();
    BOOST_TEST(counts.urgent_tasks == 2U);
    BOOST_TEST(counts.urgent_tasks_on_fast == 2U);
    fleet.add("regular", 2, 8, 500);
    BOOST_TEST(fleet.run_round() == (names{"e4", "e5"}), boost::test_tools::per_element());
    BOOST_TEST(fleet.dispatch.take_speed_counts().urgent_tasks == 0U);
}

BOOST_AUTO_TEST_CASE(places_work_that_has_little_slack_left_on_faster_executors)
{
    uneven_fixture fleet;
    fleet.add("regular", 1, 8, 500, 1'100);
    BOOST_TEST(fleet.run_round() == names{"e2"}, boost::test_tools::per_element());
    fleet.add("regular", 1, 8, 500, 1'800);
    BOOST_TEST(fleet.run_round() == names{"e0"}, boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(uses_the_newest_speeds)
{
    uneven_fixture fleet;
    fleet.set_speed("e0", {4.0, 8});
    fleet.add("urgent", 1, 8, 2'000);
    BOOST_TEST(fleet.run_round() == names{"e1"}, boost::test_tools::per_element());
    fleet.set_speed("e0", {0.6, 0});
    fleet.add("urgent", 1, 8, 2'000);
    BOOST_TEST(fleet.run_round() == names{"e0"}, boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(places_urgent_work_on_slow_executors_when_no_other_work_can_be_stopped)
{
    uneven_fixture fleet;
    fleet.add("urgent", 4, 8, 20'000);
    fleet.run_round();
    fleet.add("urgent", 1, 8, 2'000);
    BOOST_TEST(fleet.run_round() == names{"e4"}, boost::test_tools::per_element());
}

// Guards against a free but slow place that makes an urgent job late while background work runs on fast executors.
BOOST_AUTO_TEST_CASE(stops_background_work_for_urgent_work_that_is_late_on_the_free_executors)
{
    uneven_fixture fleet;
    for (int job = 0; job < 4; ++job)
        fleet.add("background", 1, 8, 20'000, 0, true);
    // Stragglers, so that background work takes the medium and fast executors.
    fleet.set_speed("e4", {9.0, 12});
    fleet.set_speed("e5", {9.0, 12});
    fleet.run_round();
    fleet.run_round();
    const std::string urgent = fleet.add("urgent", 1, 8, 2'000);
    BOOST_TEST(fleet.run_round().empty());
    BOOST_TEST(!fleet.find_event("preempted").empty());
    names started;
    for (int round = 0; round < 30 && started.empty(); ++round) {
        for (const std::string& id : fleet.run_round()) {
            if (id < "e4")
                started.insert(id);
        }
    }
    BOOST_TEST(started.size() == 1U);
    BOOST_TEST(fleet.dispatch.job_runs().find(urgent)->unresolved_tasks == 1U);
    BOOST_TEST(fleet.dispatch.job_runs().find(urgent)->units[0].placed_tasks.front().executor < "e4");
}

// Guards the time in which an account's guarantee must be met.
BOOST_AUTO_TEST_CASE(ends_the_wait_for_a_better_place_when_the_stopped_work_does_not_end)
{
    uneven_fixture fleet;
    for (int job = 0; job < 4; ++job)
        fleet.add("background", 1, 8, 20'000, 0, true);
    fleet.set_speed("e4", {9.0, 12});
    fleet.set_speed("e5", {9.0, 12});
    fleet.run_round();
    fleet.are_stops_ignored = true;
    fleet.add("urgent", 1, 8, 20'000);
    const boot_time added_at = fleet.now;
    BOOST_TEST(fleet.run_round().empty());
    while (fleet.run_round().empty() && fleet.now - added_at < milliseconds(5'000)) {
    }
    BOOST_TEST((fleet.now - added_at).count() <= 1'300);
}

BOOST_AUTO_TEST_CASE(without_the_option_places_as_on_an_even_fleet)
{
    uneven_fixture off(false);
    uneven_fixture even;
    even.dispatch.set_speeds({});
    for (uneven_fixture* fleet : {&off, &even}) {
        fleet->add("urgent", 3, 4, 2'000);
        fleet->add("regular", 2, 8, 500);
        fleet->add("background", 3, 2, 20'000);
    }
    BOOST_TEST(off.run_round() == even.run_round(), boost::test_tools::per_element());
    const std::string detail = off.find_event("placed");
    BOOST_TEST(detail == even.find_event("placed"));
    BOOST_TEST(detail.find("class=") == std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

} // namespace wigeon
