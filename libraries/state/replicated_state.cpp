// Applies the records of the log.

#include "state/replicated_state.h"

#include <algorithm>

#include "state/configuration.h"
#include "state/job_rules.h"

namespace wigeon {

namespace {

constexpr std::uint64_t expiry_interval_ms = 60'000;

void end_job(Job& job, JobState state, const std::string& reason, std::uint64_t time_ms)
{
    job.set_state(state);
    job.set_reason(reason);
    job.set_ended_at_ms(time_ms);
    // An ended job is kept so that its key stays known; the fields that only an active job needs are cleared.
    job.clear_placements();
    job.mutable_request()->clear_command();
}

[[noreturn]] void refuse_decision(const std::string& detail)
{
    throw error(error_kind::fenced, detail);
}

template <typename Table, typename Predicate>
void erase_expired(Table& table, Predicate is_expired)
{
    std::erase_if(table, [&](const auto& entry) { return is_expired(entry.second); });
}

// As above, and also removes each erased entry from the quota of the account that `read_account` returns.
template <typename Table, typename Predicate, typename Reader>
void erase_expired(Table& table, Predicate is_expired, account_quota& quota, Reader read_account)
{
    std::erase_if(table, [&](const auto& entry) {
        const bool is_erased = is_expired(entry.second);
        if (is_erased)
            quota.remove(read_account(entry.second));
        return is_erased;
    });
}

} // namespace

replicated_state::replicated_state(const SystemState& snapshot)
    : next(snapshot.next_offset()),
      log_time(snapshot.log_time_ms()),
      current_term(snapshot.term()),
      current_holder(snapshot.holder()),
      current_holder_address(snapshot.holder_address()),
      lease_ms(snapshot.term_lease_ms()),
      newest_renewal_offset(snapshot.renewal_offset()),
      accepted_jobs(snapshot.accepted_jobs()),
      current_configuration(snapshot.configuration())
{
    for (const AuthorState& author : snapshot.authors())
        this->authors.emplace(author.author(), author);
    for (const Job& job : snapshot.jobs()) {
        this->job_table.emplace(job.id(), job);
        this->job_quota.add(job.request().account());
    }
    for (const KeyState& key : snapshot.keys()) {
        this->keys.emplace(key_id(key.account(), key.key()), key);
        this->key_quota.add(key.account());
    }
    for (const ConfigurationVerdict& verdict : snapshot.verdicts())
        this->verdicts.emplace(record_id(verdict.author(), verdict.sequence()), verdict);
    for (const QuarantineState& quarantine : snapshot.quarantines())
        this->quarantine_of_worker.emplace(quarantine.worker(), quarantine);
    for (const BindingState& binding : snapshot.bindings())
        this->binding_of_account.emplace(binding.account(), binding);
}

SystemState replicated_state::make_snapshot() const
{
    SystemState snapshot;
    snapshot.set_next_offset(this->next);
    snapshot.set_log_time_ms(this->log_time);
    snapshot.set_term(this->current_term);
    snapshot.set_holder(this->current_holder);
    snapshot.set_holder_address(this->current_holder_address);
    snapshot.set_renewal_offset(this->newest_renewal_offset);
    snapshot.set_term_lease_ms(this->lease_ms);
    snapshot.set_accepted_jobs(this->accepted_jobs);
    *snapshot.mutable_configuration() = this->current_configuration;
    for (const auto& [id, author] : this->authors)
        *snapshot.add_authors() = author;
    for (const auto& [id, job] : this->job_table)
        *snapshot.add_jobs() = job;
    for (const auto& [id, key] : this->keys)
        *snapshot.add_keys() = key;
    for (const auto& [id, verdict] : this->verdicts)
        *snapshot.add_verdicts() = verdict;
    for (const auto& [id, quarantine] : this->quarantine_of_worker)
        *snapshot.add_quarantines() = quarantine;
    for (const auto& [id, binding] : this->binding_of_account)
        *snapshot.add_bindings() = binding;
    return snapshot;
}

void replicated_state::check_job_quota(std::string_view account) const
{
    if (!this->job_quota.may_add(this->current_configuration, account))
        throw error(error_kind::too_many_jobs, "account: '" + std::string(account) + "' keeps more than its share");
}

void replicated_state::check_key_quota(std::string_view account) const
{
    if (!this->key_quota.may_add(this->current_configuration, account))
        throw error(error_kind::too_many_keys, "account: '" + std::string(account) + "' keeps more than its share");
}

const Job* replicated_state::find_job(std::string_view id) const
{
    const auto found = this->job_table.find(id);
    return found == this->job_table.end() ? nullptr : &found->second;
}

const KeyState* replicated_state::find_key(const std::string& account, const std::string& key) const
{
    const auto found = this->keys.find(key_id(account, key));
    return found == this->keys.end() ? nullptr : &found->second;
}

const ConfigurationVerdict* replicated_state::find_verdict(std::uint64_t author, std::uint64_t sequence) const
{
    const auto found = this->verdicts.find(record_id(author, sequence));
    return found == this->verdicts.end() ? nullptr : &found->second;
}

std::uint64_t replicated_state::choose_record_time(std::uint64_t wall_clock_ms) const
{
    return std::max(wall_clock_ms, this->log_time);
}

apply_result replicated_state::apply(std::uint64_t offset, std::string_view serialized)
{
    if (offset != this->next)
        throw error(error_kind::state_gap, "the next record has offset " + std::to_string(offset) + " instead of " +
                                               std::to_string(this->next));
    this->next = offset + 1;
    apply_result result;
    Record record;
    if (!record.ParseFromArray(serialized.data(), static_cast<int>(serialized.size()))) {
        result.outcome = apply_outcome::refused;
        result.reason = error_kind::malformed_request;
        return result;
    }
    result.author = record.author();
    result.sequence = record.sequence();
    const auto known = this->authors.find(record.author());
    if (known != this->authors.end() && record.sequence() <= known->second.last_sequence()) {
        result.outcome = apply_outcome::duplicate;
        return result;
    }
    if (record.time_ms() + record_lifetime_ms < this->log_time) {
        result.outcome = apply_outcome::stale;
        return result;
    }
    this->advance_time(record.time_ms());
    AuthorState& author = this->authors[record.author()];
    author.set_author(record.author());
    author.set_last_sequence(record.sequence());
    author.set_last_time_ms(std::max(author.last_time_ms(), this->log_time));
    const bool affects_placement = record.has_configuration() || record.has_decisions() || record.has_submit() ||
                                   record.has_cancel() || record.has_claim();
    this->placement_change_count += affects_placement ? 1 : 0;
    try {
        this->apply_body(record, result);
    }
    catch (const error& refusal) {
        result.outcome = apply_outcome::refused;
        result.reason = refusal.kind();
        result.detail = refusal.what();
    }
    result.configuration_version = this->current_configuration.version();
    return result;
}

void replicated_state::apply_body(const Record& record, apply_result& result)
{
    switch (record.body_case()) {
    case Record::kConfiguration:
        this->apply_configuration(record, result);
        return;
    case Record::kClaim:
        this->apply_claim(record);
        return;
    case Record::kRenewal:
        this->apply_renewal(record);
        return;
    case Record::kDecisions:
        this->apply_decisions(record);
        return;
    case Record::kSubmit:
        this->apply_submit(record);
        return;
    case Record::kCancel:
        this->apply_cancel(record);
        return;
    case Record::kKey:
        this->apply_key(record);
        return;
    case Record::kVoidRecord:
        result.outcome = apply_outcome::voided;
        return;
    case Record::BODY_NOT_SET:
        break;
    }
    throw error(error_kind::malformed_request, "the record has no known body");
}

void replicated_state::apply_configuration(const Record& record, apply_result& result)
{
    ConfigurationVerdict& verdict = this->verdicts[record_id(record.author(), record.sequence())];
    verdict.set_author(record.author());
    verdict.set_sequence(record.sequence());
    verdict.set_time_ms(this->log_time);
    try {
        Configuration changed = apply_change(this->current_configuration, record.configuration());
        this->check_workers_in_use(changed);
        this->current_configuration = std::move(changed);
        verdict.set_is_accepted(true);
    }
    catch (const error& refusal) {
        verdict.set_reason(refusal.what());
        result.outcome = apply_outcome::refused;
        result.reason = refusal.kind();
        result.detail = refusal.what();
    }
    verdict.set_version(this->current_configuration.version());
}

// A worker under a placed job must stay configured: without its address, the tasks there could be neither renewed nor
// stopped.
void replicated_state::check_workers_in_use(const Configuration& changed) const
{
    std::map<std::string_view, std::string_view> addresses;
    for (const Worker& worker : changed.workers())
        addresses.emplace(worker.id(), worker.address());
    for (const auto& [id, job] : this->job_table) {
        if (!is_on_workers(job.state()))
            continue;
        for (const TaskPlacement& placement : job.placements()) {
            const auto found = addresses.find(placement.worker());
            if (found == addresses.end())
                throw error(error_kind::invalid_configuration, "workers: '" + placement.worker() + "' runs job '" + id +
                                                                   "'; drain it before it is removed");
        }
    }
}

void replicated_state::apply_claim(const Record& record)
{
    if (record.claim().term() != this->current_term + 1)
        throw error(error_kind::fenced, "term " + std::to_string(this->current_term) + " is in force");
    // A holder that renewed its term after the claimant read the state is alive. Without this check, on a slow log each
    // claim would depose a working holder.
    if (record.claim().renewal_offset() < this->newest_renewal_offset)
        throw error(error_kind::fenced, "the holder renewed its term after the claim was written");
    this->current_term = record.claim().term();
    this->current_holder = record.author();
    this->current_holder_address = record.claim().address();
    this->lease_ms = record.claim().lease_ms();
    this->newest_renewal_offset = this->next - 1;
}

void replicated_state::apply_renewal(const Record& record)
{
    if (record.renewal().term() != this->current_term || record.author() != this->current_holder)
        throw error(error_kind::fenced, "the term has another holder");
    this->newest_renewal_offset = this->next - 1;
    this->lease_ms = record.renewal().lease_ms();
}

void replicated_state::apply_submit(const Record& record)
{
    const JobRequest& request = record.submit();
    const std::string id = make_job_id(request);
    const auto found = this->job_table.find(id);
    if (found != this->job_table.end()) {
        JobRequest kept = found->second.request();
        // The command of an ended job has been cleared.
        if (is_ended(found->second.state()))
            kept.set_command(request.command());
        if (found->second.is_memory_raised())
            kept.set_memory_gigabytes_per_task(found->second.declared_memory_gigabytes());
        if (kept.SerializeAsString() != request.SerializeAsString())
            throw error(error_kind::key_conflict, "key: '" + request.key() + "' names a different job");
        return;
    }
    check_job_request(this->current_configuration, request);
    this->check_job_quota(request.account());
    this->job_quota.add(request.account());
    Job& job = this->job_table[id];
    job.set_id(id);
    *job.mutable_request() = request;
    job.set_state(JOB_ACCEPTED);
    job.set_accepted_at_ms(record.time_ms());
    job.set_acceptance(++this->accepted_jobs);
    job.set_configuration_version(this->current_configuration.version());
}

void replicated_state::apply_cancel(const Record& record)
{
    for (const std::string& id : record.cancel().jobs()) {
        const auto found = this->job_table.find(id);
        if (found == this->job_table.end() || is_ended(found->second.state()))
            continue;
        Job& job = found->second;
        if (job.state() == JOB_ACCEPTED)
            end_job(job, JOB_CANCELLED, "cancelled before it ran", record.time_ms());
        else
            job.set_is_cancel_requested(true);
    }
}

void replicated_state::apply_key(const Record& record)
{
    const KeyNote& note = record.key();
    const key_id id(note.account(), note.key());
    const auto found = this->keys.find(id);
    if (note.outcome() == KEY_TAKEN) {
        const bool is_free = found == this->keys.end() || found->second.outcome() == KEY_NOT_RUN;
        if (!is_free)
            throw error(error_kind::key_in_progress, "key: '" + note.key() + "' was taken before");
        if (found == this->keys.end()) {
            this->check_key_quota(note.account());
            this->key_quota.add(note.account());
        }
    }
    else if (found == this->keys.end() || found->second.author() != record.author()) {
        throw error(error_kind::key_conflict, "key: '" + note.key() + "' is not held by the author");
    }
    KeyState& state = this->keys[id];
    state.set_account(note.account());
    state.set_key(note.key());
    state.set_outcome(note.outcome());
    state.set_author(record.author());
    state.set_time_ms(this->log_time);
    state.set_status(note.status());
}

void replicated_state::apply_decisions(const Record& record)
{
    const Decisions& decisions = record.decisions();
    if (decisions.term() != this->current_term || record.author() != this->current_holder)
        throw error(error_kind::fenced, "the decisions are of term " + std::to_string(decisions.term()) + ", term " +
                                            std::to_string(this->current_term) + " is in force");
    for (const Decision& decision : decisions.decisions()) {
        try {
            this->apply_decision(decision, record);
        }
        catch (const error&) {
            // A decision that raced with a cancellation or a configuration change has no effect. The holder learns that
            // from the resulting state.
        }
    }
}

void replicated_state::apply_decision(const Decision& decision, const Record& record)
{
    switch (decision.decision_case()) {
    case Decision::kPlace:
        this->apply_place(decision.place(), record);
        return;
    case Decision::kRunning: {
        Job& job = this->find_current_attempt(decision.running().job(), decision.running().attempt());
        if (job.state() != JOB_PLACED)
            refuse_decision("the job is not placed");
        job.set_state(JOB_RUNNING);
        job.set_running_at_ms(record.time_ms());
        return;
    }
    case Decision::kStop:
        this->apply_stop(decision.stop());
        return;
    case Decision::kRequeue:
        this->apply_requeue(decision.requeue(), record);
        return;
    case Decision::kEnd:
        this->apply_end(decision.end(), record);
        return;
    case Decision::kQuarantine: {
        const QuarantineWorker& quarantine = decision.quarantine();
        if (quarantine.until_ms() == 0) {
            this->quarantine_of_worker.erase(quarantine.worker());
            return;
        }
        QuarantineState& state = this->quarantine_of_worker[quarantine.worker()];
        state.set_worker(quarantine.worker());
        state.set_until_ms(quarantine.until_ms());
        state.set_reason(quarantine.reason());
        return;
    }
    case Decision::kBind: {
        BindingState& state = this->binding_of_account[decision.bind().account()];
        state.set_account(decision.bind().account());
        *state.mutable_cells() = decision.bind().cells();
        state.set_unmet_cells(decision.bind().unmet_cells());
        return;
    }
    case Decision::DECISION_NOT_SET:
        return;
    }
}

Job& replicated_state::find_current_attempt(const std::string& id, std::uint32_t attempt)
{
    const auto found = this->job_table.find(id);
    if (found == this->job_table.end() || found->second.attempt() != attempt || is_ended(found->second.state()))
        refuse_decision("the attempt is not in force");
    return found->second;
}

void replicated_state::apply_place(const PlaceJob& place, const Record& record)
{
    const auto found = this->job_table.find(place.job());
    if (found == this->job_table.end() || found->second.state() != JOB_ACCEPTED)
        refuse_decision("the job does not wait");
    Job& job = found->second;
    if (place.attempt() != job.attempt() + 1)
        refuse_decision("the attempt is out of order");
    job.set_state(JOB_PLACED);
    job.set_attempt(place.attempt());
    *job.mutable_placements() = place.placements();
    job.set_is_borrowing(place.is_borrowing());
    job.set_placed_at_ms(record.time_ms());
    job.set_configuration_version(record.decisions().configuration_version());
    job.clear_reason();
}

void replicated_state::apply_stop(const StopJob& stop)
{
    Job& job = this->find_current_attempt(stop.job(), stop.attempt());
    if (job.state() != JOB_PLACED && job.state() != JOB_RUNNING)
        refuse_decision("the job is not on workers");
    job.set_state(JOB_STOPPING);
    job.set_reason(stop.reason());
    const std::uint32_t declared = job.request().memory_gigabytes_per_task();
    if (stop.used_memory_gigabytes() <= declared)
        return;
    if (!job.is_memory_raised())
        job.set_declared_memory_gigabytes(declared);
    job.set_is_memory_raised(true);
    job.mutable_request()->set_memory_gigabytes_per_task(stop.used_memory_gigabytes());
}

void replicated_state::apply_requeue(const RequeueJob& requeue, const Record& record)
{
    Job& job = this->find_current_attempt(requeue.job(), requeue.attempt());
    if (!is_on_workers(job.state()))
        refuse_decision("the job is not on workers");
    if (requeue.is_own_failure())
        job.set_failures(job.failures() + 1);
    if (!requeue.failed_worker().empty())
        job.add_failed_workers(requeue.failed_worker());
    if (job.is_cancel_requested()) {
        end_job(job, JOB_CANCELLED, "cancelled", record.time_ms());
        return;
    }
    job.set_state(JOB_ACCEPTED);
    job.clear_placements();
    job.set_is_borrowing(false);
    job.set_reason(requeue.reason());
}

void replicated_state::apply_end(const EndJob& end, const Record& record)
{
    Job& job = this->find_current_attempt(end.job(), end.attempt());
    if (!is_ended(end.state()))
        refuse_decision("the state does not end a job");
    end_job(job, end.state(), end.reason(), record.time_ms());
}

void replicated_state::advance_time(std::uint64_t record_time_ms)
{
    const std::uint64_t before = this->log_time;
    if (before == 0)
        this->log_time = record_time_ms;
    else
        this->log_time = std::max(before, std::min(record_time_ms, before + clock_step_limit_ms));
    if (before / expiry_interval_ms != this->log_time / expiry_interval_ms)
        this->remove_expired();
}

void replicated_state::remove_expired()
{
    const std::uint64_t now = this->log_time;
    erase_expired(this->authors, [now](const AuthorState& a) { return a.last_time_ms() + author_lifetime_ms < now; });
    erase_expired(
        this->keys, [now](const KeyState& k) { return k.time_ms() + key_lifetime_ms < now; }, this->key_quota,
        [](const KeyState& k) { return k.account(); });
    erase_expired(this->verdicts,
                  [now](const ConfigurationVerdict& v) { return v.time_ms() + verdict_lifetime_ms < now; });
    erase_expired(
        this->job_table,
        [now](const Job& job) { return is_ended(job.state()) && job.ended_at_ms() + job_lifetime_ms < now; },
        this->job_quota, [](const Job& job) { return job.request().account(); });
    erase_expired(this->quarantine_of_worker, [now](const QuarantineState& q) { return q.until_ms() < now; });
}

} // namespace wigeon
