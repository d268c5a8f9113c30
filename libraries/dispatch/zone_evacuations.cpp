// Keeps the evacuated zones and admits the executors of a returned zone step by step.

#include "dispatch/zone_evacuations.h"

namespace wigeon {

bool zone_evacuations::begin(std::string_view zone, boot_time now)
{
    if (const auto former = this->returned.find(zone); former != this->returned.end())
        this->returned.erase(former);
    return this->evacuated.try_emplace(std::string(zone), now).second;
}

std::optional<milliseconds> zone_evacuations::end(std::string_view zone, boot_time now)
{
    const auto found = this->evacuated.find(zone);
    if (found == this->evacuated.end())
        return std::nullopt;
    const milliseconds duration = now - found->second;
    this->evacuated.erase(found);
    this->returned.insert_or_assign(std::string(zone), now);
    return duration;
}

bool zone_evacuations::is_current(boot_time now) const
{
    return !this->max_age || (this->current_as_of && now - *this->current_as_of <= *this->max_age);
}

bool zone_evacuations::admits(std::string_view zone, std::string_view executor, boot_time now) const
{
    if (!this->is_current(now) || this->is_evacuated(zone))
        return false;
    const auto found = this->returned.find(zone);
    if (found == this->returned.end() || now - found->second >= zone_return_time)
        return true;
    const auto position = std::hash<std::string_view>()(executor) % static_cast<std::size_t>(zone_return_time.count());
    return static_cast<std::int64_t>(position) < (now - found->second).count();
}

} // namespace wigeon
