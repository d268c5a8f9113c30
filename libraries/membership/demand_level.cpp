// Smoothing and hysteresis.

#include "membership/demand_level.h"

#include <cmath>
#include <cstdint>

namespace wigeon {

namespace {

constexpr double smoothing = 0.1;
constexpr double negligible = 0.1;
constexpr double hysteresis_factor = 2;

} // namespace

std::uint32_t demand_level::update(std::uint32_t demand)
{
    this->smoothed += smoothing * (demand - this->smoothed);
    if (demand == 0 && this->smoothed < negligible)
        this->smoothed = 0;
    const double announced = this->level;
    const bool is_near =
        this->smoothed <= announced * hysteresis_factor && std::ceil(this->smoothed) * hysteresis_factor >= announced;
    const bool is_same_kind = (this->smoothed == 0) == (announced == 0);
    // While the demand changes, the smoothed one lags behind; a level taken from it would end up at the edge of the
    // hysteresis, where noise moves it.
    if (!is_near || !is_same_kind)
        this->level = demand > 0 ? demand : static_cast<std::uint32_t>(std::ceil(this->smoothed));
    return this->level;
}

} // namespace wigeon
