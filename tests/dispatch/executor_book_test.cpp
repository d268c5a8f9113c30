// What the leader may conclude from an executor's silence.

#include <boost/test/unit_test.hpp>

#include "dispatch/executor_book.h"

namespace wigeon {

namespace {

constexpr milliseconds longest_lease{6'000};
const boot_time start{milliseconds(1'000'000)};

executor_entry make_entry()
{
    executor_entry entry;
    entry.id = "e1";
    entry.pool = "pool";
    entry.born_ms = 100;
    return entry;
}

look_report make_report(milliseconds clock)
{
    look_report report;
    report.born_ms = 100;
    report.clock = clock;
    return report;
}

} // namespace

BOOST_AUTO_TEST_SUITE(executor_book_story)

BOOST_AUTO_TEST_SUITE(a_new_leader_has_looked_once)

BOOST_AUTO_TEST_CASE(leases_of_the_former_leader_count_at_full_length)
{
    executor_book book(longest_lease, start);
    book.update(make_entry(), start);
    executor& host = *book.find("e1");
    book.take_report(host, make_report(milliseconds(5'000)), start, start + milliseconds(10));
    BOOST_TEST((book.find_lapse(host) >= start + outlast(longest_lease)));
}

BOOST_AUTO_TEST_CASE(a_lease_of_its_own_moves_the_lapse)
{
    executor_book book(longest_lease, start);
    book.update(make_entry(), start);
    executor& host = *book.find("e1");
    book.take_report(host, make_report(milliseconds(5'000)), start, start + milliseconds(10));
    const boot_time renewed_at = start + milliseconds(4'000);
    book.extend_lease(host, renewed_at);
    BOOST_TEST((book.find_lapse(host) >= renewed_at + longest_lease));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(an_executor_was_never_reached)

BOOST_AUTO_TEST_CASE(one_that_is_listed_may_be_renewed_by_a_leader_that_lost_the_store)
{
    executor_book book(longest_lease, start);
    book.update(make_entry(), start);
    BOOST_TEST((book.find_lapse(*book.find("e1")) >= start + unconfirmed_leader_limit + longest_lease));
}

BOOST_AUTO_TEST_CASE(one_that_left_the_directory_ends_with_its_lease)
{
    executor_book book(longest_lease, start);
    book.update(make_entry(), start);
    const boot_time left_at = start + milliseconds(3'000);
    book.remove("e1", left_at);
    const boot_time lapse = book.find_lapse(*book.find("e1"));
    BOOST_TEST((lapse >= left_at + outlast(longest_lease)));
    BOOST_TEST((lapse < start + unconfirmed_leader_limit));
}

BOOST_AUTO_TEST_SUITE_END()

// A new life counts its ends anew, and may have begun while the executor was silent.
BOOST_AUTO_TEST_CASE(an_executor_that_was_silent_is_told_to_forget_no_ends)
{
    executor_book book(milliseconds(6'000), start);
    book.update(make_entry(), start);
    executor& host = *book.find("e1");
    book.take_report(host, make_report(milliseconds(1'000)), start, start);
    host.last_end_noted = 57;
    BOOST_TEST(host.find_forgettable_end() == 57U);
    host.last_look_sent.reset();
    BOOST_TEST(host.find_forgettable_end() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace wigeon
