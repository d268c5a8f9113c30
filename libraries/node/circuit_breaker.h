// Whether a write is worth sending while the store does not take any. Answers outages of the store: callers are refused
// at once, truthfully and with a time to come back, instead of waiting in vain. Pure.

#pragma once

#include <cstdint>
#include <optional>

#include "base/time.h"

namespace wigeon {

class circuit_breaker {
public:
    void record_success();
    void record_failure(boot_time now);

    // While the gate is closed one write in a while goes through, to see whether the store is back.
    bool admit_write(boot_time now);

    // For callers that are refused: about as long as the outage has lasted already, in whole seconds.
    [[nodiscard]] std::uint32_t find_retry_after_s(boot_time now) const;

private:
    std::optional<boot_time> open_since;
    boot_time last_probe; // Meaningful while failing.
};

} // namespace wigeon
