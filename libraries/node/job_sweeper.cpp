// Removal in two steps: the submissions first, and their progress once no process holds the submission any more. Early
// cancellations, whose jobs have neither, are removed when there is no submission to remove.

#include "node/job_sweeper.h"

#include <string>

#include "base/logging.h"
#include "base/metrics.h"
#include "jobs/job_keys.h"

namespace wigeon {

namespace {

// Interval of the searches for expired jobs. With the batch size below, up to 40 jobs a second are removed, while
// 3,500 are submitted a day.
constexpr milliseconds sweep_interval{5'000};
constexpr std::size_t removal_batch_size = 200;

} // namespace

job_sweeper::job_sweeper(record_store& backing_store, const node_state& shared_state, milliseconds retention_time)
    : store(backing_store), state(shared_state), retention(retention_time)
{
}

void job_sweeper::sweep(boot_time now)
{
    if (this->is_removing || now - this->last_sweep < sweep_interval)
        return;
    this->last_sweep = now;
    auto removals = this->state.jobs().list_expired_submissions(this->retention, removal_batch_size, now);
    if (removals.empty())
        removals = this->state.jobs().list_expired_cancellations(this->retention, removal_batch_size, now);
    if (removals.empty())
        return;
    this->is_removing = true;
    // The removals are right for the records that were read. An append that takes effect late must not remove a record
    // that was written since.
    append_condition condition;
    condition.expected_end = this->state.jobs_position();
    this->store.append(jobs_topic, removals, condition,
                       [self = this->shared_from_this(), count = removals.size()](const append_result& result) {
                           self->is_removing = false;
                           if (result.status != append_status::done) {
                               count_retry("removal_failed"); // The next sweep finds the same jobs again.
                               return;
                           }
                           process_metrics().count("wigeon_records_removed_total", count);
                           log_event("submissions_removed", {{"records", std::to_string(count)}});
                       });
}

std::vector<keyed_record> job_sweeper::list_progress_removals(boot_time now)
{
    if (now - this->last_progress_listing < sweep_interval)
        return {};
    this->last_progress_listing = now;
    auto removals = this->state.jobs().list_expired_progress(removal_batch_size, now);
    if (!removals.empty()) {
        process_metrics().count("wigeon_records_removed_total", removals.size());
        log_event("progress_removed", {{"records", std::to_string(removals.size())}});
    }
    return removals;
}

} // namespace wigeon
