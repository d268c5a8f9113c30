// Stores and looks up tickets by step and executor.

#include "dispatch/ticket_cache.h"

#include <utility>

namespace wigeon {

namespace {

// Time between choosing an executor and the arrival of the start there: an append to the store and a call, 20 ms each
// in normal operation, a few hundred while the store is slow.
constexpr milliseconds start_latency_margin{400};

} // namespace

void ticket_cache::store_response(const advice_request& request, const advice_response& response, boot_time sent_at)
{
    step_advice& advice = this->steps[request.step];
    for (const std::string& executor : request.executors)
        advice.denied.insert(executor);
    for (const ticket& granted : response.tickets) {
        advice.denied.erase(granted.executor);
        advice.tickets[granted.executor] = {granted.text, sent_at + response.valid_for};
    }
}

void ticket_cache::drop(std::string_view step, std::string_view executor)
{
    const auto advice = this->steps.find(step);
    if (advice == this->steps.end())
        return;
    const auto granted = advice->second.tickets.find(executor);
    if (granted != advice->second.tickets.end())
        advice->second.tickets.erase(granted);
}

std::optional<std::string_view> ticket_cache::find(std::string_view step, std::string_view executor,
                                                   boot_time now) const
{
    const auto advice = this->steps.find(step);
    if (advice == this->steps.end())
        return std::nullopt;
    const auto granted = advice->second.tickets.find(executor);
    if (granted == advice->second.tickets.end() || now + start_latency_margin >= granted->second.valid_until)
        return std::nullopt;
    return granted->second.text;
}

bool ticket_cache::is_denied(std::string_view step, std::string_view executor) const
{
    const auto advice = this->steps.find(step);
    return advice != this->steps.end() && advice->second.denied.contains(executor);
}

void ticket_cache::keep_only(const std::set<std::string, std::less<>>& wanted)
{
    std::erase_if(this->steps, [&wanted](const auto& entry) { return !wanted.contains(entry.first); });
}

} // namespace wigeon
