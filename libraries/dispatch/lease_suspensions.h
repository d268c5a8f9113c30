// The executors whose leases this leader does not renew while its heartbeats say so. The next leader learns from the
// last heartbeat when the tasks there have certainly ended.

#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "dispatch/executor_registry.h"
#include "dispatch/task_index.h"

namespace wigeon {

class lease_suspensions {
public:
    explicit lease_suspensions(const executor_registry& known_executors) : registry(known_executors) {}

    // Returns what the heartbeat that is recorded now says. It names the executors that don't answer and have, or
    // lately had, tasks. They get no lease from now on. Must not be called again before handle_recorded().
    lease_record suspend(const task_index& tasks, boot_time now);

    // Called when that heartbeat is in the store.
    void handle_recorded();

    // Whether the executor must get no lease, with a renewal or with a start. A heartbeat that names it may be the last
    // one that a later leader reads.
    [[nodiscard]] bool contains(std::string_view id) const
    {
        return this->recorded.contains(id) || (this->in_flight && this->in_flight->contains(id));
    }

    // Whether an executor answers again that gets no lease until another heartbeat is recorded.
    [[nodiscard]] bool is_return_pending(boot_time now) const;

private:
    // By executor; since when it has no tasks.
    using executor_set = std::map<std::string, std::optional<boot_time>, std::less<>>;

    [[nodiscard]] bool is_unanswering(std::string_view id, boot_time now) const;
    [[nodiscard]] suspended_lease make_record(const std::string& id, boot_time now) const;

    const executor_registry& registry;
    executor_set recorded;
    std::optional<executor_set> in_flight;
};

} // namespace wigeon
