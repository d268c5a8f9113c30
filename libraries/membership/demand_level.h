// The demand that an entry announces to its peers, smoothed and with hysteresis. All entries divide the executors'
// slots by the announced demands, and a slot that moves to another entry is unused for a while. Small, constant
// fluctuations of the demand must therefore not change the announced level.

#pragma once

#include <atomic>
#include <cstdint>

namespace wigeon {

class demand_level {
public:
    // Adds a sample of the current demand and returns the level. Call at regular intervals; not thread-safe.
    std::uint32_t update(std::uint32_t demand);

    // Returns the level after the latest update; 0 exactly when the smoothed demand is 0, after a time without demand.
    [[nodiscard]] std::uint32_t read() const { return this->level; }

private:
    double smoothed_demand = 0;
    std::atomic<std::uint32_t> level = 0; // Changes when `smoothed_demand` is off by more than a factor of two.
};

} // namespace wigeon
