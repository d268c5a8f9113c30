// What a node knows of all jobs: rebuilt from the topics of submissions and progress, in any order of the two.

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
    std::optional<records::Submission> submission; // None: only its progress or cancellation was seen yet.
    records::JobProgress progress;
    bool is_cancel_requested = false;
    bool has_started = false; // A task of it has been placed at some time.
    boot_time first_seen;
    std::optional<boot_time> final_since;              // When this process first saw its end.
    std::optional<boot_time> submission_removed_since; // Its submission is gone from the store, its progress is not.

    [[nodiscard]] bool is_final() const;

    // Whether a task of it may still run somewhere, by its last record.
    [[nodiscard]] bool has_placed_units() const;
};

bool is_final(records::JobPhase phase);

class job_table {
public:
    // Take the records of the two topics. Return false when the record can't be read; it is then passed over.
    bool apply_submission_record(const keyed_record& record, boot_time now);
    bool apply_progress_record(const keyed_record& record, boot_time now);

    [[nodiscard]] const job_entry* find(std::string_view job) const;
    [[nodiscard]] const std::map<std::string, job_entry, std::less<>>& all() const { return this->jobs; }

    // The records of jobs that ended longer than `retention` ago, so that they can be removed; at most about `limit` of
    // them. The submissions go first: a job without progress would look like a new one and run again.
    [[nodiscard]] std::vector<keyed_record> list_expired_submissions(milliseconds retention, std::size_t limit,
                                                                     boot_time now) const;
    // Forgets the submissions of jobs that ended long ago and are not among `keys`, which is all that the store has.
    void drop_removed_submissions(const std::map<std::string, std::uint64_t, std::less<>>& keys, boot_time now);

    // Only those whose submission has been gone for so long that no process has it any more.
    [[nodiscard]] std::vector<keyed_record> list_expired_progress(std::size_t limit, boot_time now) const;

    // Accepted jobs of the queue of which no task has begun and that nobody cancelled.
    [[nodiscard]] std::size_t count_waiting(std::string_view queue) const;

private:
    job_entry& find_or_create(std::string_view job, boot_time now);

    std::map<std::string, job_entry, std::less<>> jobs;
};

} // namespace wigeon
