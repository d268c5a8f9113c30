// The intervals of heartbeats while busy and while idle, and the time for which each one is valid.

#include "membership/heartbeat_schedule.h"

namespace wigeon {

bool heartbeat_schedule::is_due(const Beat& heartbeat, steady_time now) const
{
    const bool has_change = heartbeat.configuration_version() != this->last_heartbeat.configuration_version() ||
                            heartbeat.is_leaving() != this->last_heartbeat.is_leaving() ||
                            (this->is_busy(heartbeat, now) && !this->was_busy);
    if (has_change || this->last_sent_at == steady_time{})
        return true;
    return now - this->last_sent_at >= (this->was_busy ? this->timing.busy_interval : this->timing.idle_interval);
}

milliseconds heartbeat_schedule::record_sent(const Beat& heartbeat, steady_time now)
{
    if (heartbeat.demand() > 0)
        this->busy_until = now + this->timing.busy_interval * 3;
    this->was_busy = this->is_busy(heartbeat, now);
    this->last_heartbeat = heartbeat;
    this->last_sent_at = now;
    if (this->was_busy)
        return this->timing.timeout;
    return this->timing.timeout * this->timing.idle_interval.count() / this->timing.busy_interval.count();
}

} // namespace wigeon
