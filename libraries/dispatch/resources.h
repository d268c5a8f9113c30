// Amounts of the resources that tasks use on an executor.

#pragma once

#include <algorithm>
#include <cstdint>

namespace wigeon {

struct resources {
    std::int64_t cpu_millicores = 0;
    std::int64_t memory_mb = 0;
    std::int64_t accelerators = 0;

    resources& operator+=(const resources& other)
    {
        this->cpu_millicores += other.cpu_millicores;
        this->memory_mb += other.memory_mb;
        this->accelerators += other.accelerators;
        return *this;
    }

    resources& operator-=(const resources& other)
    {
        this->cpu_millicores -= other.cpu_millicores;
        this->memory_mb -= other.memory_mb;
        this->accelerators -= other.accelerators;
        return *this;
    }

    friend resources operator*(resources amount, std::int64_t count)
    {
        return {amount.cpu_millicores * count, amount.memory_mb * count, amount.accelerators * count};
    }

    friend resources operator+(resources left, const resources& right) { return left += right; }
    friend resources operator-(resources left, const resources& right) { return left -= right; }

    [[nodiscard]] bool fits_in(const resources& available) const
    {
        return this->cpu_millicores <= available.cpu_millicores && this->memory_mb <= available.memory_mb &&
               this->accelerators <= available.accelerators;
    }

    // How many tasks of this size fit into what is available; at most `limit`.
    [[nodiscard]] std::int64_t count_in(const resources& available, std::int64_t limit) const
    {
        std::int64_t count = limit;
        if (this->cpu_millicores > 0)
            count = std::min(count, available.cpu_millicores / this->cpu_millicores);
        if (this->memory_mb > 0)
            count = std::min(count, available.memory_mb / this->memory_mb);
        if (this->accelerators > 0)
            count = std::min(count, available.accelerators / this->accelerators);
        return std::max<std::int64_t>(count, 0);
    }
};

// Number of cores that one accelerator counts for in comparisons of work.
constexpr std::int64_t cores_per_accelerator = 8; // From the platform's price of wasted work.

// Size of a task in core equivalents.
inline double to_core_equivalents(const resources& amount)
{
    constexpr double millicores_per_core = 1000.0;
    return static_cast<double>(amount.cpu_millicores) / millicores_per_core +
           static_cast<double>(amount.accelerators * cores_per_accelerator);
}

} // namespace wigeon
