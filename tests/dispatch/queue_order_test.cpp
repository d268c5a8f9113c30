// Which job is served next when the fleet can't run them all.

#include <boost/test/unit_test.hpp>

#include "dispatch/queue_order.h"

namespace wigeon {

namespace {

const boot_time now{milliseconds(1'000'000)};

job_timing make_job(work_rank rank, milliseconds slack)
{
    job_timing job;
    job.rank = rank;
    job.arrived_at = now - milliseconds(1'000);
    job.critical_path = milliseconds(2'000);
    job.deadline = now + job.critical_path + slack;
    job.useful_until = job.deadline + milliseconds(20'000);
    return job;
}

bool comes_first(const job_timing& left, const job_timing& right)
{
    return make_order_key(left, now) < make_order_key(right, now);
}

} // namespace

BOOST_AUTO_TEST_SUITE(queue_order_story)

BOOST_AUTO_TEST_CASE(guaranteed_urgent_work_comes_before_all)
{
    BOOST_TEST(comes_first(make_job(work_rank::guaranteed_urgent, milliseconds(-5'000)),
                           make_job(work_rank::urgent, milliseconds(10))));
}

BOOST_AUTO_TEST_CASE(urgent_work_that_can_be_in_time_comes_before_what_is_late)
{
    BOOST_TEST(
        comes_first(make_job(work_rank::urgent, milliseconds(900)), make_job(work_rank::urgent, milliseconds(-1))));
    BOOST_TEST(
        comes_first(make_job(work_rank::urgent, milliseconds(100)), make_job(work_rank::urgent, milliseconds(900))));
}

BOOST_AUTO_TEST_CASE(what_ends_too_late_to_be_of_use_comes_last)
{
    job_timing expired = make_job(work_rank::urgent, milliseconds(-30'000));
    BOOST_TEST(comes_first(make_job(work_rank::background, milliseconds(-100)), expired));
}

BOOST_AUTO_TEST_CASE(background_work_is_not_put_off_for_ever)
{
    BOOST_TEST(comes_first(make_job(work_rank::regular, milliseconds(9'000)),
                           make_job(work_rank::background, milliseconds(9'000))));
    BOOST_TEST(comes_first(make_job(work_rank::background, milliseconds(1'000)),
                           make_job(work_rank::regular, milliseconds(9'000))));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace wigeon
