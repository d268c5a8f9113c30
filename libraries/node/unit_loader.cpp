// Pages through the topic of units.

#include "node/unit_loader.h"

#include <utility>

#include "base/logging.h"
#include "base/metrics.h"
#include "base/turn_timer.h"

namespace wigeon {

namespace {

// No job is placed before the units are loaded, so failed reads are repeated soon.
constexpr read_pace_limits loading_pace{milliseconds(1'000), milliseconds(400)};

} // namespace

unit_loader::unit_loader(event_scheduler& event_loop, record_store& backing_store, const job_table& jobs)
    : scheduler(event_loop), store(backing_store), pacer(loading_pace), collector(jobs)
{
}

void unit_loader::start(std::function<void(unit_progress_map)> load_handler)
{
    this->done = std::move(load_handler);
    this->read_page();
}

void unit_loader::stop()
{
    this->is_stopped = true;
    this->done = nullptr;
}

void unit_loader::read_page()
{
    if (this->is_stopped)
        return;
    this->store.read_newest(
        units_topic, this->last_key, this->pacer.page_timeout(),
        [self = this->shared_from_this(), sent_at = this->scheduler.now()](const newest_page& page) {
            if (!self->is_stopped)
                self->handle_page(page, sent_at);
        });
}

void unit_loader::handle_page(const newest_page& page, boot_time sent_at)
{
    const turn_timer timer("unit_page");
    if (!page.is_done) {
        count_retry("units_read");
        this->pacer.record_failure();
        this->scheduler.call_after(this->pacer.find_retry_delay(this->scheduler.draw_fraction()),
                                   [self = this->shared_from_this()] { self->read_page(); });
        return;
    }
    this->pacer.record_success(this->scheduler.now() - sent_at, page.has_more);
    for (const stored_record& record : page.records) {
        this->last_key = record.content.key;
        if (this->collector.add(record.content))
            continue;
        process_metrics().count("wigeon_documents_skipped_total");
        log_event("document_skipped", {{"topic", std::string(units_topic)},
                                       {"key", record.content.key},
                                       {"reason", "record is not the progress of a unit"}});
    }
    this->record_count += page.records.size();
    if (page.has_more && !page.records.empty()) {
        this->read_page();
        return;
    }
    log_event("units_loaded", {{"records", std::to_string(this->record_count)}});
    if (const auto handler = std::exchange(this->done, nullptr))
        handler(this->collector.finish());
}

} // namespace wigeon
