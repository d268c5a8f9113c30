// Placement and preemption on a fleet whose accelerators are scarce.

#include <array>

#include <boost/test/unit_test.hpp>

#include "dispatch/placement.h"
#include "dispatch/preemption.h"

namespace wigeon {

namespace {

const std::vector<std::string> plain_labels{"a"};

executor_capacity make_capacity(std::string_view id, std::string_view rack, std::int64_t free_accelerators)
{
    executor_capacity capacity;
    capacity.executor = id;
    capacity.pool = "pool";
    capacity.rack = rack;
    capacity.labels = plain_labels;
    capacity.total = {64'000, 128'000, 8};
    capacity.free = {64'000, 128'000, free_accelerators};
    return capacity;
}

placement_need make_need(std::uint32_t count, std::int64_t accelerators)
{
    placement_need need;
    need.pool = "pool";
    need.per_task = {1'000, 1'000, accelerators};
    need.count = count;
    return need;
}

} // namespace

BOOST_AUTO_TEST_SUITE(placement_story)

BOOST_AUTO_TEST_SUITE(a_single_task)

BOOST_AUTO_TEST_CASE(goes_where_it_leaves_the_least_behind)
{
    const std::array executors{make_capacity("whole", "r1", 8), make_capacity("broken", "r1", 3)};
    const auto places = find_places(make_need(1, 2), executors, {});
    BOOST_REQUIRE(places.has_value());
    BOOST_TEST(places->front() == 1U);
}

BOOST_AUTO_TEST_CASE(waits_rather_than_take_an_executor_without_its_label_or_of_another_pool)
{
    std::array executors{make_capacity("one", "r1", 8)};
    placement_need need = make_need(1, 1);
    need.required_label = "b";
    BOOST_TEST(!find_places(need, executors, {}).has_value());
    need.required_label = "a";
    BOOST_TEST(find_places(need, executors, {}).has_value());
    executors[0].pool = "other";
    BOOST_TEST(!find_places(need, executors, {}).has_value());
}

BOOST_AUTO_TEST_CASE(stays_near_its_data_until_it_may_leave)
{
    const std::array executors{make_capacity("near", "r1", 0), make_capacity("far", "r2", 8)};
    placement_need need = make_need(1, 1);
    need.data_rack = "r1";
    BOOST_TEST(!find_places(need, executors, {}).has_value());
    need.may_leave_data_rack = true;
    BOOST_TEST(find_places(need, executors, {}).has_value());
}

BOOST_AUTO_TEST_CASE(is_not_placed_where_it_failed)
{
    std::array executors{make_capacity("failed", "r1", 1), make_capacity("other", "r1", 8)};
    executors[0].is_avoided = true;
    BOOST_TEST(find_places(make_need(1, 1), executors, {})->front() == 1U);
    executors[1].free.accelerators = 0;
    BOOST_TEST(!find_places(make_need(1, 1), executors, {}).has_value());
    BOOST_TEST(could_ever_fit(make_need(1, 1), executors));
    executors[1].is_avoided = true;
    BOOST_TEST(!could_ever_fit(make_need(1, 1), executors));
}

BOOST_AUTO_TEST_CASE(keeps_to_the_bound_of_tasks_on_one_executor)
{
    const std::array executors{make_capacity("one", "r1", 8), make_capacity("two", "r1", 8)};
    placement_need need = make_need(1, 1);
    need.max_per_executor = 1;
    const std::array<std::uint32_t, 2> present{1, 0};
    BOOST_TEST(find_places(need, executors, present)->front() == 1U);
    const std::array<std::uint32_t, 2> both{1, 1};
    BOOST_TEST(!find_places(need, executors, both).has_value());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_gang)

BOOST_AUTO_TEST_CASE(is_placed_whole_or_not_at_all)
{
    const std::array executors{make_capacity("one", "r1", 8), make_capacity("two", "r2", 4)};
    BOOST_TEST(find_places(make_need(3, 4), executors, {})->size() == 3U);
    BOOST_TEST(!find_places(make_need(4, 4), executors, {}).has_value());
}

BOOST_AUTO_TEST_CASE(keeps_to_one_rack_when_a_rack_could_hold_it)
{
    const std::array executors{make_capacity("a1", "r1", 8), make_capacity("b1", "r2", 8),
                               make_capacity("b2", "r2", 8)};
    placement_need need = make_need(2, 8);
    need.same_rack = true;
    const auto places = find_places(need, executors, {});
    BOOST_REQUIRE(places.has_value());
    BOOST_TEST((*places)[0] != 0U);
    BOOST_TEST((*places)[1] != 0U);
    const std::array split{make_capacity("a1", "r1", 8), make_capacity("b1", "r2", 8), make_capacity("b2", "r2", 0)};
    BOOST_TEST(!find_places(need, split, {}).has_value());
}

BOOST_AUTO_TEST_CASE(spreads_over_racks_when_no_rack_could_ever_hold_it)
{
    const std::array executors{make_capacity("a1", "r1", 8), make_capacity("b1", "r2", 8)};
    placement_need need = make_need(2, 8);
    need.same_rack = true;
    BOOST_TEST(find_places(need, executors, {}).has_value());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(urgent_work_on_a_full_fleet)

BOOST_AUTO_TEST_CASE(stops_what_loses_the_least)
{
    const std::array executors{make_capacity("one", "r1", 0), make_capacity("two", "r1", 0)};
    std::array<preemptible_unit, 2> units;
    units[0] = {{1'000, 1'000, 8}, {0}, 500};
    units[1] = {{1'000, 1'000, 8}, {1}, 20};
    const auto plan = preemption_planner(executors, units).plan(make_need(1, 4), {});
    BOOST_REQUIRE(plan.has_value());
    BOOST_TEST(plan->victims == std::vector<std::size_t>{1}, boost::test_tools::per_element());
    BOOST_TEST(plan->places == std::vector<std::size_t>{1}, boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(stops_nothing_when_the_whole_need_can_not_be_met)
{
    const std::array executors{make_capacity("one", "r1", 0), make_capacity("two", "r1", 0)};
    std::array<preemptible_unit, 1> units;
    units[0] = {{1'000, 1'000, 8}, {0}, 1};
    BOOST_TEST(!preemption_planner(executors, units).plan(make_need(2, 8), {}).has_value());
}

BOOST_AUTO_TEST_CASE(counts_the_room_of_a_stopped_gang_on_all_its_executors)
{
    const std::array executors{make_capacity("one", "r1", 0), make_capacity("two", "r1", 0)};
    std::array<preemptible_unit, 1> units;
    units[0] = {{1'000, 1'000, 8}, {0, 1}, 30};
    const auto plan = preemption_planner(executors, units).plan(make_need(2, 8), {});
    BOOST_REQUIRE(plan.has_value());
    BOOST_TEST(plan->victims.size() == 1U);
    BOOST_TEST(plan->cost == 30);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

} // namespace wigeon
