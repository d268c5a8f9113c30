// Entry point of the integration tests, which run real processes.

#define BOOST_TEST_MODULE wigeon_integration
#include <boost/test/unit_test.hpp>
