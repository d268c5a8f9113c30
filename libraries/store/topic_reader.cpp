// The read loop of one topic.

#include "store/topic_reader.h"

#include <algorithm>
#include <utility>

#include "base/metrics.h"

namespace wigeon {

topic_reader::topic_reader(event_scheduler& event_loop, record_store& backing_store, std::string topic_name,
                           read_timing initial_timing, read_pace_limits pace_limits, topic_consumer& record_consumer)
    : scheduler(event_loop),
      store(backing_store),
      topic(std::move(topic_name)),
      timing(initial_timing),
      pacer(pace_limits),
      consumer(record_consumer)
{
}

void topic_reader::start()
{
    if (!this->stopped)
        return;
    this->stopped = false;
    this->run_next();
}

void topic_reader::stop()
{
    this->stopped = true;
    ++this->scheduled_run;
    this->complete_refreshes(false);
}

void topic_reader::set_timing(read_timing new_timing)
{
    this->timing = new_timing;
    if (!this->stopped && !this->is_reading)
        this->run_next();
}

void topic_reader::refresh(std::function<void(bool)> done)
{
    this->pending_refreshes.push_back(std::move(done));
    if (this->stopped)
        return;
    if (!this->is_reading)
        this->run_next();
    else if (this->is_read_waiting && this->pending_refreshes.size() == 1)
        this->read_without_waiting();
}

void topic_reader::run_next()
{
    ++this->scheduled_run;
    if (this->stopped || this->is_reading)
        return;
    this->is_reading = true;
    if (this->is_paging) {
        this->read_page();
        return;
    }
    this->in_flight_refreshes = std::move(this->pending_refreshes);
    this->pending_refreshes.clear();
    this->read_records(this->in_flight_refreshes.empty() ? this->timing.wait : milliseconds(0));
}

void topic_reader::schedule(milliseconds delay)
{
    this->run_next_after(this->pending_refreshes.empty() ? delay : milliseconds(0));
}

void topic_reader::run_next_after(milliseconds delay)
{
    if (this->stopped)
        return;
    this->scheduler.call_after(delay, [self = this->shared_from_this(), number = ++this->scheduled_run] {
        if (number == self->scheduled_run)
            self->run_next();
    });
}

// Continues after a page or read that was not the last one.
void topic_reader::read_on()
{
    const milliseconds pause =
        this->timing.is_yielding ? this->pacer.find_pause(this->scheduler.draw_fraction()) : milliseconds(0);
    if (pause > milliseconds(0))
        this->run_next_after(pause);
    else
        this->run_next();
}

void topic_reader::read_page()
{
    this->store.read_newest(
        this->topic, this->last_page_key, this->pacer.page_timeout(),
        [self = this->shared_from_this(), sent_at = this->scheduler.now()](const newest_page& page) {
            self->is_reading = false;
            self->handle_page(page, sent_at);
        });
}

void topic_reader::handle_page(const newest_page& page, boot_time sent_at)
{
    if (this->stopped)
        return;
    if (!page.is_done) {
        this->handle_failure();
        return;
    }
    const boot_time now = this->scheduler.now();
    this->pacer.record_success(now - sent_at, page.has_more);
    if (!this->first_page_end) {
        this->first_page_end = page.end;
        this->first_page_sent_at = sent_at;
    }
    for (const stored_record& record : page.records) {
        this->last_page_key = record.content.key;
        this->page_keys[record.content.key] = record.offset;
        this->consumer.apply(record, now);
    }
    const bool is_last = !page.has_more || page.records.empty();
    if (is_last)
        this->finish_pages(now);
    this->read_on();
}

void topic_reader::finish_pages(boot_time now)
{
    this->has_loaded = true;
    this->is_paging = false;
    this->next_offset = *this->first_page_end;
    this->consumer.finish_load(this->page_keys, now);
    this->as_of = std::max(this->as_of.value_or(this->first_page_sent_at), this->first_page_sent_at);
}

read_bounds topic_reader::make_bounds(milliseconds wait) const
{
    return {wait, this->pacer.timeout(), this->pacer.max_bytes()};
}

// Sends a second read, which does not wait, while the first one waits. Records that both return are applied once.
void topic_reader::read_without_waiting()
{
    auto callbacks = std::move(this->pending_refreshes);
    this->pending_refreshes.clear();
    this->store.read(this->topic, this->next_offset, this->make_bounds(milliseconds(0)),
                     [self = this->shared_from_this(), sent_at = this->scheduler.now(),
                      callbacks = std::move(callbacks)](const read_result& result) {
                         const bool is_done = !self->stopped && result.status == read_status::done &&
                                              self->apply_records(result, sent_at);
                         for (const auto& done : callbacks)
                             done(is_done);
                     });
}

void topic_reader::read_records(milliseconds wait)
{
    this->is_read_waiting = wait > milliseconds(0);
    this->in_flight_wait = wait;
    this->store.read(this->topic, this->next_offset, this->make_bounds(wait),
                     [self = this->shared_from_this(), sent_at = this->scheduler.now()](const read_result& result) {
                         self->is_reading = false;
                         self->handle_records(result, sent_at);
                     });
}

// Returns false when the topic has more records after these.
bool topic_reader::apply_records(const read_result& result, boot_time sent_at)
{
    if (result.unreadable_count > 0)
        process_metrics().count("wigeon_records_unreadable_total", result.unreadable_count);
    const boot_time now = this->scheduler.now();
    for (const stored_record& record : result.records) {
        if (record.offset < this->next_offset)
            continue;
        this->next_offset = record.offset + 1;
        const auto paged = this->page_keys.find(record.content.key);
        // A page may have contained a newer record of the key than this one.
        if (paged != this->page_keys.end() && paged->second > record.offset)
            continue;
        this->consumer.apply(record, now);
    }
    if (result.records.empty() && result.unreadable_count > 0)
        this->next_offset = std::max(this->next_offset, result.end);
    if (this->next_offset < result.end)
        return false;
    this->page_keys.clear();
    this->as_of = std::max(this->as_of.value_or(sent_at), sent_at);
    this->consumer.finish_read(result.records.size(), sent_at, now);
    return true;
}

void topic_reader::handle_records(const read_result& result, boot_time sent_at)
{
    if (this->stopped)
        return;
    if (result.status == read_status::trimmed) {
        this->reload();
        return;
    }
    if (result.status == read_status::failed) {
        this->handle_failure();
        return;
    }
    const bool is_at_end = this->apply_records(result, sent_at);
    this->pacer.record_success(std::max(this->scheduler.now() - sent_at - this->in_flight_wait, milliseconds(0)),
                               !is_at_end);
    if (!is_at_end) {
        this->continue_reading(result);
        return;
    }
    auto callbacks = std::move(this->in_flight_refreshes);
    this->in_flight_refreshes.clear();
    for (const auto& done : callbacks)
        done(true);
    if (!this->is_reading)
        this->schedule(this->timing.delay);
}

// The records after this reader's position are gone. Refreshes wait until the topic is loaded anew.
void topic_reader::reload()
{
    process_metrics().count("wigeon_topic_restarts_total");
    this->is_paging = true;
    this->last_page_key.clear();
    this->first_page_end.reset();
    this->page_keys.clear();
    this->pending_refreshes.insert(this->pending_refreshes.end(), this->in_flight_refreshes.begin(),
                                   this->in_flight_refreshes.end());
    this->in_flight_refreshes.clear();
    const auto delay = static_cast<double>(this->timing.reload_delay.count()) * this->scheduler.draw_fraction();
    this->schedule(milliseconds(static_cast<std::int64_t>(delay)));
}

// The topic has more records than the read returned.
void topic_reader::continue_reading(const read_result& result)
{
    this->pending_refreshes.insert(this->pending_refreshes.end(), this->in_flight_refreshes.begin(),
                                   this->in_flight_refreshes.end());
    this->in_flight_refreshes.clear();
    if (!result.records.empty() || result.unreadable_count > 0) {
        this->read_on();
        return;
    }
    this->pacer.record_oversize();
    this->schedule(this->pacer.find_retry_delay(this->scheduler.draw_fraction()));
}

void topic_reader::handle_failure()
{
    process_metrics().count("wigeon_topic_read_failures_total");
    this->pacer.record_failure();
    this->complete_refreshes(false);
    this->schedule(this->pacer.find_retry_delay(this->scheduler.draw_fraction()));
}

void topic_reader::complete_refreshes(bool is_current)
{
    auto callbacks = std::move(this->in_flight_refreshes);
    callbacks.insert(callbacks.end(), this->pending_refreshes.begin(), this->pending_refreshes.end());
    this->in_flight_refreshes.clear();
    this->pending_refreshes.clear();
    for (const auto& done : callbacks)
        done(is_current);
}

} // namespace wigeon
