// Entry point of the tests with real processes.

#define BOOST_TEST_MODULE wigeon_integration
#include <boost/test/unit_test.hpp>
