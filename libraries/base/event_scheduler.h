// Time, delayed calls and random numbers of an event loop, as an interface: tests replace them by simulated ones.

#pragma once

#include <functional>

#include "base/time.h"

namespace wigeon {

class event_scheduler {
public:
    virtual ~event_scheduler() = default;

    [[nodiscard]] virtual boot_time now() const = 0;

    // Calls `action` on the event loop after `delay`. The call can't be cancelled, so the action itself must check
    // whether it is still wanted.
    virtual void call_after(milliseconds delay, std::function<void()> action) = 0;

    // Returns a random number from 0 up to, but not including, 1. It spreads the calls of many processes.
    virtual double draw_fraction() = 0;
};

} // namespace wigeon
