// Decides when a process sends a heartbeat to its peers: at a short interval while it has work, at a long one while
// idle, and at once after a change. The long interval exists because each process sends to all others, and these
// heartbeats are most of the control traffic of an idle host.

#pragma once

#include "base/time.h"
#include "wigeon.pb.h"

namespace wigeon {

struct heartbeat_timing {
    milliseconds busy_interval{1'000};
    milliseconds idle_interval{4'000};
    milliseconds timeout{3'500}; // Time without a heartbeat after which a busy process counts as failed.
};

class heartbeat_schedule {
public:
    explicit heartbeat_schedule(heartbeat_timing timing) : timing(timing) {}

    // Returns true when the heartbeat should be sent now.
    [[nodiscard]] bool is_due(const Beat& heartbeat, steady_time now) const;

    // Records that the heartbeat is being sent. Returns how long afterwards the sender counts as alive without another
    // heartbeat.
    milliseconds record_sent(const Beat& heartbeat, steady_time now);

    // Records that a process joined. It knows no members yet, so heartbeats follow at the busy interval for a while.
    void record_join(steady_time now) { this->busy_until = now + this->timing.busy_interval * 3; }

private:
    [[nodiscard]] bool is_busy(const Beat& heartbeat, steady_time now) const
    {
        return heartbeat.demand() > 0 || now < this->busy_until;
    }

    const heartbeat_timing timing;
    Beat last_heartbeat;
    steady_time last_sent_at{};
    steady_time busy_until{}; // Three busy intervals after the latest demand or join; bridges intermittent demand.
    bool was_busy = false;    // At the last heartbeat.
};

} // namespace wigeon
