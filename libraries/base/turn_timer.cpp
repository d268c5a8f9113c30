// Observes each turn in a histogram and logs the long ones.

#include "base/turn_timer.h"

#include <chrono>
#include <string>

#include "base/logging.h"
#include "base/metrics.h"

namespace wigeon {

namespace {

// A quarter of the interval of heartbeats.
constexpr std::chrono::milliseconds long_turn{100};

} // namespace

turn_timer::turn_timer(std::string_view handler_name) : handler(handler_name), started_at(read_steady_clock()) {}

turn_timer::~turn_timer()
{
    const auto duration = std::chrono::duration_cast<std::chrono::microseconds>(read_steady_clock() - this->started_at);
    constexpr double microseconds_per_millisecond = 1000.0;
    process_metrics().observe_ms("wigeon_turn_ms",
                                 static_cast<double>(duration.count()) / microseconds_per_millisecond);
    if (duration < long_turn)
        return;
    process_metrics().count("wigeon_long_turns_total");
    log_event("long_turn", {{"handler", std::string(this->handler)},
                            {"took_ms", std::to_string(std::chrono::duration_cast<milliseconds>(duration).count())}});
}

} // namespace wigeon
