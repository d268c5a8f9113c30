// Application of records to the table of jobs.

#include "jobs/job_table.h"

#include <algorithm>

#include "jobs/job_keys.h"

namespace wigeon {

bool is_final(records::JobPhase phase)
{
    return phase == records::JOB_PHASE_COMPLETED || phase == records::JOB_PHASE_FAILED ||
           phase == records::JOB_PHASE_CANCELLED;
}

bool known_job::is_final() const
{
    return wigeon::is_final(this->progress.phase());
}

known_job& job_table::provide(std::string_view job, boot_time now)
{
    const auto found = this->jobs.find(job);
    if (found != this->jobs.end())
        return found->second;
    known_job& added = this->jobs[std::string(job)];
    added.first_seen = now;
    return added;
}

bool job_table::apply_submission_record(const keyed_record& record, boot_time now)
{
    const auto cancelled = find_cancelled_job(record.key);
    const std::string_view job = cancelled ? *cancelled : std::string_view(record.key);
    if (!record.value) {
        // A removed cancellation goes with its job.
        if (!cancelled) {
            const auto found = this->jobs.find(job);
            if (found != this->jobs.end())
                this->jobs.erase(found);
        }
        return true;
    }
    if (cancelled) {
        this->provide(job, now).is_cancel_asked = true;
        return true;
    }
    records::Submission submission;
    if (!submission.ParseFromString(*record.value))
        return false;
    known_job& entry = this->provide(job, now);
    if (!entry.submission)
        entry.submission = std::move(submission);
    return true;
}

bool job_table::apply_progress_record(const keyed_record& record, boot_time now)
{
    if (record.key == leader_key)
        return true;
    if (!record.value)
        return true;
    records::JobProgress progress;
    if (!progress.ParseFromString(*record.value))
        return false;
    known_job& entry = this->provide(record.key, now);
    // A node that stops leading reads its own records again; an end stays an end.
    if (entry.is_final() && !is_final(progress.phase()))
        return true;
    entry.has_begun = entry.has_begun || progress.phase() != records::JOB_PHASE_QUEUED;
    entry.progress = std::move(progress);
    return true;
}

const known_job* job_table::find(std::string_view job) const
{
    const auto found = this->jobs.find(job);
    return found == this->jobs.end() ? nullptr : &found->second;
}

std::size_t job_table::count_waiting(std::string_view queue) const
{
    return static_cast<std::size_t>(std::count_if(this->jobs.begin(), this->jobs.end(), [queue](const auto& entry) {
        const known_job& job = entry.second;
        return job.submission && job.submission->queue() == queue && !job.has_begun && !job.is_cancel_asked &&
               !job.is_final();
    }));
}

} // namespace wigeon
