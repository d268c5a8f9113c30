// A round of decisions: slots are built from the book, waiting steps are sorted, placed, or given room.

#include "dispatch/dispatcher.h"

#include <algorithm>
#include <limits>

#include "jobs/job_table.h"

namespace wigeon {

namespace {

// Bounds one append; the store takes 2 MB a call, and no record comes near the other half.
constexpr std::size_t append_byte_limit = 1'000'000;

// Work that could run somewhere waits at most this long for executors that are better for it; within the users' 3 s.
constexpr milliseconds overdue_wait{2'000};

// Standing still is judged over seconds.
constexpr milliseconds move_interval{250};

} // namespace

dispatcher::dispatcher(const dispatch_bounds& limits, boot_time leading_since)
    : bounds(limits),
      book(limits.longest_lease, leading_since),
      ledger(book, limits.stop_time),
      room(ledger, slots, work, events)
{
}

void dispatcher::set_policy(const fleet_policy& changed)
{
    this->policy = changed;
    for (auto& [id, job] : this->ledger.jobs()) {
        // A queue that was taken away keeps the terms under which its jobs were accepted.
        if (const queue_policy* queue = this->policy.find_queue_by_name(job.submission.queue()))
            job.policy = *queue;
    }
}

void dispatcher::add_job(const std::string& id, const records::Submission& submission,
                         const records::JobProgress& progress, std::uint64_t wall_ms, boot_time now)
{
    if (this->ledger.find(id) != nullptr)
        return;
    queue_policy terms;
    if (const queue_policy* queue = this->policy.find_queue_by_name(submission.queue()))
        terms = *queue;
    // After a change of leader the age of a job is known by the wall clock only, which may have jumped.
    constexpr std::int64_t longest_age_ms = 120'000;
    const std::int64_t age_ms =
        std::clamp<std::int64_t>(static_cast<std::int64_t>(wall_ms) - submission.submitted_ms(), 0, longest_age_ms);
    job_run& job = this->ledger.add(id, submission, terms, progress, now);
    job.arrived = now - milliseconds(age_ms);
}

void dispatcher::cancel_job(std::string_view id, boot_time now)
{
    this->ledger.cancel(id, now);
}

void dispatcher::update_executor(const executor_entry& entry, boot_time now)
{
    const executor* known = this->book.find(entry.id);
    const bool is_reborn = this->book.update(entry, now);
    if (known == nullptr)
        this->book.find(entry.id)->used = this->ledger.sum_used(entry.id);
    if (known != nullptr && is_reborn)
        this->ledger.resolve_lost(entry.id, entry.born_ms, now);
}

void dispatcher::remove_executor(std::string_view id, boot_time now)
{
    this->book.remove(id, now);
}

void dispatcher::take_look(std::string_view executor_id, const look_report& report, boot_time sent_at, boot_time now)
{
    executor* source = this->book.find(executor_id);
    if (source == nullptr)
        return;
    // An executor that does not say when it was born is taken as the life that the directory lists.
    if (report.born_ms != 0 && report.born_ms < source->entry.born_ms) {
        this->events.add("look_of_former_life", {}, std::string(executor_id));
        return;
    }
    if (report.born_ms > source->entry.born_ms) {
        executor_entry reborn = source->entry;
        reborn.born_ms = report.born_ms;
        this->update_executor(reborn, now);
        this->events.add("executor_reborn", {}, std::string(executor_id));
    }
    this->ledger.take_look(*source, report, sent_at, now);
}

void dispatcher::take_start_answer(const start_order& order, start_answer answer, boot_time now)
{
    if (answer == start_answer::refused_ticket) {
        const job_run* job = this->ledger.find(order.target.job);
        if (job != nullptr && order.target.unit < job->units.size())
            this->advice.drop_ticket(make_step_name(*job, job->units[order.target.unit]), order.executor);
    }
    this->ledger.take_start_answer(order.target, answer, now);
}

void dispatcher::take_stop_answer(const stop_order& order, bool is_acknowledged, boot_time now)
{
    if (!order.target.job.empty())
        this->ledger.take_stop_answer(order.target, is_acknowledged, now);
}

placement_need dispatcher::make_need(const job_run& job, const unit& part, boot_time now)
{
    const records::Step& step = job.step_of(part);
    placement_need need;
    need.pool = job.policy.pool;
    need.each = find_need(step);
    need.count = part.task_count;
    need.same_rack = step.same_rack();
    need.required_label = step.required_label();
    need.data_rack = step.data_rack();
    // Elsewhere the work takes several times as long; waiting for as long as the work itself costs less.
    need.may_leave_data_rack = now - part.waiting_since > milliseconds(step.estimate_ms());
    need.per_executor = step.tasks_per_executor();
    need.is_filling = step.filling();
    need.is_serving = step.tail_target_ms() > 0;
    return need;
}

// Room only shrinks within a round, so that what did not fit before does not fit in a larger size either.
bool dispatcher::is_known_not_to_fit(const placement_need& need) const
{
    return std::any_of(this->failed_needs.begin(), this->failed_needs.end(), [&need](const placement_need& failed) {
        return failed.pool == need.pool && failed.same_rack == need.same_rack &&
               failed.required_label == need.required_label && failed.data_rack == need.data_rack &&
               failed.may_leave_data_rack == need.may_leave_data_rack && failed.is_filling == need.is_filling &&
               failed.is_serving == need.is_serving && failed.count <= need.count && failed.each.fits_in(need.each);
    });
}

// Runs slowly over several racks, or where it failed before, rather than not at all.
std::optional<std::vector<std::size_t>> dispatcher::find_any_places(placement_need need,
                                                                    count_on_executor present) const
{
    need.same_rack = false;
    need.may_leave_data_rack = true;
    return find_places(need, this->slots.copy_without_doubts(), present);
}

std::optional<std::vector<std::string>> dispatcher::place_unit(const waiting_step& waiting, std::uint32_t unit_row,
                                                               boot_time now)
{
    job_run& job = *waiting.job;
    unit& part = job.units[unit_row];
    const placement_need need = make_need(job, part, now);
    const std::vector<std::uint32_t> present = this->slots.count_present(job, part);
    this->advice.mark_permitted(this->slots, job, part, now);
    this->slots.mark_avoided(part, need);
    auto places = this->is_known_not_to_fit(need) ? std::nullopt : find_places(need, this->slots.all(), present);
    // It waits for executors that are good for it though much of the fleet is idle.
    if (!places && now - part.waiting_since >= overdue_wait && this->slots.is_mostly_idle())
        places = this->find_any_places(need, present);
    if (!places) {
        this->advice.request(this->slots, job, part, need, waiting.rank <= work_rank::urgent);
        if (part.failed_on.empty() && need.per_executor == 0 && !job.policy.advice)
            this->failed_needs.push_back(need);
        this->room.make_room(waiting, unit_row, need, present, now);
        return std::nullopt;
    }
    std::vector<std::string> executors;
    for (const std::size_t row : *places) {
        this->slots.take(row, need);
        executors.emplace_back(this->slots.all()[row].executor);
    }
    this->ledger.place(job, unit_row, executors, now);
    if (job.policy.advice) {
        for (placed_task& task : part.members)
            task.ticket = this->advice.find_ticket(make_step_name(job, part), task.executor, now);
    }
    return executors;
}

// Places the step's waiting units in order, as long as they fit.
void dispatcher::place_step(const waiting_step& waiting, boot_time now)
{
    const std::vector<std::uint32_t> units = waiting.job->steps[waiting.step_row].waiting;
    const milliseconds waited = now - waiting.job->units[units.front()].waiting_since;
    std::string executors;
    std::size_t placed = 0;
    std::uint32_t highest_run = 0;
    for (const std::uint32_t unit_row : units) {
        const auto chosen = this->place_unit(waiting, unit_row, now);
        if (!chosen)
            break;
        highest_run = std::max(highest_run, waiting.job->units[unit_row].run);
        placed += chosen->size();
        for (const std::string& id : *chosen)
            executors += id + " ";
    }
    if (placed == 0)
        return;
    const records::Step& step =
        waiting.job->submission.steps(static_cast<int>(waiting.job->steps[waiting.step_row].step));
    this->events.add("placed", waiting.job->id,
                     "rank=" + std::string(to_string(waiting.rank)) +
                         " step=" + std::to_string(waiting.job->steps[waiting.step_row].step) +
                         " run=" + std::to_string(highest_run) + " tasks=" + std::to_string(placed) + " waited_ms=" +
                         std::to_string(waited.count()) + " slack_ms=" + std::to_string(waiting.slack.count()) +
                         " estimate_ms=" + std::to_string(step.estimate_ms()) + " on=" + executors);
}

// Stops units that stand still, so that they are placed elsewhere.
void dispatcher::move_stuck_units(boot_time now)
{
    for (auto& [id, job] : this->ledger.jobs()) {
        if (is_final(job.phase) || job.unresolved == 0)
            continue;
        for (unit& part : job.units) {
            if (!part.is_done && !part.members.empty() && !job.step_of(part).lasting())
                this->move_if_stuck(job, part, now);
        }
    }
}

void dispatcher::move_if_stuck(job_run& job, unit& part, boot_time now)
{
    std::uint32_t lowest = std::numeric_limits<std::uint32_t>::max();
    for (const placed_task& task : part.members) {
        // Without all its members a gang does not move.
        if (task.phase != member_phase::running || task.is_stop_wanted)
            return;
        lowest = std::min(lowest, task.progress.percent);
    }
    for (const placed_task& task : part.members) {
        executor* host = this->book.find(task.executor);
        if (host == nullptr || !host->last_look_sent || task.progress.percent > lowest)
            continue;
        if (!is_standing_still(task.progress, *host->last_look_sent, now))
            continue;
        host->health.note_bad_progress(now);
        part.failed_on.insert(task.executor);
        this->events.add("stopped_standing_still", job.id,
                         "executor=" + task.executor + " run=" + std::to_string(part.run) +
                             " percent=" + std::to_string(task.progress.percent) +
                             " running_ms=" + std::to_string((now - part.placed_at).count()));
        this->ledger.stop_unit(job, part, now);
        return;
    }
}

void dispatcher::decide(std::uint64_t wall_ms, boot_time now)
{
    this->ledger.resolve_lapsed(now);
    for (auto& [id, job] : this->ledger.jobs())
        this->ledger.open_due_occurrences(job, wall_ms, now);
    if (!this->moved_at || now - *this->moved_at >= move_interval) {
        this->moved_at = now;
        this->move_stuck_units(now);
    }
    this->work.count_demand(this->ledger, this->policy);
    this->slots.build(this->book, this->bounds.look_age, now);
    this->slots.note_sharing(this->ledger);
    this->failed_needs.clear();
    this->advice.begin_round();
    this->room.begin_round();
    for (const waiting_step& waiting : this->work.list(this->ledger, now))
        this->place_step(waiting, now);
}

dispatch_changes dispatcher::collect_changes()
{
    dispatch_changes changes;
    std::size_t bytes = 0;
    bool is_whole = true;
    for (auto& [id, job] : this->ledger.jobs()) {
        if (!job.is_changed)
            continue;
        if (bytes > append_byte_limit) {
            is_whole = false;
            break;
        }
        changes.records.push_back({id, job.make_record()});
        bytes += changes.records.back().progress.ByteSizeLong();
        job.collect_planned_starts(changes.starts);
        job.is_changed = false;
    }
    // An end may have changed a job whose record has to wait.
    if (!is_whole)
        return changes;
    for (const auto& [id, host] : this->book.all()) {
        if (host.last_end_seen > host.last_end_noted)
            changes.ends.push_back({id, host.entry.born_ms, host.last_end_seen});
    }
    return changes;
}

std::vector<start_order> dispatcher::confirm_changes(const dispatch_changes& changes, boot_time now)
{
    for (const dispatch_changes::noted_ends& noted : changes.ends) {
        executor* host = this->book.find(noted.executor);
        if (host != nullptr && host->entry.born_ms == noted.born_ms)
            host->last_end_noted = std::max(host->last_end_noted, noted.last_end);
    }
    std::vector<start_order> wanted;
    for (const start_order& order : changes.starts) {
        if (this->ledger.release(order.target, now))
            wanted.push_back(order);
    }
    this->ledger.drop_settled();
    return wanted;
}

} // namespace wigeon
