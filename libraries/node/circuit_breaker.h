// Circuit breaker for writes to the store. During an outage callers are refused at once and told when to retry, instead
// of waiting for a write that fails; a refused write is certainly not stored. No I/O, no clock.

#pragma once

#include <cstdint>
#include <optional>

#include "base/time.h"

namespace wigeon {

class circuit_breaker {
public:
    void record_success();
    void record_failure(boot_time now);

    // Whether a write may be sent. While the breaker is open, admits one write per probe interval, to see whether the
    // store is back.
    bool admit_write(boot_time now);

    // Retry delay for callers that are refused: the duration of the outage so far in whole seconds, within bounds.
    [[nodiscard]] std::uint32_t find_retry_after_s(boot_time now) const;

private:
    std::optional<boot_time> open_since;
    boot_time last_probe; // Time of the last failure or admitted probe; only used while open.
};

} // namespace wigeon
