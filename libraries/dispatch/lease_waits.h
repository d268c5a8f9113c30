// Follows, for the log, the executors that don't answer and whose tasks count as running until their leases have
// certainly expired. Decides nothing.

#pragma once

#include <map>
#include <string>
#include <string_view>

#include "dispatch/dispatch_event.h"
#include "dispatch/executor_registry.h"
#include "dispatch/task_index.h"

namespace wigeon {

class lease_waits {
public:
    lease_waits(const executor_registry& known_executors, dispatch_events& event_log)
        : registry(known_executors), events(event_log)
    {
    }

    // Adds one event for each executor whose wait has begun, has ended, or now ends for another reason.
    void update(const task_index& tasks, boot_time now);

    // Number of executors that are waited for.
    [[nodiscard]] std::size_t size() const { return this->waits.size(); }

private:
    struct wait {
        boot_time began_at;
        lease_expiry expiry;
    };

    void report(std::string_view event, const std::string& id, std::size_t task_count, const lease_expiry& expiry,
                boot_time now);
    void report_end(const std::string& id, const wait& ended, bool has_tasks, boot_time now);

    const executor_registry& registry;
    dispatch_events& events;
    std::map<std::string, wait, std::less<>> waits; // By executor; each had tasks at the last update.
};

} // namespace wigeon
