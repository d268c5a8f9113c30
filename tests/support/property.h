// Runs a rapidcheck property inside a Boost.Test case. The seed is fixed by RC_PARAMS, which the CTest
// entry sets, or by the default here.

#pragma once

#include <cstdlib>
#include <string>

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

namespace wigeon::test {

template <typename Property>
void check_property(const std::string& description, Property&& property)
{
    setenv("RC_PARAMS", "seed=20261204 max_success=200", 0);
    BOOST_TEST(rc::check(description, std::forward<Property>(property)), description);
}

} // namespace wigeon::test
