// Executors that fail or stall are quarantined; healthy ones are not.

#include <boost/test/unit_test.hpp>

#include "dispatch/executor_health.h"

namespace wigeon {

namespace {

const boot_time start{milliseconds(1'000'000)};
constexpr milliseconds estimate{8'000};

boot_time at(std::int64_t after_ms)
{
    return start + milliseconds(after_ms);
}

} // namespace

BOOST_AUTO_TEST_SUITE(executor_health_story)

BOOST_AUTO_TEST_SUITE(progress)

BOOST_AUTO_TEST_CASE(that_moves_is_fine)
{
    task_progress progress;
    for (std::int64_t second = 0; second < 8; ++second)
        progress.update(static_cast<std::uint32_t>(second * 12), at(second * 1'000));
    BOOST_TEST(!is_stalled(progress, at(7'000), at(7'010)));
}

BOOST_AUTO_TEST_CASE(that_does_not_change_between_polls_is_a_stall)
{
    task_progress progress;
    for (std::int64_t second = 0; second < 4; ++second)
        progress.update(30, at(second * 1'000));
    BOOST_TEST(!is_stalled(progress, at(1'000), at(1'010)));
    BOOST_TEST(is_stalled(progress, at(3'000), at(3'010)));
}

BOOST_AUTO_TEST_CASE(that_was_not_polled_lately_proves_nothing)
{
    task_progress progress;
    progress.update(30, at(0));
    BOOST_TEST(!is_stalled(progress, at(100), at(9'000)));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_CASE(of_many_executors_at_once_is_not_held_against_them)
{
    BOOST_TEST(is_quarantine_plausible(8, 48));
    BOOST_TEST(!is_quarantine_plausible(13, 48));
}

BOOST_AUTO_TEST_SUITE(failures)

BOOST_AUTO_TEST_CASE(late_in_a_run_are_held_against_the_executor_only_when_they_repeat)
{
    failure_streak streak;
    streak.record_failure(milliseconds(6'000), estimate, at(0));
    BOOST_TEST(!streak.is_quarantined(at(10)));
    streak.record_failure(milliseconds(6'000), estimate, at(20));
    BOOST_TEST(streak.is_quarantined(at(30)));
    BOOST_TEST(!streak.is_quarantined(at(30'000)));
}

BOOST_AUTO_TEST_CASE(right_after_the_start_quarantine_the_executor_at_once)
{
    failure_streak streak;
    streak.record_failure(milliseconds(50), estimate, at(0));
    BOOST_TEST(streak.is_quarantined(at(100)));
}

BOOST_AUTO_TEST_CASE(are_forgotten_with_a_success)
{
    failure_streak streak;
    streak.record_failure(milliseconds(6'000), estimate, at(0));
    streak.record_success();
    streak.record_failure(milliseconds(6'000), estimate, at(20));
    BOOST_TEST(!streak.is_quarantined(at(30)));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

} // namespace wigeon
