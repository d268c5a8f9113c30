// Group commit of callers' writes, and reads of jobs that refresh the node's state from the store.

#include "node/caller_service.h"

#include <algorithm>
#include <utility>

#include "base/logging.h"
#include "base/metrics.h"
#include "jobs/job_keys.h"
#include "store/append_limits.h"

namespace wigeon {

namespace {

// Writes that may wait for the store; further ones are refused at once. A node gets at most a few dozen writes a
// second.
constexpr std::size_t max_pending_writes = 512;

// A write that the store rejects is retried for this long. Longer retries gain nothing: the caller can retry sooner
// itself.
constexpr milliseconds rejected_write_retry_limit{600};

// A write that may be stored is retried for this long. Callers wait 3 s for an answer, so they learn of the uncertain
// outcome in time to retry.
constexpr milliseconds uncertain_write_retry_limit{1'200};

constexpr milliseconds write_retry_delay{80};

// Cancellations of jobs that the store does not hold, for one account. Each takes about 200 bytes in every node and 60
// in the store until its retention is over.
constexpr std::size_t max_early_cancellations = 5'000;

// A caller is answered this long before it stops waiting.
constexpr milliseconds answer_margin{100};

// A read of a job waits this long for the store. Then a known job is answered from the state held here, and an unknown
// one as unavailable.
constexpr milliseconds view_timeout{400};

// A read of a known job is answered without a new store read when the last one was sent less than this ago.
constexpr milliseconds max_view_age{60};

} // namespace

caller_service::caller_service(boost::asio::io_context& loop, record_store& backing_store, node_state& shared_state,
                               caller_service_limits given_limits)
    : timer(loop), store(backing_store), state(shared_state), limits(given_limits)
{
}

access_verdict caller_service::check_access(const queue_policy& queue, std::string_view key, std::string& account,
                                            boot_time now) const
{
    const account_policy* key_owner = key.empty() ? nullptr : this->state.policy()->find_account_by_key(key);
    if (key_owner != nullptr)
        account = key_owner->name;
    if (queue.is_public)
        return access_verdict::allowed;
    const auto as_of = this->state.policy_current_as_of();
    if (!as_of || now - *as_of > this->limits.max_policy_age)
        return access_verdict::stale_policy;
    return key_owner != nullptr ? access_verdict::allowed : access_verdict::unauthorized;
}

void caller_service::submit(const std::string& job, const records::Submission& submission, boot_time now,
                            milliseconds caller_timeout, std::function<void(write_outcome)> done)
{
    const job_entry* entry = this->state.jobs().find(job);
    if (entry != nullptr && entry->submission) {
        done(write_outcome::stored);
        return;
    }
    this->write({job, submission.SerializeAsString()}, now, caller_timeout, std::move(done));
}

void caller_service::cancel(const std::string& job, boot_time now, milliseconds caller_timeout,
                            std::function<void(write_outcome)> done)
{
    const job_entry* entry = this->state.jobs().find(job);
    if (entry != nullptr && (entry->is_cancel_requested || entry->is_final())) {
        done(write_outcome::stored);
        return;
    }
    this->write({make_cancel_key(job), std::string("1")}, now, caller_timeout, std::move(done));
}

void caller_service::cancel_unknown(const std::string& job, const std::string& account, boot_time now,
                                    milliseconds caller_timeout, std::function<void(write_outcome)> done)
{
    records::EarlyCancellation cancellation;
    if (const early_cancellation* known = this->state.jobs().find_early_cancellation(job)) {
        // An older one is recorded anew, since it may be removed soon.
        if (known->applies_to(account) && now - known->read_at < this->limits.early_cancellation_retention / 2) {
            done(write_outcome::stored);
            return;
        }
        cancellation = known->content;
        if (cancellation.accounts().empty()) // Cancels the job whatever its account.
            cancellation.add_accounts("");
    }
    if (this->state.jobs().count_early_cancellations(account) >= max_early_cancellations) {
        count_refusal("too_many_early_cancellations");
        done(write_outcome::refused);
        return;
    }
    const auto& accounts = cancellation.accounts();
    if (std::find(accounts.begin(), accounts.end(), account) == accounts.end())
        cancellation.add_accounts(account);
    this->write({make_cancel_key(job), cancellation.SerializeAsString()}, now, caller_timeout, std::move(done));
}

void caller_service::write(keyed_record record, boot_time now, milliseconds caller_timeout,
                           std::function<void(write_outcome)> done)
{
    if (measure_record(record) > this->store.limits().record_bytes) {
        count_refusal("record_too_large");
        done(write_outcome::too_large);
        return;
    }
    if (this->queued_writes.size() + this->in_flight_writes.size() >= max_pending_writes) {
        count_refusal("write_queue_full");
        done(write_outcome::refused);
        return;
    }
    if (!this->breaker.admit_write(now)) {
        count_refusal("store_out_of_reach");
        done(write_outcome::refused);
        return;
    }
    this->queued_writes.push_back({++this->write_count, std::move(record), now, false, std::move(done)});
    if (caller_timeout > milliseconds(0))
        this->answer_in_time(this->write_count, caller_timeout);
    if (this->in_flight_writes.empty())
        this->send_batch();
}

void caller_service::answer_in_time(std::uint64_t number, milliseconds caller_timeout)
{
    const auto deadline = std::make_shared<boost::asio::steady_timer>(this->timer.get_executor());
    deadline->expires_after(std::max(caller_timeout - answer_margin, milliseconds(0)));
    deadline->async_wait([self = this->shared_from_this(), deadline, number](const boost::system::error_code& reason) {
        if (!reason)
            self->handle_caller_timeout(number);
    });
}

// A write that no append holds, and that none may have stored, is taken back: the caller is told that it did not
// happen.
void caller_service::handle_caller_timeout(std::uint64_t number)
{
    const auto has_number = [number](const pending_write& write) { return write.number == number; };
    const auto in_flight = std::find_if(this->in_flight_writes.begin(), this->in_flight_writes.end(), has_number);
    if (in_flight != this->in_flight_writes.end()) {
        if (const auto answer = std::exchange(in_flight->done, nullptr))
            answer(write_outcome::uncertain);
        return;
    }
    const auto queued = std::find_if(this->queued_writes.begin(), this->queued_writes.end(), has_number);
    if (queued == this->queued_writes.end())
        return;
    const pending_write write = std::move(*queued);
    this->queued_writes.erase(queued);
    write.done(write.is_uncertain ? write_outcome::uncertain : write_outcome::refused);
}

void caller_service::send_batch()
{
    if (this->queued_writes.empty() || !this->in_flight_writes.empty())
        return;
    this->timer.cancel();
    std::vector<keyed_record> records;
    records.reserve(this->queued_writes.size());
    for (const pending_write& write : this->queued_writes)
        records.push_back(write.record);
    const auto batch = take_append(records, this->store.limits());
    const auto batch_end = this->queued_writes.begin() + static_cast<std::ptrdiff_t>(batch.size());
    this->in_flight_writes.assign(std::make_move_iterator(this->queued_writes.begin()),
                                  std::make_move_iterator(batch_end));
    this->queued_writes.erase(this->queued_writes.begin(), batch_end);
    this->store.append(jobs_topic, batch, {}, [self = this->shared_from_this()](const append_result& result) {
        self->handle_append_result(result);
    });
}

void caller_service::handle_append_result(const append_result& result)
{
    const boot_time now = boot_clock::now();
    if (result.status == append_status::done)
        this->breaker.record_success();
    else
        this->breaker.record_failure(now);
    std::vector<pending_write> completed = std::move(this->in_flight_writes);
    this->in_flight_writes.clear();
    std::vector<pending_write> retried;
    std::vector<std::pair<pending_write, write_outcome>> answered;
    for (pending_write& write : completed) {
        if (!write.done)
            continue;
        if (result.status == append_status::done) {
            process_metrics().observe_ms("wigeon_write_ms", static_cast<double>((now - write.submitted_at).count()));
            answered.emplace_back(std::move(write), write_outcome::stored);
            continue;
        }
        write.is_uncertain = write.is_uncertain || result.status == append_status::unknown;
        const milliseconds limit = write.is_uncertain ? uncertain_write_retry_limit : rejected_write_retry_limit;
        if (now - write.submitted_at >= limit) {
            const auto outcome = write.is_uncertain ? write_outcome::uncertain : write_outcome::refused;
            answered.emplace_back(std::move(write), outcome);
        }
        else {
            count_retry(result.status == append_status::unknown ? "write_lost" : "write_rejected");
            retried.push_back(std::move(write));
        }
    }
    const bool has_retries = !retried.empty();
    this->queued_writes.insert(this->queued_writes.begin(), std::make_move_iterator(retried.begin()),
                               std::make_move_iterator(retried.end()));
    for (auto& [write, outcome] : answered)
        write.done(outcome);
    if (has_retries)
        this->schedule_retry();
    else
        this->send_batch();
}

void caller_service::schedule_retry()
{
    this->timer.expires_after(write_retry_delay);
    this->timer.async_wait([self = this->shared_from_this()](const boost::system::error_code& reason) {
        if (!reason)
            self->send_batch();
    });
}

job_view caller_service::make_view(const std::string& job) const
{
    const job_entry* entry = this->state.jobs().find(job);
    if (entry == nullptr || !entry->submission)
        return {job_view::lookup_status::not_found, records::JOB_PHASE_QUEUED};
    const bool is_cancelled = entry->is_cancel_requested && !entry->is_final();
    return {job_view::lookup_status::found, is_cancelled ? records::JOB_PHASE_CANCELLED : entry->progress.phase()};
}

void caller_service::read(const std::string& job, boot_time now, std::function<void(job_view)> done)
{
    const job_entry* entry = this->state.jobs().find(job);
    const bool is_known = entry != nullptr && entry->submission;
    if (is_known && (entry->is_final() || entry->is_cancel_requested)) {
        done(this->make_view(job));
        return;
    }
    const auto as_of = this->state.progress_current_as_of();
    if (is_known && as_of && now - *as_of < max_view_age) {
        done(this->make_view(job));
        return;
    }
    struct pending_read {
        explicit pending_read(boost::asio::steady_timer timeout_timer) : timer(std::move(timeout_timer)) {}
        boost::asio::steady_timer timer;
        bool is_answered = false;
    };
    auto pending = std::make_shared<pending_read>(boost::asio::steady_timer(this->timer.get_executor()));
    auto answer = [self = this->shared_from_this(), pending, job, done = std::move(done)](bool is_current) {
        if (pending->is_answered)
            return;
        pending->is_answered = true;
        pending->timer.cancel();
        job_view result = self->make_view(job);
        // A job is reported as not found only after a store read that was sent after the request.
        if (result.status == job_view::lookup_status::not_found && !is_current)
            result.status = job_view::lookup_status::unavailable;
        done(result);
    };
    pending->timer.expires_after(view_timeout);
    pending->timer.async_wait([answer](const boost::system::error_code& reason) {
        if (!reason)
            answer(false);
    });
    if (is_known) {
        this->state.refresh_progress(answer);
        return;
    }
    this->state.refresh_jobs([self = this->shared_from_this(), answer](bool is_current) {
        if (!is_current) {
            answer(false);
            return;
        }
        self->state.refresh_progress([answer](bool is_progress_current) {
            static_cast<void>(is_progress_current);
            answer(true);
        });
    });
}

std::size_t caller_service::count_waiting(std::string_view queue) const
{
    return this->state.jobs().count_waiting(queue);
}

} // namespace wigeon
