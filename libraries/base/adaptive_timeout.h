// A call timeout that adapts to the latency of a service. With a fixed short timeout every response of a slow service
// would count as a failed call; with a fixed long one dead connections would be detected late.

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

    // Sets the timeout to twice the latency of the answered call, within the bounds.
    void record_success(milliseconds elapsed)
    {
        this->timeout = std::clamp(elapsed * 2, this->min_timeout, this->max_timeout);
    }

    // Doubles the timeout, up to the maximum, if the failed call ran out of time. Calls that failed earlier leave it
    // unchanged, since their failure does not show that the timeout is too short.
    void record_failure(milliseconds elapsed)
    {
        if (elapsed >= this->timeout)
            this->timeout = std::min(this->timeout * 2, this->max_timeout);
    }

private:
    const milliseconds min_timeout;
    const milliseconds max_timeout;
    milliseconds timeout; // Between min_timeout and max_timeout.
};

} // namespace wigeon
