// Applies records to the job table and selects the records that have expired.

#include "jobs/job_table.h"

#include <algorithm>
#include <utility>

#include "jobs/job_keys.h"

namespace wigeon {

namespace {

// After this time no running process still holds a removed submission. Processes read the submissions and the progress
// one after the other, each every 500 ms, and page through both when they start; a process that takes longer than this
// to read both has been restarted.
constexpr milliseconds removal_propagation_limit{60'000};

} // namespace

bool is_final(records::JobPhase phase)
{
    return phase == records::JOB_PHASE_COMPLETED || phase == records::JOB_PHASE_FAILED ||
           phase == records::JOB_PHASE_CANCELLED;
}

bool early_cancellation::applies_to(std::string_view account) const
{
    const auto& accounts = this->content.accounts();
    return accounts.empty() || account.empty() ||
           std::any_of(accounts.begin(), accounts.end(),
                       [account](const std::string& own) { return own.empty() || own == account; });
}

bool job_entry::is_final() const
{
    return wigeon::is_final(this->progress.phase());
}

bool job_entry::has_placed_units() const
{
    const auto& units = this->progress.units();
    return std::any_of(units.begin(), units.end(),
                       [](const records::UnitProgress& unit) { return unit.placed_on_size() > 0; });
}

job_entry& job_table::find_or_create(std::string_view job, boot_time now)
{
    const auto found = this->jobs.find(job);
    if (found != this->jobs.end())
        return found->second;
    job_entry& added = this->jobs[std::string(job)];
    added.first_seen = now;
    return added;
}

bool job_table::apply_submission_record(const keyed_record& record, boot_time now)
{
    const auto cancelled = parse_cancel_key(record.key);
    const std::string_view job = cancelled ? *cancelled : std::string_view(record.key);
    if (!record.value && cancelled) {
        // The cancellation of a known submission is dropped with its job.
        this->early_cancellations.erase(std::string(job));
        return true;
    }
    if (!record.value) {
        const auto found = this->jobs.find(job);
        if (found != this->jobs.end() && found->second.submission) {
            found->second.submission.reset();
            found->second.submission_removed_since = now;
        }
        return true;
    }
    if (cancelled) {
        this->apply_cancellation(job, *record.value, now);
        return true;
    }
    records::Submission submission;
    if (!submission.ParseFromString(*record.value))
        return false;
    job_entry& entry = this->find_or_create(job, now);
    if (!entry.submission)
        entry.submission = std::move(submission);
    entry.submission_removed_since.reset();
    const auto cancellation = this->early_cancellations.find(job);
    if (cancellation != this->early_cancellations.end() &&
        cancellation->second.applies_to(entry.submission->account())) {
        entry.is_cancel_requested = true;
        this->early_cancellations.erase(cancellation);
    }
    return true;
}

// The store may hold the cancellation before the submission, since a submission whose append got no answer can take
// effect later.
void job_table::apply_cancellation(std::string_view job, const std::string& value, boot_time now)
{
    early_cancellation cancellation;
    if (!cancellation.content.ParseFromString(value))
        cancellation.content.Clear();
    cancellation.read_at = now;
    const auto found = this->jobs.find(job);
    const bool is_known = found != this->jobs.end() && found->second.submission;
    if (is_known && cancellation.applies_to(found->second.submission->account()))
        found->second.is_cancel_requested = true;
    else
        this->early_cancellations.insert_or_assign(std::string(job), std::move(cancellation));
}

bool job_table::apply_progress_record(const keyed_record& record, boot_time now)
{
    if (record.key == leader_key)
        return true;
    if (!record.value) {
        this->remove_progress(record.key);
        return true;
    }
    records::JobProgress progress;
    if (!progress.ParseFromString(*record.value))
        return false;
    this->set_progress(record.key, std::move(progress), now);
    return true;
}

bool job_table::apply_state_record(const keyed_record& record, boot_time now)
{
    if (!record.value) {
        this->remove_progress(record.key);
        return true;
    }
    records::JobState job_state;
    if (!job_state.ParseFromString(*record.value))
        return false;
    records::JobProgress progress;
    progress.set_phase(job_state.phase());
    this->set_progress(record.key, std::move(progress), now);
    return true;
}

// The entry stays while its submission is known here: the submission's tombstone has not been read yet.
void job_table::remove_progress(std::string_view job)
{
    const auto found = this->jobs.find(job);
    if (found != this->jobs.end() && !found->second.submission)
        this->jobs.erase(found);
}

void job_table::set_progress(std::string_view job, records::JobProgress progress, boot_time now)
{
    job_entry& entry = this->find_or_create(job, now);
    // A node that stops leading reads its own records again. A final phase is not overwritten by an earlier one.
    if (entry.is_final() && !is_final(progress.phase()))
        return;
    entry.has_started = entry.has_started || progress.phase() != records::JOB_PHASE_QUEUED;
    entry.progress = std::move(progress);
    if (entry.is_final() && !entry.final_since)
        entry.final_since = now;
    // A process that has not read the submission takes this moment as the time of its removal.
    if (entry.is_final() && !entry.submission && !entry.submission_removed_since)
        entry.submission_removed_since = now;
}

std::vector<keyed_record> job_table::list_expired_submissions(milliseconds retention, std::size_t limit,
                                                              boot_time now) const
{
    std::vector<keyed_record> removals;
    for (const auto& [id, job] : this->jobs) {
        if (removals.size() >= limit)
            break;
        const bool is_expired = job.is_final() && job.final_since && now - *job.final_since > retention;
        if (!is_expired || !job.submission || job.has_placed_units())
            continue;
        removals.push_back({id, std::nullopt});
        if (job.is_cancel_requested)
            removals.push_back({make_cancel_key(id), std::nullopt});
    }
    return removals;
}

void job_table::drop_removed_submissions(const std::map<std::string, std::uint64_t, std::less<>>& keys, boot_time now)
{
    std::erase_if(this->early_cancellations, [&keys, now](const auto& entry) {
        return now - entry.second.read_at > removal_propagation_limit && !keys.contains(make_cancel_key(entry.first));
    });
    for (auto& [id, job] : this->jobs) {
        // `keys` may lack a job that was submitted while they were read, but such a job has not ended long ago.
        const bool has_ended_long_ago =
            job.is_final() && job.final_since && now - *job.final_since > removal_propagation_limit;
        if (job.submission && has_ended_long_ago && !keys.contains(id)) {
            job.submission.reset();
            job.submission_removed_since = now;
        }
    }
}

std::vector<keyed_record> job_table::list_expired_cancellations(milliseconds retention, std::size_t limit,
                                                                boot_time now) const
{
    std::vector<keyed_record> removals;
    for (const auto& [job, cancellation] : this->early_cancellations) {
        if (removals.size() >= limit)
            break;
        if (now - cancellation.read_at > retention)
            removals.push_back({make_cancel_key(job), std::nullopt});
    }
    return removals;
}

const early_cancellation* job_table::find_early_cancellation(std::string_view job) const
{
    const auto found = this->early_cancellations.find(job);
    return found == this->early_cancellations.end() ? nullptr : &found->second;
}

std::size_t job_table::count_early_cancellations(std::string_view account) const
{
    return static_cast<std::size_t>(
        std::count_if(this->early_cancellations.begin(), this->early_cancellations.end(), [account](const auto& entry) {
            const auto& accounts = entry.second.content.accounts();
            return std::find(accounts.begin(), accounts.end(), account) != accounts.end();
        }));
}

std::vector<keyed_record> job_table::list_expired_progress(std::size_t limit, boot_time now) const
{
    std::vector<keyed_record> removals;
    for (const auto& [id, job] : this->jobs) {
        if (removals.size() >= limit)
            break;
        const bool is_removable = job.is_final() && !job.submission && job.submission_removed_since &&
                                  now - *job.submission_removed_since > removal_propagation_limit;
        if (is_removable)
            removals.push_back({id, std::nullopt});
    }
    return removals;
}

const job_entry* job_table::find(std::string_view job) const
{
    const auto found = this->jobs.find(job);
    return found == this->jobs.end() ? nullptr : &found->second;
}

std::size_t job_table::count_waiting(std::string_view queue) const
{
    return static_cast<std::size_t>(std::count_if(this->jobs.begin(), this->jobs.end(), [queue](const auto& entry) {
        const job_entry& job = entry.second;
        return job.submission && job.submission->queue() == queue && !job.has_started && !job.is_cancel_requested &&
               !job.is_final();
    }));
}

} // namespace wigeon
