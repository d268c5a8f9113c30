// The queue of answers, and the reads that wait for a record.

#include "models/shared_bandwidth_store.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace wigeon {

namespace {

constexpr milliseconds latency{4};         // Of an answer that does not wait for others.
constexpr std::size_t record_overhead = 5; // Bytes of the lengths of a record and its key.
constexpr std::size_t page_records = 500;
constexpr std::size_t page_bytes = 1'048'576;
constexpr std::size_t page_item_overhead = 60; // Bytes of the field names of an item in a page.

std::size_t count_bytes(const stored_record& record)
{
    return record_overhead + record.content.key.size() + (record.content.value ? record.content.value->size() : 0);
}

} // namespace

shared_bandwidth_store::shared_bandwidth_store(simulated_scheduler& event_loop, double bytes_per_ms)
    : scheduler(event_loop), bandwidth(bytes_per_ms), drained_at(event_loop.now())
{
}

void shared_bandwidth_store::set_bandwidth(double bytes_per_ms)
{
    this->drain_backlog();
    this->bandwidth = bytes_per_ms;
}

void shared_bandwidth_store::drain_backlog()
{
    const auto elapsed = static_cast<double>((this->scheduler.now() - this->drained_at).count());
    this->backlog_bytes = std::max(0.0, this->backlog_bytes - elapsed * this->bandwidth);
    this->drained_at = this->scheduler.now();
}

void shared_bandwidth_store::send(std::size_t bytes, milliseconds timeout, std::function<void()> answer,
                                  std::function<void()> fail)
{
    this->drain_backlog();
    this->backlog_bytes += static_cast<double>(bytes);
    const milliseconds delay = latency + milliseconds(static_cast<std::int64_t>(this->backlog_bytes / this->bandwidth));
    if (delay > timeout) {
        ++this->reads_failed;
        this->scheduler.call_after(timeout, std::move(fail));
        return;
    }
    this->bytes_read += bytes;
    this->scheduler.call_after(delay, std::move(answer));
}

void shared_bandwidth_store::append(std::string_view topic, std::span<const keyed_record> records,
                                    const append_condition& condition, std::function<void(append_result)> done)
{
    const append_result result = this->model.append(std::string(topic), records, condition);
    this->scheduler.call_after(latency, [result, done = std::move(done)] { done(result); });
    const auto first_woken = std::stable_partition(this->waiting.begin(), this->waiting.end(),
                                                   [&](const waiting_read& other) { return other.topic != topic; });
    const std::vector<waiting_read> woken(std::make_move_iterator(first_woken),
                                          std::make_move_iterator(this->waiting.end()));
    this->waiting.erase(first_woken, this->waiting.end());
    for (const waiting_read& request : woken)
        this->serve_read(request);
}

void shared_bandwidth_store::append_unkeyed(std::string_view topic, std::string_view record,
                                            const append_condition& condition, std::function<void(append_result)> done)
{
    const std::vector<keyed_record> records{{"", std::string(record)}};
    this->append(topic, records, condition, std::move(done));
}

void shared_bandwidth_store::read(std::string_view topic, std::uint64_t from, const read_bounds& bounds,
                                  std::function<void(read_result)> done)
{
    waiting_read request{std::string(topic), from, bounds, std::move(done), this->scheduler.now() + bounds.wait};
    const bool is_at_end = this->model.read(request.topic, from, 1).records.empty();
    if (!is_at_end || bounds.wait == milliseconds(0)) {
        this->serve_read(request);
        return;
    }
    this->waiting.push_back(std::move(request));
    this->scheduler.call_after(bounds.wait, [this] {
        const auto is_over = [this](const waiting_read& other) { return other.wait_end <= this->scheduler.now(); };
        std::vector<waiting_read> over;
        std::copy_if(this->waiting.begin(), this->waiting.end(), std::back_inserter(over), is_over);
        std::erase_if(this->waiting, is_over);
        for (const waiting_read& ended : over)
            this->serve_read(ended);
    });
}

void shared_bandwidth_store::serve_read(const waiting_read& request)
{
    const std::size_t most_records = request.bounds.max_bytes / record_overhead + 1;
    read_result result = this->model.read(request.topic, request.from, most_records);
    std::size_t bytes = 0;
    std::size_t count = 0;
    for (; count < result.records.size(); ++count) {
        const std::size_t next = count_bytes(result.records[count]);
        if (count > 0 && bytes + next > request.bounds.max_bytes)
            break;
        bytes += next;
    }
    result.records.resize(count);
    this->send(
        bytes, request.bounds.timeout, [result, done = request.done] { done(result); },
        [done = request.done] { done(read_result{}); });
}

void shared_bandwidth_store::read_unkeyed(std::string_view topic, std::uint64_t from,
                                          std::function<void(read_result)> done)
{
    this->read(topic, from, {}, std::move(done));
}

void shared_bandwidth_store::read_newest(std::string_view topic, std::string_view after, milliseconds timeout,
                                         std::function<void(newest_page)> done)
{
    newest_page page = this->model.read_newest(std::string(topic), std::string(after), page_records);
    std::size_t bytes = 0;
    std::size_t count = 0;
    for (; count < page.records.size() && bytes < page_bytes; ++count)
        bytes += page_item_overhead + count_bytes(page.records[count]) * 4 / 3; // Values are in base64.
    page.has_more = page.has_more || count < page.records.size();
    page.records.resize(count);
    this->send(
        bytes, timeout, [page, done] { done(page); }, [done] { done(newest_page{}); });
}

} // namespace wigeon
