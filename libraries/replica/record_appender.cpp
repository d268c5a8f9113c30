// Collects and appends batches, retries failed appends, and voids or drops records at their deadline.

#include "replica/record_appender.h"

#include <iterator>

#include "base/error_kind.h"
#include "base/metrics.h"

namespace wigeon {

namespace {

constexpr milliseconds retry_delay{100};
constexpr milliseconds pop_timeout{200};
constexpr std::size_t max_batch_size = 256;

void set_error(std::promise<apply_result>& outcome, error_kind kind, const std::string& detail)
{
    outcome.set_exception(std::make_exception_ptr(error(kind, detail)));
}

} // namespace

record_appender::record_appender(appender_options options, std::uint64_t author,
                                 std::function<std::uint64_t()> choose_time)
    : options(std::move(options)), author(author), choose_time(std::move(choose_time))
{
}

record_appender::~record_appender()
{
    this->stop();
}

void record_appender::start()
{
    this->thread = std::thread([this] { this->run(); });
}

void record_appender::stop()
{
    this->stopping = true;
    this->queue.close();
    if (this->thread.joinable())
        this->thread.join();
    const std::lock_guard lock(this->unconfirmed_mutex);
    for (const auto& [sequence, pending] : this->unconfirmed)
        set_error(pending->outcome, error_kind::log_uncertain, "the process stopped before the record was read back");
    this->unconfirmed.clear();
    while (this->move_to_backlog(milliseconds(0))) {
    }
    for (const pending_pointer& pending : this->backlog)
        set_error(pending->outcome, error_kind::log_unavailable, "the process stopped before the record was sent");
    this->backlog.clear();
}

std::future<apply_result> record_appender::submit(Record record, steady_time deadline)
{
    auto pending = std::make_shared<pending_append>();
    pending->record = std::move(record);
    pending->deadline = deadline;
    std::future<apply_result> outcome = pending->outcome.get_future();
    if (!this->queue.try_push(pending)) {
        count_refusal("append_ring_full");
        set_error(pending->outcome, error_kind::log_unavailable, "the ring of appends is full");
    }
    return outcome;
}

void record_appender::resolve(const apply_result& result)
{
    if (result.outcome == apply_outcome::duplicate)
        return;
    pending_pointer pending;
    {
        const std::lock_guard lock(this->unconfirmed_mutex);
        const auto found = this->unconfirmed.find(result.sequence);
        if (found == this->unconfirmed.end())
            return;
        pending = found->second;
        this->unconfirmed.erase(found);
    }
    const bool has_no_effect = result.outcome == apply_outcome::voided || result.outcome == apply_outcome::stale;
    if (has_no_effect)
        set_error(pending->outcome, error_kind::log_unavailable, "the log took the record too late");
    else
        pending->outcome.set_value(result);
}

void record_appender::expire(steady_time now)
{
    const std::lock_guard lock(this->unconfirmed_mutex);
    for (auto entry = this->unconfirmed.begin(); entry != this->unconfirmed.end();) {
        // Until then, the appending thread may still settle the record by a void record.
        if (now < entry->second->deadline + this->options.log_timeout) {
            ++entry;
            continue;
        }
        set_error(entry->second->outcome, error_kind::log_uncertain, "the record was not read back in time");
        entry = this->unconfirmed.erase(entry);
    }
}

// Moves one record from the queue to the backlog. Returns false when the backlog is full or none arrives in time.
bool record_appender::move_to_backlog(milliseconds timeout)
{
    if (this->backlog.size() >= queue_capacity)
        return false;
    auto next = this->queue.pop(timeout);
    if (!next)
        return false;
    this->backlog.push_back(std::move(*next));
    return true;
}

std::vector<record_appender::pending_pointer> record_appender::collect_batch()
{
    if (this->backlog.empty() && !this->move_to_backlog(pop_timeout))
        return {};
    const steady_time end = read_steady_clock() + this->options.batch_window;
    while (this->backlog.size() < max_batch_size) {
        const steady_time now = read_steady_clock();
        if (!this->move_to_backlog(now < end ? elapsed_ms(now, end) : milliseconds(0)))
            break;
    }
    const auto count = static_cast<std::ptrdiff_t>(std::min(this->backlog.size(), max_batch_size));
    const auto begin = this->backlog.begin();
    std::vector<pending_pointer> batch(std::make_move_iterator(begin), std::make_move_iterator(begin + count));
    this->backlog.erase(begin, begin + count);
    return batch;
}

// Drops the records that expire while an earlier batch is retried.
void record_appender::expire_backlog()
{
    while (this->move_to_backlog(milliseconds(0))) {
    }
    this->drop_or_void_expired(this->backlog);
}

// Drops expired records that were never sent. Replaces those that may be in the log by a void record of the same
// sequence, so that the order of the log decides which of the two takes effect.
void record_appender::drop_or_void_expired(std::vector<pending_pointer>& batch)
{
    const steady_time now = read_steady_clock();
    std::erase_if(batch, [&](const pending_pointer& pending) {
        if (now < pending->deadline)
            return false;
        if (pending->is_sent) {
            if (!pending->is_void) {
                pending->record.mutable_void_record();
                pending->is_void = true;
                count_retry("append_void");
            }
            return false;
        }
        bool is_unresolved = true;
        if (pending->record.sequence() != 0) {
            const std::lock_guard lock(this->unconfirmed_mutex);
            is_unresolved = this->unconfirmed.erase(pending->record.sequence()) > 0;
        }
        if (is_unresolved)
            set_error(pending->outcome, error_kind::log_unavailable, "the log took no append in time");
        return true;
    });
}

// Removes sent records that are no longer unconfirmed: they were read back although the response to the append was
// lost, or expire() failed them.
void record_appender::drop_resolved(std::vector<pending_pointer>& batch)
{
    const std::lock_guard lock(this->unconfirmed_mutex);
    std::erase_if(batch, [this](const pending_pointer& pending) {
        return pending->is_sent && !this->unconfirmed.contains(pending->record.sequence());
    });
}

bool record_appender::append_batch(log_service& log, adaptive_timeout& timeout, std::vector<pending_pointer>& batch)
{
    std::vector<std::string> records;
    records.reserve(batch.size());
    for (const pending_pointer& pending : batch)
        records.push_back(pending->record.SerializeAsString());
    log.set_timeout(timeout.current());
    const steady_time begin = read_steady_clock();
    try {
        log.append(this->options.stream, records);
        const milliseconds elapsed = elapsed_ms(begin, read_steady_clock());
        timeout.record_success(elapsed);
        process_metrics().count("wigeon_appends_total");
        process_metrics().observe_ms("wigeon_append_ms", static_cast<double>(elapsed.count()));
        return true;
    }
    catch (const log_call_error& failure) {
        timeout.record_failure(elapsed_ms(begin, read_steady_clock()));
        for (const pending_pointer& pending : batch)
            pending->is_sent = pending->is_sent || !failure.is_unsent();
        count_retry(failure.is_unsent() ? "log_append_unsent" : "log_append_uncertain");
        return false;
    }
}

void record_appender::run()
{
    const auto log = make_http_log_service(this->options.log_address, this->options.log_timeout);
    adaptive_timeout timeout(this->options.log_timeout, this->options.max_log_timeout);
    while (!this->stopping || !this->queue.is_closed()) {
        std::vector<pending_pointer> batch = this->collect_batch();
        if (batch.empty() && this->queue.is_closed())
            return;
        this->drop_or_void_expired(batch);
        const std::uint64_t time_ms = this->choose_time();
        for (const pending_pointer& pending : batch) {
            pending->record.set_author(this->author);
            pending->record.set_sequence(++this->last_sequence);
            pending->record.set_time_ms(time_ms);
            const std::lock_guard lock(this->unconfirmed_mutex);
            this->unconfirmed.emplace(pending->record.sequence(), pending);
        }
        // Later records wait until this batch is settled, so that the sequence numbers reach the log in order.
        while (!batch.empty() && !this->append_batch(*log, timeout, batch)) {
            if (this->stopping)
                return;
            std::this_thread::sleep_for(retry_delay);
            this->drop_resolved(batch);
            this->drop_or_void_expired(batch);
            this->expire_backlog();
        }
    }
}

} // namespace wigeon
