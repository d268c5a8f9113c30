// A time limit that follows a service which became slow: a fixed one would turn each slow answer into a failed call,
// and a long one would find dead connections late.

#pragma once

#include <algorithm>

#include "base/time.h"

namespace wigeon {

class adaptive_limit {
public:
    adaptive_limit(milliseconds shortest, milliseconds longest)
        : shortest(shortest), longest(std::max(shortest, longest)), limit(shortest)
    {
    }

    [[nodiscard]] milliseconds current() const { return this->limit; }

    // A call was answered after `taken`: the next may take twice as long.
    void note_answer(milliseconds taken) { this->limit = std::clamp(taken * 2, this->shortest, this->longest); }

    // A call failed after `taken`. Only one that ran out of time says that the limit is short.
    void note_failure(milliseconds taken)
    {
        if (taken >= this->limit)
            this->limit = std::min(this->limit * 2, this->longest);
    }

private:
    const milliseconds shortest;
    const milliseconds longest;
    milliseconds limit; // Between shortest and longest.
};

} // namespace wigeon
