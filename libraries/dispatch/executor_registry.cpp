// Tracks the incarnations, clocks and leases of executors.

#include "dispatch/executor_registry.h"

#include <algorithm>

namespace wigeon {

namespace {

// An executor is gone if its entry is still missing this long after the store has become available again.
constexpr milliseconds directory_lag{2'000};

// An executor that had run for less than this when the term began may have been unknown to the former leader: followers
// claim after 1.6 s of silence, and a leader reads the directory twice a second or more, unless the store is slow.
constexpr milliseconds max_directory_age{5'000};

// Time between the expiry of a lease and the end of its tasks; clock drift is added separately.
constexpr milliseconds lease_expiry_margin{250};

} // namespace

std::string_view to_string(run_outcome outcome)
{
    switch (outcome) {
    case run_outcome::done:
        return "done";
    case run_outcome::failed:
        return "failed";
    case run_outcome::stopped:
        return "stopped";
    case run_outcome::lapsed:
        return "lapsed";
    case run_outcome::partner_lost:
        return "partner_lost";
    case run_outcome::left_alone:
        return "left_alone";
    }
    return "unknown";
}

std::string_view to_string(lease_basis basis)
{
    switch (basis) {
    case lease_basis::own_renewals:
        return "own_renewals";
    case lease_basis::former_leader_at_work:
        return "former_leader_at_work";
    case lease_basis::former_leader_cut_off:
        return "former_leader_cut_off";
    case lease_basis::former_leader_record:
        return "former_leader_record";
    }
    return "unknown";
}

executor_registry::executor_registry(milliseconds max_lease_duration, boot_time since)
    : max_lease(max_lease_duration), leading_since(since)
{
}

bool executor_registry::update(const executor_entry& entry, boot_time now)
{
    const auto [inserted, is_new] = this->executors.try_emplace(entry.id);
    executor& target = inserted->second;
    target.is_listed = true;
    target.unlisted_since.reset();
    const bool is_new_incarnation = !is_new && entry.incarnation_ms > target.entry.incarnation_ms;
    if (is_new || entry.incarnation_ms >= target.entry.incarnation_ms)
        target.entry = entry;
    if (is_new_incarnation) {
        target.is_reached = false;
        target.last_poll_sent_at.reset();
        target.unanswered_since.reset();
        target.clock_read_at.reset();
        target.former_deadline = std::max(target.former_deadline, target.latest_deadline);
        target.latest_deadline = milliseconds(0);
        target.last_end_recorded = 0;
        target.last_end_seen = 0;
        target.health = {};
        target.restarted_at = now;
    }
    return is_new_incarnation;
}

void executor_registry::remove(std::string_view id, boot_time now)
{
    executor* target = this->find(id);
    if (target == nullptr || !target->is_listed)
        return;
    target->is_listed = false;
    target->unlisted_since = now;
}

executor* executor_registry::find(std::string_view id)
{
    const auto found = this->executors.find(id);
    return found == this->executors.end() ? nullptr : &found->second;
}

const executor* executor_registry::find(std::string_view id) const
{
    const auto found = this->executors.find(id);
    return found == this->executors.end() ? nullptr : &found->second;
}

milliseconds executor_registry::extend_lease(executor& target, boot_time now)
{
    // The executor read its clock before the answer arrived, so this estimate is not ahead of that clock, and the lease
    // is never too long. A drift of the clock is covered by find_lease_expiry.
    const milliseconds passed = now - target.clock_read_at.value_or(now);
    const milliseconds deadline = target.clock + passed + this->max_lease;
    target.latest_deadline = std::max(target.latest_deadline, deadline);
    return target.latest_deadline;
}

bool executor_registry::is_majority_reachable(boot_time now) const
{
    std::size_t listed = 0;
    std::size_t reachable = 0;
    for (const auto& [id, target] : this->executors) {
        if (!target.is_listed)
            continue;
        ++listed;
        if (target.last_poll_sent_at && now - *target.last_poll_sent_at <= max_reachability_age)
            ++reachable;
    }
    return reachable * 2 > listed || listed == 0;
}

void executor_registry::observe_reached(std::size_t unknown_count, boot_time now)
{
    if (this->half_reached_at)
        return;
    struct place {
        const executor* newest = nullptr;
        bool is_long_known = false;
    };
    std::map<std::string_view, place> places;
    for (const auto& [id, target] : this->executors) {
        place& found = places[target.entry.address.empty() ? id : target.entry.address];
        if (found.newest == nullptr || found.newest->entry.incarnation_ms < target.entry.incarnation_ms)
            found.newest = &target;
        found.is_long_known = found.is_long_known || !this->has_joined_lately(target);
    }
    std::size_t whole = unknown_count;
    std::size_t reached = 0;
    std::size_t newcomers = 0;
    for (const auto& [address, known] : places) {
        if (!known.is_long_known) {
            ++newcomers;
            continue;
        }
        ++whole;
        reached += known.newest->is_reached ? 1 : 0;
    }
    // A former leader may have read of newcomers after its last heartbeat.
    const bool is_half =
        this->former_executors > 0 && reached * 2 >= std::max(whole, this->former_executors) + newcomers;
    if (is_half || reached * 2 > std::max(whole, this->former_executors))
        this->half_reached_at = now;
}

std::size_t executor_registry::count_for_record() const
{
    const auto listed = static_cast<std::size_t>(std::count_if(
        this->executors.begin(), this->executors.end(), [](const auto& entry) { return entry.second.is_listed; }));
    if (this->half_reached_at)
        return listed;
    return this->former_executors > 0 ? std::max(listed, this->former_executors) : 0;
}

// Whether the executor started so late that a former leader may not know it. Its clock starts with it.
bool executor_registry::has_joined_lately(const executor& target) const
{
    if (!target.clock_read_at || target.restarted_at)
        return false;
    return target.clock - (*target.clock_read_at - this->leading_since) < max_directory_age;
}

lease_expiry executor_registry::find_lease_expiry(const executor& target) const
{
    if (!target.clock_read_at)
        return this->find_former_lease_expiry(target);
    const milliseconds left = std::max(target.latest_deadline - target.clock, milliseconds(0));
    boot_time end = *target.clock_read_at + add_clock_drift(left);
    if (target.former_orders_until) {
        // The executor limits a lease that is longer on its own clock than a leader gives.
        const milliseconds former_left = std::max(target.former_deadline - target.clock, milliseconds(0));
        end = std::max(end, std::min(*target.clock_read_at + add_clock_drift(former_left),
                                     *target.former_orders_until + add_clock_drift(this->max_lease)));
    }
    return {end + lease_expiry_margin, lease_basis::own_renewals};
}

void executor_registry::add_former_leases(const lease_record& record, boot_time read_at)
{
    this->former_executors = record.executors;
    for (const suspended_lease& lease : record.suspended)
        this->recorded_leases.insert_or_assign(
            lease.executor, former_lease{lease.address, lease.incarnation_ms, read_at + add_clock_drift(lease.left)});
}

// Of an executor that has never answered this leader.
lease_expiry executor_registry::find_former_lease_expiry(const executor& target) const
{
    const lease_expiry unrecorded = this->find_unrecorded_lease_expiry(target);
    const auto recorded = this->recorded_leases.find(target.entry.id);
    if (recorded == this->recorded_leases.end() || recorded->second.incarnation_ms != target.entry.incarnation_ms ||
        recorded->second.ends_at >= unrecorded.at)
        return unrecorded;
    return {recorded->second.ends_at, lease_basis::former_leader_record};
}

lease_expiry executor_registry::find_unrecorded_lease_expiry(const executor& target) const
{
    const milliseconds lease = add_clock_drift(this->max_lease) + lease_expiry_margin;
    // Until the restart became known, orders for the former incarnation may have reached the new one.
    const boot_time known_since = target.restarted_at.value_or(this->leading_since);
    // An executor may be cut off from the store together with a former leader, which renews its leases as long as it
    // may.
    if (!this->half_reached_at)
        return {known_since + add_clock_drift(max_unconfirmed_leadership) + lease, lease_basis::former_leader_at_work};
    boot_time last_renewal = std::max(*this->half_reached_at, known_since) + add_clock_drift(max_reachability_age);
    if (!target.is_listed)
        last_renewal = std::max(last_renewal, target.unlisted_since.value_or(this->leading_since) + directory_lag);
    return {last_renewal + lease, lease_basis::former_leader_cut_off};
}

lease_expiry executor_registry::find_lease_expiry(std::string_view id) const
{
    if (const executor* target = this->find(id))
        return this->find_lease_expiry(*target);
    executor unknown;
    unknown.entry.id = id;
    unknown.is_listed = false;
    if (const auto recorded = this->recorded_leases.find(id); recorded != this->recorded_leases.end())
        unknown.entry.incarnation_ms = recorded->second.incarnation_ms;
    return this->find_lease_expiry(unknown);
}

bool executor_registry::is_silent(std::string_view id, boot_time now) const
{
    const executor* target = this->find(id);
    if (target != nullptr && target->last_poll_sent_at)
        return false;
    const bool was_reached = target != nullptr && target->is_reached;
    return now - (was_reached ? target->unanswered_since.value_or(now) : this->leading_since) >= min_silence;
}

bool executor_registry::is_replaced(std::string_view id) const
{
    if (const executor* target = this->find(id))
        return this->is_replaced(*target);
    const auto recorded = this->recorded_leases.find(id);
    return recorded != this->recorded_leases.end() &&
           this->is_replaced(id, recorded->second.address, recorded->second.incarnation_ms);
}

bool executor_registry::is_replaced(const executor& target) const
{
    return this->is_replaced(target.entry.id, target.entry.address, target.entry.incarnation_ms);
}

bool executor_registry::is_replaced(std::string_view id, std::string_view address, std::uint64_t incarnation_ms) const
{
    if (address.empty() || incarnation_ms == 0)
        return false;
    const auto last = this->last_answers.find(address);
    return last != this->last_answers.end() && last->second.id != id && last->second.incarnation_ms > incarnation_ms;
}

void executor_registry::expect_former_orders(executor& target, boot_time now)
{
    target.former_orders_until = now + max_late_execution;
}

void executor_registry::handle_no_answer(executor& target, boot_time now)
{
    target.last_poll_sent_at.reset();
    if (!target.unanswered_since)
        target.unanswered_since = now;
}

void executor_registry::apply_poll_report(executor& target, const poll_report& report, boot_time sent_at, boot_time now)
{
    // A former leader may have renewed the leases just before this poll.
    if (!target.is_reached)
        target.latest_deadline = std::max(target.latest_deadline, report.clock + this->max_lease);
    target.is_reached = true;
    target.unanswered_since.reset();
    if (!target.last_poll_sent_at || *target.last_poll_sent_at < sent_at)
        target.last_poll_sent_at = sent_at;
    process& last = this->last_answers[target.entry.address];
    if (last.id.empty() || last.poll_sent_at <= sent_at)
        last = {target.entry.id, target.entry.incarnation_ms, sent_at};
    // Answers may arrive out of order. The executor's clock never runs backwards, so a lower reading is older.
    if (!target.clock_read_at || report.clock >= target.clock) {
        target.clock = report.clock;
        target.clock_read_at = now;
    }
    for (const ended_task& ended : report.ended)
        target.last_end_seen = std::max(target.last_end_seen, ended.sequence);
}

} // namespace wigeon
