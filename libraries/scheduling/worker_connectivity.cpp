// Response status and clocks of workers.

#include "scheduling/worker_connectivity.h"

namespace wigeon {

namespace {

// A single unresponsive worker does not show that the others are unreachable.
constexpr std::size_t cut_off_min_workers = 2;

} // namespace

void worker_connectivity::response_status::record(bool is_answered, steady_time sent_at)
{
    if (!is_answered && !this->is_unresponsive)
        this->unresponsive_since = sent_at;
    this->is_unresponsive = !is_answered;
}

const worker_connectivity::worker_status* worker_connectivity::find(const std::string& worker) const
{
    const auto found = this->statuses.find(worker);
    return found == this->statuses.end() ? nullptr : &found->second;
}

void worker_connectivity::record_sent(const std::string& worker, steady_time now)
{
    worker_status& status = this->statuses[worker];
    status.is_in_flight = true;
    status.sent_at = now;
}

void worker_connectivity::record_response(const std::string& worker, const worker_response& response,
                                          steady_time sent_at, steady_time now, bool is_relayed)
{
    worker_status& status = this->statuses[worker];
    const bool is_answered = response.outcome == call_outcome::answered;
    status.any_path.record(is_answered, sent_at);
    if (is_answered) {
        status.clock_ms = response.reports.clock_ms();
        status.clock_read_at = now;
    }
    if (is_relayed)
        return;
    status.direct_path.record(is_answered, sent_at);
    status.last_direct_call_at = now;
}

bool worker_connectivity::may_send(const std::string& worker, steady_time now) const
{
    const worker_status* status = this->find(worker);
    if (status == nullptr)
        return true;
    if (status->is_in_flight)
        return false;
    return !status->any_path.is_unresponsive || now - status->sent_at >= this->retry_interval;
}

steady_time worker_connectivity::find_sent_at(const std::string& worker) const
{
    const worker_status* status = this->find(worker);
    return status == nullptr ? steady_time{} : status->sent_at;
}

bool worker_connectivity::is_unresponsive(const std::string& worker) const
{
    const worker_status* status = this->find(worker);
    return status != nullptr && status->any_path.is_unresponsive;
}

std::optional<std::uint64_t> worker_connectivity::find_clock_ms(const std::string& worker, steady_time then) const
{
    const worker_status* status = this->find(worker);
    if (status == nullptr || status->clock_ms == 0)
        return std::nullopt;
    const milliseconds elapsed = elapsed_ms(status->clock_read_at, then);
    return status->clock_ms + static_cast<std::uint64_t>((elapsed - max_clock_drift(elapsed)).count());
}

std::vector<std::string> worker_connectivity::list_unresponsive(steady_time now, milliseconds duration) const
{
    std::vector<std::string> unresponsive;
    for (const auto& [worker, status] : this->statuses) {
        if (status.any_path.is_unresponsive_for(now, duration))
            unresponsive.push_back(worker);
    }
    return unresponsive;
}

bool worker_connectivity::is_cut_off(steady_time now, milliseconds call_window, milliseconds duration) const
{
    std::size_t called = 0;
    for (const auto& [worker, status] : this->statuses) {
        // Skips workers that are no longer called, such as those that left the configuration.
        if (status.last_direct_call_at == steady_time{} || now - status.last_direct_call_at > call_window)
            continue;
        if (!status.direct_path.is_unresponsive_for(now, duration))
            return false;
        ++called;
    }
    return called >= cut_off_min_workers;
}

} // namespace wigeon
