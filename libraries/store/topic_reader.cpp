// The read loop of one topic.

#include "store/topic_reader.h"

#include <algorithm>
#include <utility>

#include "base/metrics.h"

namespace wigeon {

namespace {

// Delay before a failed read is repeated: several times within the 2 s in which a configuration must be in force.
constexpr milliseconds retry_delay{200};

} // namespace

topic_reader::topic_reader(boost::asio::io_context& loop, record_store& backing_store, std::string topic_name,
                           read_timing initial_timing, topic_consumer& record_consumer)
    : timer(loop), store(backing_store), topic(std::move(topic_name)), timing(initial_timing), consumer(record_consumer)
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
    this->timer.cancel();
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
    this->timer.cancel();
    if (this->stopped || this->is_reading)
        return;
    this->is_reading = true;
    if (!this->loaded) {
        this->read_page();
        return;
    }
    this->in_flight_refreshes = std::move(this->pending_refreshes);
    this->pending_refreshes.clear();
    this->read_records(this->in_flight_refreshes.empty() ? this->timing.wait : milliseconds(0));
}

void topic_reader::schedule(milliseconds delay)
{
    if (this->stopped)
        return;
    if (!this->pending_refreshes.empty())
        delay = milliseconds(0);
    this->timer.expires_after(delay);
    this->timer.async_wait([self = this->shared_from_this()](const boost::system::error_code& reason) {
        if (!reason)
            self->run_next();
    });
}

void topic_reader::read_page()
{
    this->store.read_newest(this->topic, this->last_page_key,
                            [self = this->shared_from_this(), sent_at = boot_clock::now()](const newest_page& page) {
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
    const boot_time now = boot_clock::now();
    if (!this->first_page_end)
        this->first_page_end = page.end;
    for (const stored_record& record : page.records) {
        this->last_page_key = record.content.key;
        this->page_keys[record.content.key] = record.offset;
        this->consumer.apply(record, now);
    }
    if (page.has_more && !page.records.empty()) {
        this->run_next();
        return;
    }
    this->loaded = true;
    this->next_offset = *this->first_page_end;
    this->consumer.finish_load(this->page_keys, now);
    this->as_of = sent_at;
    this->run_next();
}

// Sends a second read, which does not wait, while the first one waits. Records that both return are applied once.
void topic_reader::read_without_waiting()
{
    auto callbacks = std::move(this->pending_refreshes);
    this->pending_refreshes.clear();
    this->store.read(this->topic, this->next_offset, milliseconds(0),
                     [self = this->shared_from_this(), sent_at = boot_clock::now(),
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
    this->store.read(this->topic, this->next_offset, wait,
                     [self = this->shared_from_this(), sent_at = boot_clock::now()](const read_result& result) {
                         self->is_reading = false;
                         self->handle_records(result, sent_at);
                     });
}

// Returns false when the topic has more records after these.
bool topic_reader::apply_records(const read_result& result, boot_time sent_at)
{
    if (result.unreadable_count > 0)
        process_metrics().count("wigeon_records_unreadable_total", result.unreadable_count);
    const boot_time now = boot_clock::now();
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
        process_metrics().count("wigeon_topic_restarts_total");
        this->loaded = false;
        this->last_page_key.clear();
        this->first_page_end.reset();
        this->page_keys.clear();
        this->pending_refreshes.insert(this->pending_refreshes.end(), this->in_flight_refreshes.begin(),
                                       this->in_flight_refreshes.end());
        this->in_flight_refreshes.clear();
        this->run_next();
        return;
    }
    if (result.status == read_status::failed) {
        this->handle_failure();
        return;
    }
    if (!this->apply_records(result, sent_at)) {
        this->pending_refreshes.insert(this->pending_refreshes.end(), this->in_flight_refreshes.begin(),
                                       this->in_flight_refreshes.end());
        this->in_flight_refreshes.clear();
        this->run_next();
        return;
    }
    auto callbacks = std::move(this->in_flight_refreshes);
    this->in_flight_refreshes.clear();
    for (const auto& done : callbacks)
        done(true);
    if (!this->is_reading)
        this->schedule(this->timing.delay);
}

void topic_reader::handle_failure()
{
    process_metrics().count("wigeon_topic_read_failures_total");
    this->complete_refreshes(false);
    this->schedule(retry_delay);
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
