// Tickets by step and executor.

#include "dispatch/ticket_book.h"

#include <utility>

namespace wigeon {

namespace {

// Between the choice of an executor and the arrival of the start there: an append to the store and a call, 20 ms each
// on a calm day, and some hundred while the store is slow.
constexpr milliseconds start_lead{400};

} // namespace

void ticket_book::take_answer(const advice_question& question, const advice_answer& answer, boot_time sent_at)
{
    step_advice& known = this->steps[question.step];
    for (const std::string& executor : question.executors)
        known.turned_down.insert(executor);
    for (const ticket& given : answer.tickets) {
        known.turned_down.erase(given.executor);
        known.tickets[given.executor] = {given.text, sent_at + answer.valid_for};
    }
}

void ticket_book::drop(std::string_view step, std::string_view executor)
{
    const auto known = this->steps.find(step);
    if (known == this->steps.end())
        return;
    const auto given = known->second.tickets.find(executor);
    if (given != known->second.tickets.end())
        known->second.tickets.erase(given);
}

std::optional<std::string_view> ticket_book::find(std::string_view step, std::string_view executor, boot_time now) const
{
    const auto known = this->steps.find(step);
    if (known == this->steps.end())
        return std::nullopt;
    const auto given = known->second.tickets.find(executor);
    if (given == known->second.tickets.end() || now + start_lead >= given->second.valid_until)
        return std::nullopt;
    return given->second.text;
}

bool ticket_book::is_turned_down(std::string_view step, std::string_view executor) const
{
    const auto known = this->steps.find(step);
    return known != this->steps.end() && known->second.turned_down.contains(executor);
}

void ticket_book::keep_only(const std::set<std::string, std::less<>>& wanted)
{
    std::erase_if(this->steps, [&wanted](const auto& entry) { return !wanted.contains(entry.first); });
}

} // namespace wigeon
