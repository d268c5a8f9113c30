// The availability zones that the operators have evacuated: no task is started on their executors. Answers the load of
// an evacuation, where the other zones take all new work, and of its end, where the zone's idle executors would all get
// tasks at once. No I/O, no clock.

#pragma once

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "base/time.h"

namespace wigeon {

class zone_evacuations {
public:
    // The zones are no basis for a start if they were read longer ago than this. None: however old they are.
    void set_max_age(std::optional<milliseconds> limit) { this->max_age = limit; }

    // Returns whether the zone was not evacuated before.
    bool begin(std::string_view zone, boot_time now);

    // Returns for how long the zone was evacuated, or nullopt if it was not.
    std::optional<milliseconds> end(std::string_view zone, boot_time now);

    // The operators' records that existed at this time are all applied here.
    void set_current_as_of(std::optional<boot_time> time) { this->current_as_of = time; }

    // Whether the zones were read recently enough to start a task anywhere.
    [[nodiscard]] bool is_current(boot_time now) const;

    // Whether a task may be started on the executor. After an evacuation, the zone's executors are admitted one after
    // the other within zone_return_time.
    [[nodiscard]] bool admits(std::string_view zone, std::string_view executor, boot_time now) const;

    [[nodiscard]] bool is_evacuated(std::string_view zone) const { return this->evacuated.contains(zone); }

    // Each evacuated zone with the time at which this process learned of the evacuation.
    [[nodiscard]] const std::map<std::string, boot_time, std::less<>>& all() const { return this->evacuated; }

private:
    std::optional<milliseconds> max_age;
    std::optional<boot_time> current_as_of; // None: the operators' records were never read.
    std::map<std::string, boot_time, std::less<>> evacuated;
    std::map<std::string, boot_time, std::less<>> returned; // When the last evacuation ended; at most one a zone.
};

// Time within which the executors of a zone are admitted after its evacuation. The leader starts at most 256 tasks a
// round, so a zone of hundreds of idle executors would otherwise fill round after round while other zones' work waits.
constexpr milliseconds zone_return_time{1'000};

} // namespace wigeon
