// A round of decisions: slots are built from the book, waiting steps are sorted, placed, or given room.

#include "dispatch/dispatcher.h"

#include <algorithm>
#include <limits>

#include "jobs/job_table.h"

namespace wigeon {

namespace {

// A job is of some use until this many times its objective has passed, as the users' contract has it.
constexpr int last_use_factor = 3;

// Between the hand-in and the first work, and between the last work and the state that callers see: two appends to the
// store and two calls, 20 ms each.
constexpr milliseconds path_time{150};

// A reservation made by stopping others holds this long: the stop (at most 900 ms on the users' sites), the look that
// shows the end, and one round.
constexpr milliseconds reservation_time{1'500};

// Bounds one append; the store takes 2 MB a call, and no record comes near the other half.
constexpr std::size_t append_byte_limit = 1'000'000;

// Work that could run somewhere waits at most this long for executors that are better for it; within the users' 3 s.
constexpr milliseconds overdue_wait{2'000};

// A unit that got no room is not planned for again before this time; urgent work has some hundred milliseconds to
// spare.
constexpr milliseconds make_room_pause{40};

// Standing still is judged over seconds.
constexpr milliseconds move_interval{250};

// Wide units for which executors are kept free in one round; more would idle too much of the fleet.
constexpr std::size_t reservation_limit = 2;

// A unit of regular or background work gets executors kept free after it has waited this long.
constexpr milliseconds reservation_wait{2'500};

// What a stop costs beside the work since the last checkpoint: the caller's wait, in core-seconds of an 8-accelerator
// task.
constexpr double stop_base_cost = 5.0;

// Urgent work beyond its account's guarantee throws away at most this share of what it does itself.
constexpr double most_lost_work = 1.0;

// Work that a checkpointing task loses at a stop, in seconds: its restore.
constexpr double checkpoint_loss_s = 0.2;

std::string_view find_name(work_rank rank)
{
    switch (rank) {
    case work_rank::guaranteed_urgent:
        return "guaranteed";
    case work_rank::urgent:
        return "urgent";
    case work_rank::regular:
        return "regular";
    case work_rank::background:
        return "background";
    }
    return "unknown";
}

std::int64_t count_accelerators(const records::Submission& submission)
{
    std::int64_t sum = 0;
    for (const records::Step& step : submission.steps())
        sum += static_cast<std::int64_t>(step.accelerators()) * std::max(1U, step.count());
    return sum;
}

double to_seconds(milliseconds time)
{
    constexpr double milliseconds_per_second = 1000.0;
    return static_cast<double>(time.count()) / milliseconds_per_second;
}

} // namespace

dispatcher::dispatcher(const dispatch_bounds& limits, boot_time leading_since)
    : bounds(limits), book(limits.longest_lease, leading_since), ledger(book, limits.stop_time)
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
    if (report.born_ms < source->entry.born_ms)
        return;
    if (report.born_ms > source->entry.born_ms) {
        executor_entry reborn = source->entry;
        reborn.born_ms = report.born_ms;
        this->update_executor(reborn, now);
        this->add_event("executor_reborn", {}, std::string(executor_id));
    }
    this->ledger.take_look(*source, report, sent_at, now);
}

void dispatcher::take_start_answer(const start_order& order, start_answer answer, boot_time now)
{
    this->ledger.take_start_answer(order.target, answer, now);
}

void dispatcher::take_stop_answer(const stop_order& order, bool is_acknowledged, boot_time now)
{
    if (!order.target.job.empty())
        this->ledger.take_stop_answer(order.target, is_acknowledged, now);
}

void dispatcher::add_event(std::string name, std::string job, std::string detail)
{
    this->events.push_back({std::move(name), std::move(job), std::move(detail)});
}

std::vector<dispatch_event> dispatcher::take_events()
{
    return std::exchange(this->events, {});
}

void dispatcher::build_slots(boot_time now)
{
    std::size_t distrusted = 0;
    this->pool_accelerators = 0;
    this->slots.clear();
    this->slot_rows.clear();
    for (const auto& [id, host] : this->book.all()) {
        const bool is_fresh = host.last_look_sent && now - *host.last_look_sent <= this->bounds.look_age;
        if (!host.is_listed || host.entry.is_draining || !host.is_reached || !is_fresh)
            continue;
        slot place;
        place.executor = id;
        place.pool = host.entry.pool;
        place.rack = host.entry.rack;
        place.labels = host.entry.labels;
        place.room = host.entry.room;
        place.free = host.free_room();
        place.is_distrusted = host.health.is_distrusted(now);
        distrusted += place.is_distrusted ? 1 : 0;
        this->pool_accelerators += place.room.accelerators;
        this->slot_rows[place.executor] = this->slots.size();
        this->slots.push_back(place);
    }
    if (is_distrust_plausible(distrusted, this->slots.size()))
        return;
    for (slot& place : this->slots)
        place.is_distrusted = false;
}

milliseconds dispatcher::find_chain(const job_run& job, bool is_whole) const
{
    // Steps wait for earlier ones only, so one pass finds the longest chain of what is not done.
    std::vector<std::int64_t> chain(static_cast<std::size_t>(job.submission.steps_size()), 0);
    std::int64_t longest = 0;
    for (int row = 0; row < job.submission.steps_size(); ++row) {
        const records::Step& step = job.submission.steps(row);
        std::int64_t before = 0;
        for (const std::uint32_t earlier : step.after()) {
            if (earlier < chain.size())
                before = std::max(before, chain[earlier]);
        }
        const bool is_done = !is_whole && std::any_of(job.steps.begin(), job.steps.end(), [row](const step_run& made) {
            return made.step == static_cast<std::uint32_t>(row) && made.units_left == 0;
        });
        chain[static_cast<std::size_t>(row)] = before + (is_done ? 0 : step.estimate_ms());
        longest = std::max(longest, chain[static_cast<std::size_t>(row)]);
    }
    return milliseconds(longest);
}

job_prospect dispatcher::find_prospect(const job_run& job, boot_time now) const
{
    static_cast<void>(now);
    const auto whole = static_cast<double>(this->find_chain(job, true).count());
    job_prospect prospect;
    prospect.rank = this->find_rank(job);
    prospect.arrived = job.arrived;
    prospect.chain = this->find_chain(job, false) + path_time;
    const auto allowed = milliseconds(static_cast<std::int64_t>(job.policy.stretch * whole)) + job.policy.target;
    prospect.objective = job.arrived + allowed;
    prospect.last_use = job.arrived + last_use_factor * allowed;
    return prospect;
}

void dispatcher::count_urgent_demand()
{
    this->urgent_demand.clear();
    for (const auto& [id, job] : this->ledger.jobs()) {
        if (job.policy.priority == 0 && !is_final(job.phase))
            this->urgent_demand[job.submission.account()] += count_accelerators(job.submission);
    }
}

work_rank dispatcher::find_rank(const job_run& job) const
{
    if (job.policy.priority == 1)
        return work_rank::regular;
    if (job.policy.priority > 1)
        return work_rank::background;
    const account_policy* account = this->policy.find_account(job.submission.account());
    const auto demand = this->urgent_demand.find(job.submission.account());
    const bool is_guaranteed =
        account != nullptr && demand != this->urgent_demand.end() && demand->second <= account->guaranteed_accelerators;
    return is_guaranteed ? work_rank::guaranteed_urgent : work_rank::urgent;
}

std::vector<dispatcher::waiting_step> dispatcher::list_waiting(boot_time now)
{
    std::vector<waiting_step> waiting;
    for (auto& [id, job] : this->ledger.jobs()) {
        if (is_final(job.phase))
            continue;
        std::optional<order_key> key;
        bool is_job_in_time = false;
        milliseconds slack{0};
        for (std::uint32_t row = 0; row < job.steps.size(); ++row) {
            const step_run& step = job.steps[row];
            if (step.waiting.empty())
                continue;
            if (!key) {
                const job_prospect prospect = this->find_prospect(job, now);
                key = find_order(prospect, now);
                is_job_in_time = is_in_time(prospect, now);
                slack = prospect.objective - now - prospect.chain;
            }
            waiting.push_back({&job, row, this->find_rank(job), *key, is_job_in_time, slack});
        }
    }
    std::sort(waiting.begin(), waiting.end(), [](const waiting_step& left, const waiting_step& right) {
        return std::tie(left.key, left.job->id, left.step_row) < std::tie(right.key, right.job->id, right.step_row);
    });
    return waiting;
}

std::vector<std::uint32_t> dispatcher::count_present(const job_run& job, const unit& part) const
{
    if (job.step_of(part).tasks_per_executor() == 0)
        return {};
    std::vector<std::uint32_t> present(this->slots.size(), 0);
    for (const unit& other : job.units) {
        if (other.step_run != part.step_run)
            continue;
        for (const placed_task& task : other.members) {
            const auto row = this->slot_rows.find(task.executor);
            if (task.phase != member_phase::resolved && row != this->slot_rows.end())
                ++present[row->second];
        }
    }
    return present;
}

// Marks the executors on which the unit failed, unless it could not run without them.
void dispatcher::avoid_failed(const unit& part, const placement_need& need)
{
    for (slot& place : this->slots)
        place.is_avoided = !part.failed_on.empty() && part.failed_on.contains(place.executor);
    if (part.failed_on.empty() || could_ever_fit(need, this->slots))
        return;
    for (slot& place : this->slots)
        place.is_avoided = false;
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
    return need;
}

// Room only shrinks within a round, so that what did not fit before does not fit in a larger size either.
bool dispatcher::is_known_not_to_fit(const placement_need& need) const
{
    return std::any_of(this->failed_needs.begin(), this->failed_needs.end(), [&need](const placement_need& failed) {
        return failed.pool == need.pool && failed.same_rack == need.same_rack &&
               failed.required_label == need.required_label && failed.data_rack == need.data_rack &&
               failed.may_leave_data_rack == need.may_leave_data_rack && failed.count <= need.count &&
               failed.each.fits_in(need.each);
    });
}

// Whether the unit waits for executors that are good for it though half of the fleet is idle.
bool dispatcher::is_overdue(const unit& part, boot_time now) const
{
    if (now - part.waiting_since < overdue_wait)
        return false;
    std::int64_t free = 0;
    for (const slot& place : this->slots)
        free += std::max<std::int64_t>(place.free.accelerators, 0);
    return free * 2 > this->pool_accelerators;
}

// Runs slowly over several racks, or where it failed before, rather than not at all.
std::optional<std::vector<std::size_t>> dispatcher::find_any_places(placement_need need,
                                                                    count_on_executor present) const
{
    need.same_rack = false;
    need.may_leave_data_rack = true;
    std::vector<slot> all = this->slots;
    for (slot& place : all) {
        place.is_avoided = false;
        place.is_distrusted = false;
    }
    return find_places(need, all, present);
}

std::optional<std::vector<std::string>> dispatcher::place_unit(const waiting_step& waiting, std::uint32_t unit_row,
                                                               boot_time now)
{
    job_run& job = *waiting.job;
    unit& part = job.units[unit_row];
    const placement_need need = make_need(job, part, now);
    const std::vector<std::uint32_t> present = this->count_present(job, part);
    this->avoid_failed(part, need);
    auto places = this->is_known_not_to_fit(need) ? std::nullopt : find_places(need, this->slots, present);
    if (!places && this->is_overdue(part, now))
        places = this->find_any_places(need, present);
    if (!places) {
        if (part.failed_on.empty() && need.per_executor == 0)
            this->failed_needs.push_back(need);
        this->make_room(waiting, unit_row, need, present, now);
        return std::nullopt;
    }
    std::vector<std::string> executors;
    for (const std::size_t row : *places) {
        this->slots[row].free -= need.each;
        executors.emplace_back(this->slots[row].executor);
    }
    this->ledger.place(job, unit_row, executors, now);
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
    this->add_event("placed", waiting.job->id,
                    "rank=" + std::string(find_name(waiting.rank)) +
                        " step=" + std::to_string(waiting.job->steps[waiting.step_row].step) +
                        " run=" + std::to_string(highest_run) + " tasks=" + std::to_string(placed) + " waited_ms=" +
                        std::to_string(waited.count()) + " slack_ms=" + std::to_string(waiting.slack.count()) +
                        " estimate_ms=" + std::to_string(step.estimate_ms()) + " on=" + executors);
}

void dispatcher::keep_reservation(const unit& part, const resources& each)
{
    for (const std::string& id : part.reserved_on) {
        const auto row = this->slot_rows.find(id);
        if (row != this->slot_rows.end())
            this->slots[row->second].free -= each;
    }
}

// All running units that less urgent work may ever be stopped for, with what a stop would lose.
void dispatcher::list_stoppable(boot_time now)
{
    this->stoppable.clear();
    this->running_units.clear();
    for (auto& [id, job] : this->ledger.jobs()) {
        const work_rank rank = this->find_rank(job);
        if (rank == work_rank::guaranteed_urgent || job.unresolved == 0)
            continue;
        for (unit& part : job.units) {
            const records::Step& step = job.step_of(part);
            if (part.members.empty() || part.is_done || step.lasting())
                continue;
            running_unit owner{&job, &part, rank, step.checkpointing(), false};
            stoppable_unit candidate;
            candidate.each = find_need(step);
            for (const placed_task& task : part.members) {
                const auto row = this->slot_rows.find(task.executor);
                owner.is_stopping = owner.is_stopping || task.is_stop_wanted;
                if (row != this->slot_rows.end() && task.phase != member_phase::resolved)
                    candidate.rows.push_back(row->second);
            }
            const double elapsed = to_seconds(now - part.placed_at);
            const double lost = step.checkpointing() ? std::min(elapsed, checkpoint_loss_s) : elapsed;
            const double cores = measure_cores(candidate.each) * static_cast<double>(part.members.size());
            candidate.cost = owner.is_stopping ? 0 : stop_base_cost + lost * cores;
            this->stoppable.push_back(std::move(candidate));
            this->running_units.push_back(owner);
        }
    }
    this->planner.emplace(this->slots, this->stoppable);
}

// Stops others for urgent work, or keeps executors free for work that has waited long.
void dispatcher::make_room(const waiting_step& waiting, std::uint32_t unit_row, const placement_need& need,
                           std::span<const std::uint32_t> present, boot_time now)
{
    job_run& job = *waiting.job;
    unit& part = job.units[unit_row];
    if (!part.reserved_on.empty() && now - part.reserved_at < reservation_time) {
        this->keep_reservation(part, need.each);
        return;
    }
    part.reserved_on.clear();
    const bool is_urgent = waiting.rank <= work_rank::urgent;
    if (!is_urgent && (this->reservations >= reservation_limit || now - job.arrived < reservation_wait))
        return;
    if (part.room_tried_at && now - *part.room_tried_at < make_room_pause)
        return;
    part.room_tried_at = now;
    // Work without checkpoints is stopped only for a guarantee, or for urgent work that it brings in time.
    const bool may_lose_work =
        waiting.rank == work_rank::guaranteed_urgent || (waiting.rank == work_rank::urgent && waiting.is_in_time);
    if (!this->planner)
        this->list_stoppable(now);
    for (std::size_t row = 0; row < this->stoppable.size(); ++row) {
        const running_unit& owner = this->running_units[row];
        this->stoppable[row].is_allowed = owner.rank > waiting.rank && (may_lose_work || owner.is_checkpointing);
    }
    const auto plan = this->planner->plan(need, present);
    if (!plan) {
        if (is_urgent)
            this->add_event("no_room", job.id, "rank=" + std::string(find_name(waiting.rank)));
        return;
    }
    const double own_work = measure_cores(need.each) * static_cast<double>(need.count) *
                            to_seconds(milliseconds(job.step_of(part).estimate_ms()));
    if (waiting.rank == work_rank::urgent && plan->cost > own_work * most_lost_work) {
        this->add_event("stops_not_worth_it", job.id,
                        "lost=" + std::to_string(plan->cost) + " own=" + std::to_string(own_work));
        return;
    }
    std::size_t stopped = 0;
    for (const std::size_t victim : plan->victims) {
        running_unit& owner = this->running_units[victim];
        if (owner.is_stopping)
            continue;
        ++stopped;
        this->add_event("stopped_for", owner.job->id,
                        "for=" + job.id + " rank=" + std::string(find_name(waiting.rank)) + " run=" +
                            std::to_string(owner.part->run) + " lost=" + std::to_string(this->stoppable[victim].cost));
        this->ledger.stop_unit(*owner.job, *owner.part, now);
    }
    // The list holds pointers to what has just changed.
    if (stopped > 0)
        this->planner.reset();
    for (const std::size_t row : plan->places)
        part.reserved_on.emplace_back(this->slots[row].executor);
    part.reserved_at = now;
    this->keep_reservation(part, need.each);
    if (!is_urgent)
        ++this->reservations;
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
        this->add_event("stopped_standing_still", job.id,
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
    this->count_urgent_demand();
    this->build_slots(now);
    this->reservations = 0;
    this->failed_needs.clear();
    this->planner.reset();
    for (const waiting_step& waiting : this->list_waiting(now))
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
        changes.records.push_back({id, run_ledger::make_record(job)});
        bytes += changes.records.back().progress.ByteSizeLong();
        this->ledger.collect_planned_starts(job, changes.starts);
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
