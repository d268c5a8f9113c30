// Handles the store's answers to a leader's appends.

#include "node/progress_writer.h"

#include <algorithm>
#include <string>
#include <utility>

#include "base/logging.h"
#include "base/metrics.h"
#include "dispatch/executor_registry.h"
#include "store/append_limits.h"

namespace wigeon {

namespace {

// Delay before an append that was rejected or got no answer is sent again.
constexpr milliseconds append_retry_delay{60};

constexpr std::string_view producer_name = "leader";

} // namespace

progress_writer::progress_writer(boost::asio::io_context& event_loop, record_store& backing_store,
                                 std::string_view topic_name, std::uint64_t term, boot_time now)
    : store(backing_store),
      topic(topic_name),
      epoch(term + 1),
      retry_timer(event_loop),
      append_started_at(now),
      last_confirmed(now)
{
}

void progress_writer::fence_former_leader(std::function<void(progress_outcome)> completion_handler)
{
    this->append({}, std::move(completion_handler));
}

void progress_writer::append(std::span<const keyed_record> new_records,
                             std::function<void(progress_outcome)> completion_handler)
{
    this->records = new_records;
    this->done = std::move(completion_handler);
    this->send_next();
}

void progress_writer::send_next()
{
    this->in_flight_count = take_append(this->records, this->store.limits()).size();
    if (this->in_flight_count < this->records.size())
        log_event("append_divided", {{"topic", this->topic},
                                     {"records", std::to_string(this->records.size())},
                                     {"bytes", std::to_string(measure_append(this->records))}});
    this->append_started_at = boot_clock::now();
    this->send();
}

void progress_writer::stop()
{
    this->is_stopped = true;
    this->done = nullptr;
    this->retry_timer.cancel();
}

bool progress_writer::has_timed_out(boot_time now) const
{
    return now - std::max(this->append_started_at, this->last_confirmed) > max_unconfirmed_leadership;
}

void progress_writer::send()
{
    append_condition condition;
    condition.producer = {std::string(producer_name), this->epoch, this->next_sequence};
    this->store.append(this->topic, this->records.first(this->in_flight_count), condition,
                       [self = this->shared_from_this()](const append_result& result) { self->handle_result(result); });
}

void progress_writer::handle_result(const append_result& result)
{
    if (this->is_stopped)
        return;
    switch (result.status) {
    case append_status::done:
        ++this->next_sequence;
        this->handle_done();
        return;
    case append_status::fenced:
    case append_status::condition_failed:
        this->finish(progress_outcome::fenced);
        return;
    case append_status::out_of_sequence: {
        // No other process uses this epoch, so an expected number that is higher by one means that the append was done.
        // An append without records only has to learn the number.
        log_event("append_out_of_sequence", {{"sent", std::to_string(this->next_sequence)},
                                             {"expected", std::to_string(result.expected_sequence)}});
        const bool is_done = this->records.empty() || result.expected_sequence == this->next_sequence + 1;
        this->next_sequence = result.expected_sequence;
        if (is_done) {
            this->handle_done();
            return;
        }
        break;
    }
    case append_status::refused: {
        const auto in_flight = this->records.first(this->in_flight_count);
        log_event("append_refused", {{"topic", this->topic},
                                     {"records", std::to_string(in_flight.size())},
                                     {"bytes", std::to_string(measure_append(in_flight))}});
        break;
    }
    case append_status::rejected:
    case append_status::unknown:
        break;
    }
    count_retry(result.status == append_status::unknown ? "append_lost" : "append_rejected");
    if (this->has_timed_out(boot_clock::now()))
        this->finish(progress_outcome::timed_out);
    else
        this->schedule_retry();
}

void progress_writer::schedule_retry()
{
    this->retry_timer.expires_after(append_retry_delay);
    this->retry_timer.async_wait([self = this->shared_from_this()](const boost::system::error_code& reason) {
        if (!reason && !self->is_stopped)
            self->send();
    });
}

void progress_writer::handle_done()
{
    this->last_confirmed = boot_clock::now();
    this->confirmed_append_started_at = this->append_started_at;
    if (this->in_flight_count > 0)
        process_metrics().observe_ms("wigeon_commit_ms",
                                     static_cast<double>((this->last_confirmed - this->append_started_at).count()));
    this->records = this->records.subspan(this->in_flight_count);
    if (this->records.empty())
        this->finish(progress_outcome::done);
    else
        this->send_next();
}

void progress_writer::finish(progress_outcome outcome)
{
    this->records = {};
    const auto handler = std::exchange(this->done, nullptr);
    handler(outcome);
}

} // namespace wigeon
