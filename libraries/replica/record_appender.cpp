// Batches on their way, and what becomes of them.

#include "replica/record_appender.h"

#include <iterator>

#include "base/error_kind.h"
#include "base/metrics.h"

namespace wigeon {

namespace {

constexpr milliseconds pause_after_failure{100};
constexpr milliseconds ring_wait{200};
constexpr std::size_t batch_limit = 256;

void fail(std::promise<apply_result>& outcome, error_kind kind, const std::string& detail)
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
    this->ring.close();
    if (this->thread.joinable())
        this->thread.join();
    const std::lock_guard lock(this->unread_mutex);
    for (const auto& [sequence, pending] : this->unread)
        fail(pending->outcome, error_kind::log_uncertain, "the process stopped before the record was read back");
    this->unread.clear();
    while (this->take(milliseconds(0))) {
    }
    for (const pending_pointer& pending : this->backlog)
        fail(pending->outcome, error_kind::log_unavailable, "the process stopped before the record was sent");
    this->backlog.clear();
}

std::future<apply_result> record_appender::submit(Record record, steady_time deadline)
{
    auto pending = std::make_shared<pending_append>();
    pending->record = std::move(record);
    pending->deadline = deadline;
    std::future<apply_result> outcome = pending->outcome.get_future();
    if (!this->ring.try_push(pending)) {
        count_refusal("append_ring_full");
        fail(pending->outcome, error_kind::log_unavailable, "the ring of appends is full");
    }
    return outcome;
}

void record_appender::resolve(const apply_result& result)
{
    if (result.outcome == apply_outcome::duplicate)
        return;
    pending_pointer pending;
    {
        const std::lock_guard lock(this->unread_mutex);
        const auto found = this->unread.find(result.sequence);
        if (found == this->unread.end())
            return;
        pending = found->second;
        this->unread.erase(found);
    }
    const bool has_no_effect = result.outcome == apply_outcome::voided || result.outcome == apply_outcome::stale;
    if (has_no_effect)
        fail(pending->outcome, error_kind::log_unavailable, "the log took the record too late");
    else
        pending->outcome.set_value(result);
}

// Answers those whose deadline passed while their record is neither read back nor voided.
void record_appender::expire(steady_time now)
{
    const std::lock_guard lock(this->unread_mutex);
    for (auto entry = this->unread.begin(); entry != this->unread.end();) {
        // The appending thread has until then to settle the record by a void.
        if (now < entry->second->deadline + this->options.log_timeout) {
            ++entry;
            continue;
        }
        fail(entry->second->outcome, error_kind::log_uncertain, "the record was not read back in time");
        entry = this->unread.erase(entry);
    }
}

// Moves one record from the ring to the backlog. Returns false when none comes within the limit.
bool record_appender::take(milliseconds limit)
{
    if (this->backlog.size() >= ring_capacity)
        return false;
    auto next = this->ring.pop(limit);
    if (!next)
        return false;
    this->backlog.push_back(std::move(*next));
    return true;
}

std::vector<record_appender::pending_pointer> record_appender::gather()
{
    if (this->backlog.empty() && !this->take(ring_wait))
        return {};
    const steady_time end = read_steady_clock() + this->options.window;
    while (this->backlog.size() < batch_limit) {
        const steady_time now = read_steady_clock();
        if (!this->take(now < end ? elapsed_ms(now, end) : milliseconds(0)))
            break;
    }
    const auto count = static_cast<std::ptrdiff_t>(std::min(this->backlog.size(), batch_limit));
    const auto begin = this->backlog.begin();
    std::vector<pending_pointer> batch(std::make_move_iterator(begin), std::make_move_iterator(begin + count));
    this->backlog.erase(begin, begin + count);
    return batch;
}

// While a batch waits for its answer, the records behind it still end at their deadlines.
void record_appender::expire_backlog()
{
    while (this->take(milliseconds(0))) {
    }
    this->drop_expired(this->backlog);
}

// Records that never left this process are dropped at their deadline; those that may be in the log are
// replaced by a void of the same sequence, so that the log decides which of the two takes effect.
void record_appender::drop_expired(std::vector<pending_pointer>& batch)
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
        bool is_waiting = true;
        if (pending->record.sequence() != 0) {
            const std::lock_guard lock(this->unread_mutex);
            is_waiting = this->unread.erase(pending->record.sequence()) > 0;
        }
        if (is_waiting)
            fail(pending->outcome, error_kind::log_unavailable, "the log took no append in time");
        return true;
    });
}

// An append whose answer was lost may have been read back meanwhile.
void record_appender::drop_settled(std::vector<pending_pointer>& batch)
{
    const std::lock_guard lock(this->unread_mutex);
    std::erase_if(batch, [this](const pending_pointer& pending) {
        return pending->is_sent && !this->unread.contains(pending->record.sequence());
    });
}

bool record_appender::append_batch(log_service& log, adaptive_timeout& limit, std::vector<pending_pointer>& batch)
{
    std::vector<std::string> records;
    records.reserve(batch.size());
    for (const pending_pointer& pending : batch)
        records.push_back(pending->record.SerializeAsString());
    log.set_timeout(limit.current());
    const steady_time begin = read_steady_clock();
    try {
        log.append(this->options.stream, records);
        const milliseconds taken = elapsed_ms(begin, read_steady_clock());
        limit.record_success(taken);
        process_metrics().count("wigeon_appends_total");
        process_metrics().observe_ms("wigeon_append_ms", static_cast<double>(taken.count()));
        return true;
    }
    catch (const log_call_error& failure) {
        limit.record_failure(elapsed_ms(begin, read_steady_clock()));
        for (const pending_pointer& pending : batch)
            pending->is_sent = pending->is_sent || !failure.is_unsent();
        count_retry(failure.is_unsent() ? "log_append_unsent" : "log_append_uncertain");
        return false;
    }
}

void record_appender::run()
{
    const auto log = make_http_log_service(this->options.log_address, this->options.log_timeout);
    adaptive_timeout limit(this->options.log_timeout, this->options.longest_call);
    while (!this->stopping || !this->ring.is_closed()) {
        std::vector<pending_pointer> batch = this->gather();
        if (batch.empty() && this->ring.is_closed())
            return;
        this->drop_expired(batch);
        const std::uint64_t time_ms = this->choose_time();
        for (const pending_pointer& pending : batch) {
            pending->record.set_author(this->author);
            pending->record.set_sequence(++this->last_sequence);
            pending->record.set_time_ms(time_ms);
            const std::lock_guard lock(this->unread_mutex);
            this->unread.emplace(pending->record.sequence(), pending);
        }
        // Later records wait until this batch is settled, so that the sequences reach the log in order.
        while (!batch.empty() && !this->append_batch(*log, limit, batch)) {
            if (this->stopping)
                return;
            std::this_thread::sleep_for(pause_after_failure);
            this->drop_settled(batch);
            this->drop_expired(batch);
            this->expire_backlog();
        }
    }
}

} // namespace wigeon
