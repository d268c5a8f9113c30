// The loop of one followed topic.

#include "store/topic_reader.h"

#include <algorithm>
#include <utility>

#include "base/metrics.h"

namespace wigeon {

namespace {

// A failed read is repeated after this pause: several times within the 2 s in which a configuration must be in force.
constexpr milliseconds failure_pause{200};

} // namespace

topic_reader::topic_reader(boost::asio::io_context& loop, record_store& record_source, std::string topic_name,
                           reading_pace first_pace, topic_consumer& record_taker)
    : timer(loop), store(record_source), topic(std::move(topic_name)), pace(first_pace), consumer(record_taker)
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
    this->answer_refreshes(false);
}

void topic_reader::set_pace(reading_pace changed)
{
    this->pace = changed;
    if (!this->stopped && !this->is_reading)
        this->run_next();
}

void topic_reader::refresh(std::function<void(bool)> done)
{
    this->waiting_refreshes.push_back(std::move(done));
    if (this->stopped)
        return;
    if (!this->is_reading)
        this->run_next();
    else if (this->is_read_waiting && this->waiting_refreshes.size() == 1)
        this->read_beside();
}

void topic_reader::run_next()
{
    this->timer.cancel();
    if (this->stopped || this->is_reading)
        return;
    this->is_reading = true;
    if (!this->paged) {
        this->read_page();
        return;
    }
    this->current_refreshes = std::move(this->waiting_refreshes);
    this->waiting_refreshes.clear();
    this->read_records(this->current_refreshes.empty() ? this->pace.wait : milliseconds(0));
}

void topic_reader::schedule(milliseconds pause)
{
    if (this->stopped)
        return;
    if (!this->waiting_refreshes.empty())
        pause = milliseconds(0);
    this->timer.expires_after(pause);
    this->timer.async_wait([self = this->shared_from_this()](const boost::system::error_code& reason) {
        if (!reason)
            self->run_next();
    });
}

void topic_reader::read_page()
{
    this->store.read_newest(this->topic, this->page_position,
                            [self = this->shared_from_this(), sent_at = boot_clock::now()](const newest_page& page) {
                                self->is_reading = false;
                                self->take_page(page, sent_at);
                            });
}

void topic_reader::take_page(const newest_page& page, boot_time sent_at)
{
    if (this->stopped)
        return;
    if (!page.is_done) {
        this->fail();
        return;
    }
    const boot_time now = boot_clock::now();
    if (!this->first_page_end)
        this->first_page_end = page.end;
    for (const stored_record& record : page.records) {
        this->page_position = record.content.key;
        this->page_keys[record.content.key] = record.offset;
        this->consumer.apply(record, now);
    }
    if (page.has_more && !page.records.empty()) {
        this->run_next();
        return;
    }
    this->paged = true;
    this->next_offset = *this->first_page_end;
    this->consumer.finish_pages(this->page_keys, now);
    this->proof = sent_at;
    this->run_next();
}

// A second read that does not wait. What both show is applied once.
void topic_reader::read_beside()
{
    auto answered = std::move(this->waiting_refreshes);
    this->waiting_refreshes.clear();
    this->store.read(this->topic, this->next_offset, milliseconds(0),
                     [self = this->shared_from_this(), sent_at = boot_clock::now(),
                      answered = std::move(answered)](const read_result& result) {
                         const bool is_done = !self->stopped && result.status == read_status::done &&
                                              self->apply_records(result, sent_at);
                         for (const auto& done : answered)
                             done(is_done);
                     });
}

void topic_reader::read_records(milliseconds wait)
{
    this->is_read_waiting = wait > milliseconds(0);
    this->store.read(this->topic, this->next_offset, wait,
                     [self = this->shared_from_this(), sent_at = boot_clock::now()](const read_result& result) {
                         self->is_reading = false;
                         self->take_records(result, sent_at);
                     });
}

// Returns false when there is more behind the records.
bool topic_reader::apply_records(const read_result& result, boot_time sent_at)
{
    if (result.unreadable > 0)
        process_metrics().count("wigeon_records_unreadable_total", result.unreadable);
    const boot_time now = boot_clock::now();
    for (const stored_record& record : result.records) {
        if (record.offset < this->next_offset)
            continue;
        this->next_offset = record.offset + 1;
        const auto paged_key = this->page_keys.find(record.content.key);
        // The page may have shown a newer record of the key than this one.
        if (paged_key != this->page_keys.end() && paged_key->second > record.offset)
            continue;
        this->consumer.apply(record, now);
    }
    if (result.records.empty() && result.unreadable > 0)
        this->next_offset = std::max(this->next_offset, result.end);
    if (this->next_offset < result.end)
        return false;
    this->page_keys.clear();
    this->proof = std::max(this->proof.value_or(sent_at), sent_at);
    this->consumer.finish_read(result.records.size(), sent_at, now);
    return true;
}

void topic_reader::take_records(const read_result& result, boot_time sent_at)
{
    if (this->stopped)
        return;
    if (result.status == read_status::trimmed) {
        process_metrics().count("wigeon_topic_restarts_total");
        this->paged = false;
        this->page_position.clear();
        this->first_page_end.reset();
        this->page_keys.clear();
        this->waiting_refreshes.insert(this->waiting_refreshes.end(), this->current_refreshes.begin(),
                                       this->current_refreshes.end());
        this->current_refreshes.clear();
        this->run_next();
        return;
    }
    if (result.status == read_status::failed) {
        this->fail();
        return;
    }
    if (!this->apply_records(result, sent_at)) {
        this->waiting_refreshes.insert(this->waiting_refreshes.end(), this->current_refreshes.begin(),
                                       this->current_refreshes.end());
        this->current_refreshes.clear();
        this->run_next();
        return;
    }
    auto answered = std::move(this->current_refreshes);
    this->current_refreshes.clear();
    for (const auto& done : answered)
        done(true);
    if (!this->is_reading)
        this->schedule(this->pace.pause);
}

void topic_reader::fail()
{
    process_metrics().count("wigeon_topic_read_failures_total");
    this->answer_refreshes(false);
    this->schedule(failure_pause);
}

void topic_reader::answer_refreshes(bool is_current)
{
    auto answered = std::move(this->current_refreshes);
    answered.insert(answered.end(), this->waiting_refreshes.begin(), this->waiting_refreshes.end());
    this->current_refreshes.clear();
    this->waiting_refreshes.clear();
    for (const auto& done : answered)
        done(is_current);
}

} // namespace wigeon
