// The jobs that a node knows, built from the topics of submissions and progress. The two topics may be applied in any
// order.

#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/time.h"
#include "jobs.pb.h"
#include "store/record_store.h"

namespace wigeon {

struct job_entry {
    std::optional<records::Submission> submission; // None: not read so far, or removed from the store.
    records::JobProgress progress;                 // Without units where the leader records progress per unit.
    bool is_cancel_requested = false;
    bool has_started = false; // A task of the job has been placed at least once.
    boot_time first_seen;
    std::optional<boot_time> final_since;              // When this process first read a final phase.
    std::optional<boot_time> submission_removed_since; // Since when the store has the progress, but not the submission.

    [[nodiscard]] bool is_final() const;

    // Whether a task may still run on an executor, according to the last progress record.
    [[nodiscard]] bool has_placed_units() const;
};

bool is_final(records::JobPhase phase);

// A cancellation of a job whose submission is not known here: it may still be on its way to the store.
struct early_cancellation {
    records::EarlyCancellation content; // Without accounts: the job is cancelled whatever its account.
    boot_time read_at;                  // Of the newest record.

    // Whether it cancels a submission of the account.
    [[nodiscard]] bool applies_to(std::string_view account) const;
};

class job_table {
public:
    // Apply a record of the topic of jobs or of progress per job. Return false, without a change, when it can't be
    // parsed.
    bool apply_submission_record(const keyed_record& record, boot_time now);
    bool apply_progress_record(const keyed_record& record, boot_time now);

    // Applies a record of the topic of states, like apply_progress_record().
    bool apply_state_record(const keyed_record& record, boot_time now);

    [[nodiscard]] const job_entry* find(std::string_view job) const;
    [[nodiscard]] const std::map<std::string, job_entry, std::less<>>& all() const { return this->jobs; }

    // Returns tombstones for the submissions and cancellations of jobs that ended longer than `retention` ago, at most
    // about `limit`. Submissions are removed before progress: a submission without progress would be taken for a new
    // job and run again.
    [[nodiscard]] std::vector<keyed_record> list_expired_submissions(milliseconds retention, std::size_t limit,
                                                                     boot_time now) const;
    // Drops the submissions of jobs that ended long ago, and the early cancellations that were read long ago, that are
    // not among `keys`, the keys of all records in the jobs topic.
    void drop_removed_submissions(const std::map<std::string, std::uint64_t, std::less<>>& keys, boot_time now);

    // Returns tombstones for the early cancellations that were read longer ago than `retention`, at most `limit`.
    [[nodiscard]] std::vector<keyed_record> list_expired_cancellations(milliseconds retention, std::size_t limit,
                                                                       boot_time now) const;

    // Returns nullptr when the submission is known or no cancellation is.
    [[nodiscard]] const early_cancellation* find_early_cancellation(std::string_view job) const;
    [[nodiscard]] std::size_t count_early_cancellations(std::string_view account) const;

    // Returns tombstones for the progress or states of ended jobs, at most `limit`. Includes only jobs whose submission
    // was removed so long ago that no process still holds it.
    [[nodiscard]] std::vector<keyed_record> list_expired_progress(std::size_t limit, boot_time now) const;

    // Counts the queue's accepted jobs that have had no task placed so far and are not cancelled.
    [[nodiscard]] std::size_t count_waiting(std::string_view queue) const;

private:
    void apply_cancellation(std::string_view job, const std::string& value, boot_time now);
    job_entry& find_or_create(std::string_view job, boot_time now);
    void remove_progress(std::string_view job);
    void set_progress(std::string_view job, records::JobProgress progress, boot_time now);

    std::map<std::string, job_entry, std::less<>> jobs;
    // By job. Those of jobs with a known submission belong to other accounts than the submission.
    std::map<std::string, early_cancellation, std::less<>> early_cancellations;
};

} // namespace wigeon
