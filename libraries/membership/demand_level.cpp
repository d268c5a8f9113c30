// Smoothing and hysteresis.

#include "membership/demand_level.h"

#include <cmath>

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
    if (!is_near || !is_same_kind)
        this->level = static_cast<std::uint32_t>(std::ceil(this->smoothed));
    return this->level;
}

} // namespace wigeon
