// Exponential smoothing and hysteresis.

#include "membership/demand_level.h"

#include <cmath>
#include <cstdint>

namespace wigeon {

namespace {

constexpr double smoothing_factor = 0.1;
constexpr double negligible_demand = 0.1;
constexpr double hysteresis_factor = 2;

} // namespace

std::uint32_t demand_level::update(std::uint32_t demand)
{
    this->smoothed_demand += smoothing_factor * (demand - this->smoothed_demand);
    if (demand == 0 && this->smoothed_demand < negligible_demand)
        this->smoothed_demand = 0;
    const double announced_level = this->level;
    const bool is_within_hysteresis = this->smoothed_demand <= announced_level * hysteresis_factor &&
                                      std::ceil(this->smoothed_demand) * hysteresis_factor >= announced_level;
    const bool is_zero_unchanged = (this->smoothed_demand == 0) == (announced_level == 0);
    // The level is set to the current demand, because the smoothed one lags behind while the demand changes. A level
    // taken from the smoothed demand would end up at the edge of the hysteresis band, where noise changes it.
    if (!is_within_hysteresis || !is_zero_unchanged)
        this->level = demand > 0 ? demand : static_cast<std::uint32_t>(std::ceil(this->smoothed_demand));
    return this->level;
}

} // namespace wigeon
