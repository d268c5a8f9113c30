// The advisor of queues whose policy lets only some executors run a step. The call returns at once; the handler runs
// later on the event loop.

#pragma once

#include <functional>
#include <optional>

#include "dispatch/ticket_cache.h"

namespace wigeon {

class advice_service {
public:
    virtual ~advice_service() = default;

    // False when the deployment has none; queues that need one can then not be served.
    [[nodiscard]] virtual bool is_configured() const = 0;

    // Nothing when it was busy, did not answer, or can't be understood.
    virtual void query(const advice_request& request, std::function<void(std::optional<advice_response>)> done) = 0;
};

} // namespace wigeon
