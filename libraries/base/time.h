// Points in time. Decisions take the present as an argument; only the threads around them read a clock.

#pragma once

#include <chrono>
#include <cstdint>

namespace wigeon {

using std::chrono::milliseconds;

// Monotonic time for leases and timeouts within one process.
using steady_time = std::chrono::steady_clock::time_point;

inline steady_time read_steady_clock()
{
    return std::chrono::steady_clock::now();
}

// Milliseconds since the Unix epoch, for records that other processes read.
inline std::uint64_t read_wall_clock_ms()
{
    const auto since_epoch = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(std::chrono::duration_cast<milliseconds>(since_epoch).count());
}

// The rates of two hosts' clocks differ by at most a fiftieth. This is by how much.
inline milliseconds find_drift(milliseconds time)
{
    return time / 50;
}

// The time after which another host's lease has ended, whatever its clock.
inline milliseconds outlast(milliseconds lease)
{
    return lease + find_drift(lease);
}

inline milliseconds elapsed_ms(steady_time from, steady_time to)
{
    return std::chrono::duration_cast<milliseconds>(to - from);
}

} // namespace wigeon
