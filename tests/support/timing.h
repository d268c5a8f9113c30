// Checks time limits that the users' documents give. CI shares its machine, so a limit that is exceeded there only
// warns; with WIGEON_TIMED=1, as in meta/prove-red and for measurements, it fails the test.

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
