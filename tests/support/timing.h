// Checks time limits that the users' documents give. An exceeded limit fails the test only if the environment variable
// WIGEON_TIMED is set, as for measurements. Otherwise it only warns: CI shares its machine, and in meta/prove-red a
// limit exceeded on a busy machine would pass for a detected mutation.

#pragma once

#include <cstdlib>

#include <boost/test/unit_test.hpp>

#include "base/time.h"

namespace wigeon::test {

inline void check_time(milliseconds elapsed, milliseconds limit)
{
    BOOST_TEST_MESSAGE("took " << elapsed.count() << " ms, limit " << limit.count() << " ms");
    if (std::getenv("WIGEON_TIMED") == nullptr)
        BOOST_WARN_LE(elapsed.count(), limit.count());
    else
        BOOST_TEST(elapsed.count() <= limit.count());
}

} // namespace wigeon::test
