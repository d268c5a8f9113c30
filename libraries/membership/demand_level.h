// The demand that an entry announces and divides slots by. Slots are divided by the same numbers at all entries, and a
// share that changes hands lies idle for a while; so small changes of the demand, which never rest, must not move any.

#pragma once

#include <atomic>
#include <cstdint>

namespace wigeon {

class demand_level {
public:
    // Takes the present demand in, at regular times. Returns the level. Not for two threads at once.
    std::uint32_t update(std::uint32_t demand);

    // The level as of the newest update; 0 exactly when there is no demand.
    [[nodiscard]] std::uint32_t read() const { return this->level; }

private:
    double smoothed_demand = 0;
    std::atomic<std::uint32_t> level = 0; // Moves when `smoothed` leaves a factor of two around it.
};

} // namespace wigeon
