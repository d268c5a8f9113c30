// Removes the records of jobs that ended long ago, so that the store does not fill up.

#pragma once

#include <memory>
#include <vector>

#include "node/node_state.h"
#include "store/record_store.h"

namespace wigeon {

// Belongs to the leader. A former leader that goes on for a while does no harm: it removes what it saw ended.
class job_sweeper : public std::enable_shared_from_this<job_sweeper> {
public:
    // Callers may ask for an ended job for as long as `retention`.
    job_sweeper(record_store& store, const node_state& state, milliseconds retention);

    // Removes submissions, at most one append at a time.
    void sweep(boot_time now);

    // Records of progress to remove with the leader's next append; few, and none most of the time.
    [[nodiscard]] std::vector<keyed_record> list_progress_removals(boot_time now);

private:
    record_store& store;
    const node_state& state;
    const milliseconds retention;
    bool is_removing = false;
    boot_time last_sweep;
    boot_time last_progress_listing;
};

} // namespace wigeon
