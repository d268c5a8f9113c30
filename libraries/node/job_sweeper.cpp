// Removal in two steps: submissions first, and their progress when no process has the submission any more.

#include "node/job_sweeper.h"

#include <string>

#include "base/logging.h"
#include "base/metrics.h"
#include "jobs/job_keys.h"

namespace wigeon {

namespace {

// The table is searched at this pace; with the limit below it removes 40 jobs a second, where 3,500 come a day.
constexpr milliseconds sweep_interval{5'000};
constexpr std::size_t removal_limit = 200;

} // namespace

job_sweeper::job_sweeper(record_store& record_target, const node_state& node, milliseconds keep_for)
    : store(record_target), state(node), retention(keep_for)
{
}

void job_sweeper::sweep(boot_time now)
{
    if (this->is_removing || now - this->swept_at < sweep_interval)
        return;
    this->swept_at = now;
    const auto removals = this->state.jobs().list_expired_submissions(this->retention, removal_limit, now);
    if (removals.empty())
        return;
    this->is_removing = true;
    this->store.append(jobs_topic, removals, {},
                       [self = this->shared_from_this(), count = removals.size()](const append_result& result) {
                           self->is_removing = false;
                           if (result.status != append_status::done) {
                               count_retry("removal_failed"); // The next sweep finds the same jobs.
                               return;
                           }
                           process_metrics().count("wigeon_records_removed_total", count);
                           log_change("submissions_removed", {{"records", std::to_string(count)}});
                       });
}

std::vector<keyed_record> job_sweeper::list_progress_removals(boot_time now)
{
    if (now - this->listed_at < sweep_interval)
        return {};
    this->listed_at = now;
    auto removals = this->state.jobs().list_expired_progress(removal_limit, now);
    if (!removals.empty()) {
        process_metrics().count("wigeon_records_removed_total", removals.size());
        log_change("progress_removed", {{"records", std::to_string(removals.size())}});
    }
    return removals;
}

} // namespace wigeon
