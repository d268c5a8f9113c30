// Removes the records of jobs that ended long ago, so that the store does not fill up.

#pragma once

#include <memory>
#include <vector>

#include "node/node_state.h"
#include "store/record_store.h"

namespace wigeon {

// Runs on the leader. A former leader that goes on for a while does no harm: it removes only jobs that it saw ended,
// and only while nothing was written to their topic since it has read it.
class job_sweeper : public std::enable_shared_from_this<job_sweeper> {
public:
    // Callers can read an ended job for `retention`.
    job_sweeper(record_store& store, const node_state& state, milliseconds retention);

    // Removes expired submissions, with at most one append in flight.
    void sweep(boot_time now);

    // Returns tombstones of progress records for the leader's next append; few, and mostly none.
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
