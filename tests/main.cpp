// Entry point of the tests that need no other process.

#define BOOST_TEST_MODULE wigeon
#include <boost/test/unit_test.hpp>
