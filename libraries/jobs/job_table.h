// What a node knows of all jobs: rebuilt from the topics of submissions and progress, in any order of the two.

#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "base/time.h"
#include "jobs.pb.h"
#include "store/record_store.h"

namespace wigeon {

struct known_job {
    std::optional<records::Submission> submission; // None: only its progress or cancellation was seen yet.
    records::JobProgress progress;
    bool is_cancel_asked = false;
    bool has_begun = false; // A task of it has been placed at some time.
    boot_time first_seen;

    [[nodiscard]] bool is_final() const;
};

bool is_final(records::JobPhase phase);

class job_table {
public:
    // Take the records of the two topics. Return false when the record can't be read; it is then passed over.
    bool apply_submission_record(const keyed_record& record, boot_time now);
    bool apply_progress_record(const keyed_record& record, boot_time now);

    [[nodiscard]] const known_job* find(std::string_view job) const;
    [[nodiscard]] const std::map<std::string, known_job, std::less<>>& all() const { return this->jobs; }

    // Accepted jobs of the queue of which no task has begun and that nobody cancelled.
    [[nodiscard]] std::size_t count_waiting(std::string_view queue) const;

private:
    known_job& provide(std::string_view job, boot_time now);

    std::map<std::string, known_job, std::less<>> jobs;
};

} // namespace wigeon
