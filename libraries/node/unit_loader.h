// Reads the topic of units for a new leader: the progress of all units that were placed and whose jobs have not ended.

#pragma once

#include <functional>
#include <memory>
#include <string>

#include "base/event_scheduler.h"
#include "jobs/unit_records.h"
#include "store/read_pacer.h"
#include "store/record_store.h"

namespace wigeon {

// Must run after the former leader was fenced off: pages that are read while it appends could miss a unit.
class unit_loader : public std::enable_shared_from_this<unit_loader> {
public:
    unit_loader(event_scheduler& scheduler, record_store& store, const job_table& jobs);

    // Reads page after page, each until it succeeds, then calls `done` once.
    void start(std::function<void(unit_progress_map)> done);

    // `done` is neither called nor kept afterwards; it may own this loader's owner.
    void stop();

private:
    void read_page();
    void handle_page(const newest_page& page, boot_time sent_at);

    event_scheduler& scheduler;
    record_store& store;
    read_pacer pacer;
    std::function<void(unit_progress_map)> done;
    unit_progress_collector collector;
    std::size_t record_count = 0;
    std::string last_key; // Of the newest page that was read.
    bool is_stopped = false;
};

} // namespace wigeon
