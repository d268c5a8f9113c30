// Interface of the advisor, which decides for some queues which executors may run a step. The call returns at once; the
// handler runs later on the event loop.

#pragma once

#include <functional>
#include <optional>

#include "dispatch/ticket_cache.h"

namespace wigeon {

class advice_service {
public:
    virtual ~advice_service() = default;

    // False when the deployment has no advisor. Queues that need one can't be served then.
    [[nodiscard]] virtual bool is_configured() const = 0;

    // Must not be called unless is_configured(). Calls `done` with nullopt when the advisor was busy, did not respond,
    // or sent a response that can't be decoded.
    virtual void query(const advice_request& request, std::function<void(std::optional<advice_response>)> done) = 0;
};

} // namespace wigeon
