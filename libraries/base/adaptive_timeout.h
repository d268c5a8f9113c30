// A time limit that follows a service which became slow: a fixed one would turn each slow answer into a failed call,
// and a long one would find dead connections late.

#pragma once

#include <algorithm>

#include "base/time.h"

namespace wigeon {

class adaptive_timeout {
public:
    adaptive_timeout(milliseconds min_timeout, milliseconds max_timeout)
        : min_timeout(min_timeout), max_timeout(std::max(min_timeout, max_timeout)), timeout(min_timeout)
    {
    }

    [[nodiscard]] milliseconds current() const { return this->timeout; }

    // A call was answered after `taken`: the next may take twice as long.
    void record_success(milliseconds elapsed)
    {
        this->timeout = std::clamp(elapsed * 2, this->min_timeout, this->max_timeout);
    }

    // A call failed after `taken`. Only one that ran out of time says that the limit is short.
    void record_failure(milliseconds elapsed)
    {
        if (elapsed >= this->timeout)
            this->timeout = std::min(this->timeout * 2, this->max_timeout);
    }

private:
    const milliseconds min_timeout;
    const milliseconds max_timeout;
    milliseconds timeout; // Between shortest and longest.
};

} // namespace wigeon
