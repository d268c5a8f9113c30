// How lists of records are divided to keep within what the store accepts in one append.

#include <string>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "store/append_limits.h"

namespace wigeon {

namespace {

// Each takes 20 bytes of an append.
std::vector<keyed_record> make_records(std::size_t count)
{
    return std::vector<keyed_record>(count, keyed_record{"key-key-key", std::string("text")});
}

} // namespace

BOOST_AUTO_TEST_SUITE(append_limits_story)

BOOST_AUTO_TEST_CASE(one_append_takes_as_many_records_as_its_bytes_allow)
{
    const auto records = make_records(5);
    BOOST_TEST(measure_record(records.front()) == 16U);
    BOOST_TEST(take_append(records, {100, 100}).size() == 5U);
    BOOST_TEST(take_append(records, {100, 99}).size() == 4U);
    BOOST_TEST(take_append(records, {100, 20}).size() == 1U);
    BOOST_TEST(take_append({}, {100, 20}).empty());
}

// A caller that repeats the division always gets to the end; is_within() tells that the store refuses the record.
BOOST_AUTO_TEST_CASE(a_record_beyond_the_limits_stands_alone)
{
    const auto records = make_records(2);
    BOOST_TEST(take_append(records, {100, 10}).size() == 1U);
    BOOST_TEST(!is_within(std::span(records).first(1), {100, 10}));
    BOOST_TEST(!is_within(records, {15, 100}));
    BOOST_TEST(is_within(records, {16, 40}));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace wigeon
