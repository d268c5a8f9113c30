// Questions to a queue's advisor, and who may run what by its answers.

#include "dispatch/advice_desk.h"

#include <algorithm>
#include <utility>

namespace wigeon {

namespace {

// Executors named in one question. The advisor takes at most 100; each costs its time, and the users reckon with 30.
constexpr std::size_t usual_question = 30;
constexpr std::size_t longest_question = 100;

// Before a question that had no answer, or that the advisor was too busy for, is put again.
constexpr milliseconds failure_pause{100};

} // namespace

std::string make_step_name(const job_run& job, const unit& part)
{
    const step_run& step = job.steps[part.step_run];
    return job.id + "." + std::to_string(step.occurrence) + "." + std::to_string(step.step);
}

void advice_desk::begin_round()
{
    // Steps that no longer wait need no tickets. While a question is under way the last round's steps are kept with it.
    if (!this->is_asking)
        this->tickets.keep_only(this->wanted_steps);
    this->wanted_steps.clear();
    this->next.reset();
}

void advice_desk::mark_permitted(slot_table& slots, const job_run& job, const unit& part, boot_time now)
{
    if (!job.policy.advice) {
        slots.permit_all();
        return;
    }
    const std::string step = make_step_name(job, part);
    slots.permit_if([&](std::string_view executor) { return this->tickets.find(step, executor, now).has_value(); });
    this->wanted_steps.insert(step);
}

void advice_desk::request(const slot_table& slots, const job_run& job, const unit& part, const placement_need& need,
                          bool may_stop_others)
{
    if (this->next || this->is_asking || !job.policy.advice)
        return;
    advice_question question;
    question.step = make_step_name(job, part);
    std::vector<const slot*> candidates = this->list_candidates(slots, question.step, need, false);
    if (candidates.empty() && may_stop_others)
        candidates = this->list_candidates(slots, question.step, need, true);
    if (candidates.empty())
        return;
    std::stable_sort(candidates.begin(), candidates.end(), [](const slot* left, const slot* right) {
        return left->free.accelerators > right->free.accelerators;
    });
    const std::size_t waiting = job.steps[part.step_run].waiting.size() * part.task_count;
    candidates.resize(std::min(candidates.size(), std::clamp(waiting, usual_question, longest_question)));
    for (const slot* place : candidates)
        question.executors.emplace_back(place->executor);
    question.longest_answer = job.policy.advice->decision_time +
                              job.policy.advice->time_each * static_cast<std::int64_t>(question.executors.size());
    this->next = std::move(question);
}

std::vector<const slot*> advice_desk::list_candidates(const slot_table& slots, std::string_view step,
                                                      const placement_need& need, bool may_be_full) const
{
    std::vector<const slot*> candidates;
    for (const slot& place : slots.all()) {
        if (place.is_permitted || this->tickets.is_turned_down(step, place.executor))
            continue;
        slot permitted = place;
        permitted.is_permitted = true;
        if (is_eligible(need, permitted) && need.each.fits_in(may_be_full ? place.room : place.free))
            candidates.push_back(&place);
    }
    return candidates;
}

std::optional<advice_question> advice_desk::take_question(boot_time now)
{
    if (!this->next || this->is_asking || (this->failed_at && now - *this->failed_at < failure_pause))
        return std::nullopt;
    this->is_asking = true;
    return std::exchange(this->next, std::nullopt);
}

void advice_desk::take_answer(const advice_question& question, const std::optional<advice_answer>& answer,
                              boot_time sent_at, boot_time now)
{
    this->is_asking = false;
    this->failed_at.reset();
    if (answer)
        this->tickets.take_answer(question, *answer, sent_at);
    else
        this->failed_at = now;
    // Kept at least until the next round has seen it.
    this->wanted_steps.insert(question.step);
}

std::string advice_desk::find_ticket(const std::string& step, std::string_view executor, boot_time now) const
{
    return std::string(this->tickets.find(step, executor, now).value_or(std::string_view()));
}

} // namespace wigeon
