// Reports turns of the event loop that delay everything else on it.

#pragma once

#include <string_view>

#include "base/time.h"

namespace wigeon {

// Measures its own lifetime, which is that of one turn or of the part of it that may take long. Above the longest usual
// time it is logged under the handler's name.
class turn_timer {
public:
    // `handler` must outlive this object.
    explicit turn_timer(std::string_view handler_name);
    ~turn_timer();

    turn_timer(const turn_timer&) = delete;
    turn_timer& operator=(const turn_timer&) = delete;

private:
    const std::string_view handler;
    const steady_time started_at;
};

} // namespace wigeon
