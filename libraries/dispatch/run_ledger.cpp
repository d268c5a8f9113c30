// Transitions of members, units and jobs.

#include "dispatch/run_ledger.h"

#include <algorithm>
#include <utility>

#include "jobs/job_table.h"

namespace wigeon {

namespace {

// A stop that was not acknowledged is sent again after this time: several times within the time for cancellations.
constexpr milliseconds stop_retry_pause{400};

// Lets what an executor wrote last reach a look.
constexpr milliseconds stop_margin{50};

bool is_wanted(const job_run& job)
{
    return !is_final(job.phase);
}

} // namespace

run_ledger::run_ledger(executor_book& executors, milliseconds stop_takes) : book(executors), stop_time(stop_takes) {}

job_run* run_ledger::find(std::string_view id)
{
    const auto found = this->runs.find(id);
    return found == this->runs.end() ? nullptr : &found->second;
}

job_run& run_ledger::add(const std::string& id, const records::Submission& submission, const queue_policy& policy,
                         const records::JobProgress& progress, boot_time now)
{
    const auto [place, is_new] = this->runs.try_emplace(id);
    job_run& job = place->second;
    if (!is_new)
        return job;
    job.id = id;
    job.submission = submission;
    job.policy = policy;
    job.arrived = now;
    job.phase = progress.phase();
    std::uint32_t occurrences = submission.occurrences() == 0 ? 1 : 0;
    for (const records::UnitProgress& saved : progress.units())
        occurrences = std::max(occurrences, saved.occurrence() + 1);
    for (std::uint32_t occurrence = 0; occurrence < occurrences; ++occurrence)
        job.add_occurrence(occurrence, now);
    for (const records::UnitProgress& saved : progress.units())
        this->adopt_unit(job, saved, progress, now);
    for (std::uint32_t occurrence = 0; occurrence < occurrences; ++occurrence)
        job.open_steps(occurrence, now);
    if (!is_wanted(job)) {
        for (unit& part : job.units)
            this->stop_unit(job, part, now);
    }
    return job;
}

void run_ledger::open_due_occurrences(job_run& job, std::uint64_t wall_ms, boot_time now)
{
    if (!is_wanted(job))
        return;
    while (job.occurrences_made < job.occurrence_count()) {
        const std::int64_t due = job.submission.first_due_ms() +
                                 static_cast<std::int64_t>(job.occurrences_made) * job.submission.interval_ms();
        if (static_cast<std::int64_t>(wall_ms) < due)
            return;
        const std::uint32_t occurrence = job.occurrences_made;
        job.add_occurrence(occurrence, now);
        job.open_steps(occurrence, now);
    }
}

void run_ledger::adopt_unit(job_run& job, const records::UnitProgress& saved, const records::JobProgress& progress,
                            boot_time now)
{
    std::uint32_t member_index = 0;
    unit* part = job.find_unit({saved.occurrence(), saved.step(), saved.first_task()}, member_index);
    if (part == nullptr)
        return;
    part->run = saved.run();
    part->placed_at = now; // When it was, is not recorded; its work is taken as new.
    part->failures = saved.failures();
    part->counted_run = saved.counted_run();
    part->checkpoint = saved.checkpoint();
    if (saved.done()) {
        part->is_done = true;
        --job.steps[part->step_run].units_left;
    }
    if (saved.placed_on_size() != static_cast<int>(part->task_count))
        return;
    const auto unit_row = job.row_of(*part);
    const resources need = find_need(job.step_of(*part));
    for (const std::uint32_t row : saved.placed_on()) {
        placed_task task;
        if (static_cast<int>(row) < progress.executors_size()) {
            task.executor = progress.executors(static_cast<int>(row)).id();
            task.born_ms = progress.executors(static_cast<int>(row)).born_ms();
        }
        task.phase = member_phase::in_doubt;
        const auto index = static_cast<std::uint32_t>(part->members.size());
        this->index_member({job.id, unit_row, index, part->run}, task.executor);
        if (executor* host = this->book.find(task.executor))
            host->used += need;
        ++job.unresolved;
        part->members.push_back(std::move(task));
    }
}

void run_ledger::index_member(const member_reference& target, const std::string& executor_id)
{
    this->by_executor[executor_id].push_back(target);
}

placed_task* run_ledger::find_member(const member_reference& target, job_run*& job, unit*& part)
{
    job = this->find(target.job);
    if (job == nullptr || target.unit >= job->units.size())
        return nullptr;
    part = &job->units[target.unit];
    if (part->run != target.run || target.member >= part->members.size())
        return nullptr;
    return &part->members[target.member];
}

void run_ledger::place(job_run& job, std::uint32_t unit_row, std::span<const std::string> executors, boot_time now)
{
    unit& part = job.units[unit_row];
    ++part.run;
    part.placed_at = now;
    part.reserved_on.clear();
    part.room_tried_at.reset();
    std::erase(job.steps[part.step_run].waiting, unit_row);
    const resources need = find_need(job.step_of(part));
    for (const std::string& id : executors) {
        executor* host = this->book.find(id);
        host->used += need;
        placed_task task;
        task.executor = id;
        task.born_ms = host->entry.born_ms;
        this->index_member({job.id, unit_row, static_cast<std::uint32_t>(part.members.size()), part.run}, id);
        ++job.unresolved;
        part.members.push_back(std::move(task));
    }
    if (job.phase == records::JOB_PHASE_QUEUED)
        job.phase = records::JOB_PHASE_RUNNING;
    job.is_changed = true;
}

void run_ledger::stop_unit(job_run& job, unit& part, boot_time now)
{
    for (std::size_t row = 0; row < part.members.size(); ++row) {
        this->want_stop(job, part, part.members[row], now);
        // Settled when the last member was resolved.
        if (part.members.empty())
            return;
    }
}

void run_ledger::want_stop(job_run& job, unit& part, placed_task& task, boot_time now)
{
    if (task.phase == member_phase::resolved)
        return;
    task.is_stop_wanted = true;
    if (task.phase == member_phase::planned)
        this->resolve(job, part, task, now);
}

bool run_ledger::release(const member_reference& target, boot_time now)
{
    job_run* job = nullptr;
    unit* part = nullptr;
    placed_task* task = this->find_member(target, job, part);
    if (task == nullptr || task->phase != member_phase::planned)
        return false;
    task->phase = member_phase::ordered;
    task->confirmed_at = now;
    return true;
}

void run_ledger::take_start_answer(const member_reference& target, start_answer answer, boot_time now)
{
    job_run* job = nullptr;
    unit* part = nullptr;
    placed_task* task = this->find_member(target, job, part);
    if (task == nullptr || task->phase == member_phase::resolved)
        return;
    switch (answer) {
    case start_answer::accepted:
        if (task->phase == member_phase::ordered)
            task->phase = member_phase::running;
        task->confirmed_at = now;
        return;
    case start_answer::refused:
    case start_answer::refused_for_room:
    case start_answer::refused_ticket:
        if (task->phase == member_phase::ordered)
            this->resolve(*job, *part, *task, now);
        return;
    case start_answer::unknown:
        task->phase = member_phase::in_doubt;
        task->confirmed_at = now;
        this->stop_unit(*job, *part, now);
        return;
    }
}

void run_ledger::take_stop_answer(const member_reference& target, bool is_acknowledged, boot_time now)
{
    job_run* job = nullptr;
    unit* part = nullptr;
    placed_task* task = this->find_member(target, job, part);
    if (task == nullptr)
        return;
    task->is_stop_on_way = false;
    if (is_acknowledged && !task->stopped_at)
        task->stopped_at = now;
}

bool run_ledger::awaits_denial(const member_reference& target)
{
    job_run* job = nullptr;
    unit* part = nullptr;
    const placed_task* task = this->find_member(target, job, part);
    return task != nullptr && task->phase != member_phase::resolved && task->stopped_at.has_value();
}

// Frees the member's room. The unit settles when it was the last one; the other members of a gang have to end too.
void run_ledger::resolve(job_run& job, unit& part, placed_task& task, boot_time now)
{
    if (task.phase == member_phase::resolved)
        return;
    task.phase = member_phase::resolved;
    --job.unresolved;
    if (executor* host = this->book.find(task.executor))
        host->used -= find_need(job.step_of(part));
    const auto unit_row = job.row_of(part);
    const auto member_row = static_cast<std::uint32_t>(&task - part.members.data());
    const auto indexed = this->by_executor.find(task.executor);
    if (indexed != this->by_executor.end()) {
        std::erase_if(indexed->second, [&](const member_reference& other) {
            return other.job == job.id && other.unit == unit_row && other.member == member_row;
        });
    }
    const bool is_settled = std::all_of(part.members.begin(), part.members.end(),
                                        [](const placed_task& other) { return other.phase == member_phase::resolved; });
    if (is_settled) {
        this->settle(job, part, now);
        return;
    }
    if (!part.is_done) {
        for (std::size_t row = 0; row < part.members.size(); ++row) {
            this->want_stop(job, part, part.members[row], now);
            if (part.members.empty())
                return;
        }
    }
}

void run_ledger::settle(job_run& job, unit& part, boot_time now)
{
    part.members.clear();
    job.is_changed = true;
    if (part.is_done || !is_wanted(job))
        return;
    part.waiting_since = now;
    job.steps[part.step_run].waiting.push_back(job.row_of(part));
}

void run_ledger::finish_unit(job_run& job, unit& part, boot_time now)
{
    if (part.is_done)
        return;
    part.is_done = true;
    job.is_changed = true;
    step_run& step = job.steps[part.step_run];
    std::erase(step.waiting, job.row_of(part));
    if (--step.units_left > 0)
        return;
    job.open_steps(step.occurrence, now);
    const bool is_complete =
        job.occurrences_made >= job.occurrence_count() &&
        std::all_of(job.steps.begin(), job.steps.end(), [](const step_run& other) { return other.units_left == 0; });
    if (is_complete && is_wanted(job))
        this->end_job(job, records::JOB_PHASE_COMPLETED, now);
}

void run_ledger::end_job(job_run& job, records::JobPhase phase, boot_time now)
{
    job.phase = phase;
    job.is_changed = true;
    for (step_run& step : job.steps)
        step.waiting.clear();
    for (unit& part : job.units) {
        if (!part.is_done)
            this->stop_unit(job, part, now);
    }
}

void run_ledger::cancel(std::string_view id, boot_time now)
{
    job_run* job = this->find(id);
    if (job != nullptr && is_wanted(*job))
        this->end_job(*job, records::JOB_PHASE_CANCELLED, now);
}

void run_ledger::note_failure(job_run& job, unit& part, executor& source, boot_time now)
{
    if (part.counted_run == part.run || part.is_done)
        return;
    part.counted_run = part.run;
    part.failed_on.insert(source.entry.id);
    job.is_changed = true;
    if (job.step_of(part).lasting())
        return;
    ++part.failures;
    if (part.failures >= job.policy.max_attempts && is_wanted(job))
        this->end_job(job, records::JOB_PHASE_FAILED, now);
}

void run_ledger::take_end(executor& source, const ended_task& ended, boot_time now)
{
    const auto name = parse_task_name(ended.task);
    if (!name)
        return;
    job_run* job = this->find(name->job);
    if (job == nullptr)
        return;
    std::uint32_t member_index = 0;
    unit* part = job->find_unit(name->place, member_index);
    if (part == nullptr)
        return;
    const bool is_lasting = job->step_of(*part).lasting();
    if (ended.ending == run_ending::done && !is_lasting) {
        source.health.note_success();
        const bool was_done = part->is_done;
        this->finish_unit(*job, *part, now);
        // An earlier run may turn out to be done only now.
        if (!was_done && ended.run != part->run)
            this->stop_unit(*job, *part, now);
    }
    if (ended.run != part->run || member_index >= part->members.size())
        return;
    placed_task& task = part->members[member_index];
    if (task.executor != source.entry.id || task.phase == member_phase::resolved)
        return;
    if (!ended.checkpoint.empty() && ended.ending != run_ending::done)
        part->checkpoint = ended.checkpoint;
    if (ended.ending == run_ending::failed) {
        source.health.note_failure(now - part->placed_at, milliseconds(job->step_of(*part).estimate_ms()), now);
        this->note_failure(*job, *part, source, now);
    }
    if (!part->members.empty())
        this->resolve(*job, *part, part->members[member_index], now);
}

std::optional<member_reference> run_ledger::take_running(const executor& source, const running_task& shown,
                                                         std::uint64_t born_ms, boot_time sent_at, boot_time now)
{
    const auto name = parse_task_name(shown.task);
    job_run* job = name ? this->find(name->job) : nullptr;
    std::uint32_t member_index = 0;
    unit* part = job != nullptr ? job->find_unit(name->place, member_index) : nullptr;
    const bool is_known = part != nullptr && part->run == shown.run && member_index < part->members.size() &&
                          part->members[member_index].executor == source.entry.id &&
                          part->members[member_index].phase != member_phase::resolved;
    if (!is_known) {
        // A stop of a run that has ended in the meantime does no harm.
        stop_order stray{{}, source.entry.id, shown.task};
        stray.target.run = shown.run;
        this->stray_stops.push_back(std::move(stray));
        return std::nullopt;
    }
    placed_task& task = part->members[member_index];
    task.born_ms = born_ms;
    task.is_seen = true;
    task.progress.note(shown.percent, now);
    if (task.phase != member_phase::planned)
        task.phase = member_phase::running;
    task.confirmed_at = std::max(task.confirmed_at, sent_at);
    if (!shown.checkpoint.empty())
        part->checkpoint = shown.checkpoint;
    const member_reference shown_member{job->id, job->row_of(*part), member_index, shown.run};
    if (!is_wanted(*job))
        this->want_stop(*job, *part, task, now);
    return shown_member;
}

void run_ledger::take_look(executor& source, const look_report& report, boot_time sent_at, boot_time now)
{
    for (const ended_task& ended : report.ended) {
        if (ended.number > source.last_end_seen)
            this->take_end(source, ended, now);
    }
    std::vector<member_reference> running;
    for (const running_task& shown : report.running) {
        auto known = this->take_running(source, shown, report.born_ms, sent_at, now);
        if (known)
            running.push_back(std::move(*known));
    }
    this->book.take_report(source, report, sent_at, now);

    const auto indexed = this->by_executor.find(source.entry.id);
    if (indexed == this->by_executor.end())
        return;
    const std::vector<member_reference> expected = indexed->second;
    for (const member_reference& target : expected) {
        job_run* job = nullptr;
        unit* part = nullptr;
        placed_task* task = this->find_member(target, job, part);
        if (task == nullptr || task->phase == member_phase::planned || task->phase == member_phase::resolved)
            continue;
        const bool is_shown = std::find(running.begin(), running.end(), target) != running.end();
        if (is_shown || task->phase == member_phase::ordered)
            continue;
        // Neither running nor ended. A stop shuts out orders that are still on their way.
        if (task->stopped_at && sent_at > *task->stopped_at + this->stop_time + stop_margin)
            this->resolve(*job, *part, *task, now);
        else if (sent_at > task->confirmed_at)
            this->stop_unit(*job, *part, now);
    }
}

void run_ledger::resolve_lost(std::string_view executor_id, std::uint64_t born_before_ms, boot_time now)
{
    const auto indexed = this->by_executor.find(executor_id);
    if (indexed == this->by_executor.end())
        return;
    const std::vector<member_reference> lost = indexed->second;
    for (const member_reference& target : lost) {
        job_run* job = nullptr;
        unit* part = nullptr;
        placed_task* task = this->find_member(target, job, part);
        if (task == nullptr || task->born_ms >= born_before_ms)
            continue;
        if (task->is_seen) {
            this->resolve(*job, *part, *task, now);
            continue;
        }
        // The order may have reached the new life, or reach it yet: its answer or a look will tell. A stop that the
        // former life acknowledged is forgotten.
        task->born_ms = born_before_ms;
        task->stopped_at.reset();
        task->stop_tried_at.reset();
    }
}

void run_ledger::resolve_lapsed(boot_time now)
{
    std::vector<std::string> lapsed;
    for (const auto& [id, members] : this->by_executor) {
        if (members.empty())
            continue;
        const executor* host = this->book.find(id);
        if (host == nullptr) {
            executor unknown;
            unknown.is_listed = false;
            if (now > this->book.find_lapse(unknown))
                lapsed.push_back(id);
            continue;
        }
        if (now > this->book.find_lapse(*host))
            lapsed.push_back(id);
    }
    for (const std::string& id : lapsed) {
        const std::vector<member_reference> members = this->by_executor[id];
        for (const member_reference& target : members) {
            job_run* job = nullptr;
            unit* part = nullptr;
            placed_task* task = this->find_member(target, job, part);
            if (task != nullptr && task->phase != member_phase::planned && task->phase != member_phase::ordered)
                this->resolve(*job, *part, *task, now);
        }
    }
}

std::vector<stop_order> run_ledger::collect_stops(boot_time now)
{
    std::vector<stop_order> orders = std::move(this->stray_stops);
    this->stray_stops.clear();
    for (const auto& [executor_id, members] : this->by_executor) {
        for (const member_reference& target : members) {
            job_run* job = nullptr;
            unit* part = nullptr;
            placed_task* task = this->find_member(target, job, part);
            if (task == nullptr || !task->is_stop_wanted || task->is_stop_on_way || task->stopped_at)
                continue;
            if (task->phase == member_phase::planned || task->phase == member_phase::resolved)
                continue;
            if (task->stop_tried_at && now - *task->stop_tried_at < stop_retry_pause)
                continue;
            task->is_stop_on_way = true;
            task->stop_tried_at = now;
            const step_run& step = job->steps[part->step_run];
            orders.push_back({target, executor_id,
                              make_task_name(job->id, {step.occurrence, step.step, part->first_task + target.member})});
        }
    }
    return orders;
}

void run_ledger::drop_settled()
{
    std::erase_if(this->runs, [](const auto& entry) {
        const job_run& job = entry.second;
        return is_final(job.phase) && !job.is_changed && job.unresolved == 0;
    });
}

bool run_ledger::has_members_on(std::string_view executor_id) const
{
    const auto indexed = this->by_executor.find(executor_id);
    return indexed != this->by_executor.end() && !indexed->second.empty();
}

resources run_ledger::sum_used(std::string_view executor_id) const
{
    resources used;
    for (const member_reference& target : this->members_on(executor_id)) {
        const job_run& job = this->runs.find(target.job)->second;
        used += find_need(job.step_of(job.units[target.unit]));
    }
    return used;
}

std::span<const member_reference> run_ledger::members_on(std::string_view executor_id) const
{
    const auto indexed = this->by_executor.find(executor_id);
    if (indexed == this->by_executor.end())
        return {};
    return indexed->second;
}

} // namespace wigeon
