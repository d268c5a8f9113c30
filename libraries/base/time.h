// Clocks and time arithmetic. Decision code takes the current time as an argument; only its calling threads read a
// clock.

#pragma once

#include <chrono>
#include <cstdint>
#include <ctime>

namespace wigeon {

using std::chrono::milliseconds;

// Monotonic time for leases and timeouts within one process. It does not advance while the host is suspended.
using steady_time = std::chrono::steady_clock::time_point;

inline steady_time read_steady_clock()
{
    return std::chrono::steady_clock::now();
}

// A monotonic clock that also counts the time for which the host was suspended. Leases, freshness checks and timeouts
// of decisions use it, so that a host that resumes sees how old its information is.
struct boot_clock {
    using duration = milliseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<boot_clock>;
    static constexpr bool is_steady = true;

    static time_point now()
    {
        timespec reading{};
        clock_gettime(CLOCK_BOOTTIME, &reading);
        constexpr long nanoseconds_per_millisecond = 1'000'000;
        return time_point(std::chrono::seconds(reading.tv_sec) +
                          milliseconds(reading.tv_nsec / nanoseconds_per_millisecond));
    }
};

using boot_time = boot_clock::time_point;

// Milliseconds since the Unix epoch, for records that other processes read.
inline std::uint64_t read_wall_clock_ms()
{
    const auto since_epoch = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(std::chrono::duration_cast<milliseconds>(since_epoch).count());
}

// The largest difference that two hosts' clocks accumulate over the duration: their rates differ by at most 1/50.
inline milliseconds max_clock_drift(milliseconds duration)
{
    return duration / 50;
}

// The time after which a lease has certainly expired on another host, whatever its clock drift.
inline milliseconds add_clock_drift(milliseconds lease)
{
    return lease + max_clock_drift(lease);
}

inline milliseconds elapsed_ms(steady_time from, steady_time to)
{
    return std::chrono::duration_cast<milliseconds>(to - from);
}

} // namespace wigeon
