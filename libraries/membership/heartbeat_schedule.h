// When a process tells its peers of itself: often while it has work or something changed, seldom at rest, since the
// beats of all to all are most of a resting host's control traffic.

#pragma once

#include "base/time.h"
#include "wigeon.pb.h"

namespace wigeon {

struct heartbeat_timing {
    milliseconds busy_interval{1'000};
    milliseconds idle_interval{4'000};
    milliseconds timeout{3'500}; // Silence after which a busy process counts as gone.
};

class heartbeat_schedule {
public:
    explicit heartbeat_schedule(heartbeat_timing timing) : timing(timing) {}

    // True when the beat should be sent now.
    [[nodiscard]] bool is_due(const Beat& heartbeat, steady_time now) const;

    // The beat is being sent. Returns the silence after it for which the sender should not count as gone.
    milliseconds record_sent(const Beat& heartbeat, steady_time now);

    // A process joined, which knows nobody yet.
    void record_join(steady_time now) { this->busy_until = now + this->timing.busy_interval * 3; }

private:
    [[nodiscard]] bool is_busy(const Beat& heartbeat, steady_time now) const
    {
        return heartbeat.demand() > 0 || now < this->busy_until;
    }

    const heartbeat_timing timing;
    Beat last_heartbeat;
    steady_time last_sent_at{};
    steady_time busy_until{}; // Work that comes and goes keeps a process busy for some intervals.
    bool was_busy = false;    // At the last beat.
};

} // namespace wigeon
