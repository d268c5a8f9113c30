// Limits the retries of one entry to a fraction of its requests, so that retries do not amplify an overload.

#pragma once

#include <algorithm>

#include "base/time.h"

namespace wigeon {

class retry_budget {
public:
    explicit retry_budget(double fraction) : fraction(fraction) {}

    void count_request() { this->tokens = std::min(this->tokens + this->fraction, token_limit); }

    // Takes one retry from the budget. Returns false when none is left.
    bool try_take()
    {
        if (this->tokens < 1)
            return false;
        this->tokens -= 1;
        return true;
    }

private:
    static constexpr double token_limit = 20;

    double fraction;
    double tokens = 2; // At most token_limit. An entry with few requests may retry at once, but only a few times.
};

} // namespace wigeon
