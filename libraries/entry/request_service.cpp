// Runs a request that is not idempotent at most once. Retries idempotent requests, and those that certainly did not
// run, within the retry budget.

#include "entry/request_service.h"

#include <algorithm>
#include <random>

#include "base/metrics.h"
#include "state/configuration.h"

namespace wigeon {

namespace {

// A request that must not be sent twice reuses a kept-alive connection only if that carried a response this recently.
constexpr milliseconds non_idempotent_max_idle{500};
constexpr milliseconds idempotent_max_idle{5000};
constexpr milliseconds max_backoff{50};
constexpr int max_attempts = 4;
constexpr milliseconds key_record_timeout{2000};

class in_flight_guard {
public:
    explicit in_flight_guard(std::atomic<std::uint32_t>& counter) : counter(counter) { ++this->counter; }
    ~in_flight_guard() { --this->counter; }
    in_flight_guard(const in_flight_guard&) = delete;
    in_flight_guard& operator=(const in_flight_guard&) = delete;

private:
    std::atomic<std::uint32_t>& counter;
};

std::string_view find_retry_reason(const executor_response& response)
{
    switch (response.outcome) {
    case exchange_outcome::refused:
        return "executor_refused";
    case exchange_outcome::unreachable:
        return "executor_unreachable";
    case exchange_outcome::failed_answer:
        return "failed_answer";
    default:
        return response.is_timeout ? "silent_connection" : "answer_broken";
    }
}

milliseconds draw_backoff()
{
    thread_local std::minstd_rand random(std::random_device{}());
    return milliseconds(std::uniform_int_distribution<int>(0, static_cast<int>(max_backoff.count()))(random));
}

} // namespace

request_service::request_service(const EntrySettings& settings, replica& state, admission& admission_control,
                                 connection_pool& pool, std::function<bool(std::uint64_t)> is_alive)
    : settings(settings),
      state(state),
      admission_control(admission_control),
      pool(pool),
      is_alive(std::move(is_alive)),
      budget(settings.retry_budget())
{
}

admission_request request_service::make_slot_request(const caller_request& request, steady_time deadline) const
{
    admission_request slot_request;
    slot_request.account = request.account;
    slot_request.job_class = request.job_class;
    slot_request.deadline = deadline;
    this->state.read([&](const replicated_state& current) {
        const Account* account = find_account(current.configuration(), request.account);
        if (account == nullptr)
            throw error(error_kind::unknown_account, "Wigeon-Account: '" + request.account + "' is not configured");
        const JobClass* job_class = find_class(current.configuration(), request.job_class);
        if (job_class == nullptr)
            throw error(error_kind::unknown_class, "Wigeon-Class: '" + request.job_class + "' is not configured");
        slot_request.weights = {account->weight(), job_class->weight()};
    });
    return slot_request;
}

void request_service::refuse_key(const caller_request& request) const
{
    const KeyState key_state = this->state.read([&](const replicated_state& current) {
        const KeyState* found = current.find_key(request.account, request.key);
        return found == nullptr ? KeyState{} : *found;
    });
    const std::string detail = "Idempotency-Key: '" + request.key + "'";
    if (key_state.outcome() == KEY_RAN)
        throw error(error_kind::key_ran, detail + " ran with status " + std::to_string(key_state.status()));
    if (key_state.outcome() == KEY_TAKEN && this->is_alive(key_state.author()))
        throw error(error_kind::key_in_progress, detail + " is in progress");
    // The process that claimed the key is not known to be alive, or it recorded that the request may have run.
    throw error(error_kind::key_may_have_run, detail + " has no known outcome");
}

// Claims the key by a record in the log. The order of the log decides which of several requests with the same key may
// run, also when different entries received them.
void request_service::claim_key(const caller_request& request, steady_time deadline)
{
    // Keys expire by the log's time, which may be ahead of this host's clock.
    const std::uint64_t wall_clock_ms = read_wall_clock_ms();
    const std::uint64_t record_time_ms =
        this->state.read([&](const replicated_state& current) { return current.choose_record_time(wall_clock_ms); });
    const bool is_expired =
        request.first_sent_ms != 0 && request.first_sent_ms + replicated_state::key_lifetime_ms < record_time_ms;
    if (is_expired)
        throw error(error_kind::key_expired, "Wigeon-First-Sent-Ms: older than the lifetime of keys");
    const bool is_known = this->state.read([&](const replicated_state& current) {
        const KeyState* found = current.find_key(request.account, request.key);
        if (found == nullptr)
            current.check_key_quota(request.account);
        return found != nullptr && found->outcome() != KEY_NOT_RUN;
    });
    if (is_known)
        this->refuse_key(request);
    Record record;
    record.mutable_key()->set_account(request.account);
    record.mutable_key()->set_key(request.key);
    record.mutable_key()->set_outcome(KEY_TAKEN);
    const steady_time append_deadline = std::min(deadline, read_steady_clock() + key_record_timeout);
    apply_result result;
    try {
        result = this->state.submit(std::move(record), append_deadline);
    }
    catch (const error& failure) {
        // The request was not sent to an executor, and this entry will not send it later.
        throw error(error_kind::log_unavailable, std::string("the key could not be noted: ") + failure.what());
    }
    if (result.reason == error_kind::too_many_keys)
        throw error(error_kind::too_many_keys, result.detail);
    if (result.outcome != apply_outcome::applied)
        this->refuse_key(request);
}

void request_service::record_key_outcome(const caller_request& request, KeyOutcome outcome, int status)
{
    Record record;
    record.mutable_key()->set_account(request.account);
    record.mutable_key()->set_key(request.key);
    record.mutable_key()->set_outcome(outcome);
    record.mutable_key()->set_status(static_cast<std::uint32_t>(status));
    // The response does not wait for this record. If the record is lost, a request with the same key is refused with
    // key_in_progress, or with key_may_have_run once this process is no longer alive.
    this->state.submit_later(std::move(record), read_steady_clock() + key_record_timeout);
}

executor_response request_service::serve(const caller_request& request)
{
    const in_flight_guard guard(this->in_flight_count);
    const steady_time deadline = read_steady_clock() + request.time_limit;
    const bool is_keyed = !request.key.empty() && !request.outgoing.is_idempotent;
    {
        const std::lock_guard lock(this->budget_mutex);
        this->budget.count_request();
    }
    const admission_request slot_request = this->make_slot_request(request, deadline);
    if (!is_keyed)
        return this->run(request, deadline);
    // Under overload, requests that a full queue refuses must not load the log, which all processes share.
    this->admission_control.check_queue_capacity(slot_request);
    this->claim_key(request, deadline);
    try {
        executor_response response = this->run(request, deadline);
        this->record_key_outcome(request, KEY_RAN, response.status);
        return response;
    }
    catch (const error& failure) {
        const bool did_not_run = find_error_response(failure.kind()).execution == execution_status::did_not_run;
        this->record_key_outcome(request, did_not_run ? KEY_NOT_RUN : KEY_MAY_HAVE_RUN, 0);
        throw;
    }
}

request_service::attempt_result request_service::try_once(const caller_request& request,
                                                          const admission_request& slot_request, milliseconds max_idle,
                                                          steady_time deadline)
{
    const Executor executor = this->admission_control.acquire(slot_request);
    const steady_time begin = read_steady_clock();
    const bool is_idempotent = request.outgoing.is_idempotent;
    executor_connection connection = this->pool.acquire(executor.address(), max_idle, begin);
    const milliseconds read_timeout =
        is_idempotent ? milliseconds(this->settings.suspect_after_ms()) : elapsed_ms(begin, deadline);
    attempt_result result{exchange(connection, request.outgoing, read_timeout, deadline), executor.id()};
    const steady_time end = read_steady_clock();
    const double duration_ms = std::chrono::duration<double, std::milli>(end - begin).count();
    this->admission_control.release(slot_request, executor.id(), result.response.outcome, duration_ms);
    process_metrics().observe_ms("wigeon_exchange_ms", duration_ms);
    if (!connection.is_new && result.response.is_timeout)
        process_metrics().count("wigeon_silent_kept_connections_total");
    const bool is_complete = result.response.status != 0;
    if (is_complete)
        this->pool.release(std::move(connection), end);
    else if (result.response.is_timeout && !connection.is_new)
        // The same fault may have broken the other connections made before this request. Retiring them makes later
        // requests open new ones.
        this->pool.retire(executor.address(), begin);
    return result;
}

bool request_service::may_retry(const caller_request& request, const executor_response& response, steady_time deadline)
{
    const bool is_proven_not_run = response.execution == execution_status::did_not_run;
    const bool is_complete = response.status != 0 && !is_proven_not_run;
    if (is_complete || (!is_proven_not_run && !request.outgoing.is_idempotent))
        return false;
    if (read_steady_clock() + max_backoff >= deadline)
        return false;
    const std::lock_guard lock(this->budget_mutex);
    if (this->budget.try_take())
        return true;
    count_refusal("retry_budget");
    return false;
}

executor_response request_service::run(const caller_request& request, steady_time deadline)
{
    bool may_have_run = false;
    try {
        return this->run_attempts(request, deadline, may_have_run);
    }
    catch (const error& failure) {
        // The last attempt did not run, but an earlier one may have.
        const bool is_reported_not_run = find_error_response(failure.kind()).execution == execution_status::did_not_run;
        if (may_have_run && is_reported_not_run)
            throw error(error_kind::answer_broken, std::string("an earlier attempt may have run; ") + failure.what());
        throw;
    }
}

executor_response request_service::run_attempts(const caller_request& request, steady_time deadline, bool& may_have_run)
{
    admission_request slot_request = this->make_slot_request(request, deadline);
    milliseconds max_idle = request.outgoing.is_idempotent ? idempotent_max_idle : non_idempotent_max_idle;
    for (int attempt = 1;; ++attempt) {
        attempt_result result = this->try_once(request, slot_request, max_idle, deadline);
        const bool is_last = attempt == max_attempts || !this->may_retry(request, result.response, deadline);
        const bool is_complete = result.response.status != 0 && result.response.execution == execution_status::ran;
        if (is_complete)
            return std::move(result.response);
        may_have_run = may_have_run || result.response.execution != execution_status::did_not_run;
        if (is_last)
            throw_exchange_error(result.response, deadline);
        count_retry(find_retry_reason(result.response));
        // A timeout may be caused by a dead connection or by the executor. A retry on a new connection distinguishes
        // the two, so the executor is not excluded.
        if (result.response.outcome == exchange_outcome::timed_out)
            max_idle = milliseconds(0);
        else
            slot_request.excluded.insert(result.executor);
        std::this_thread::sleep_for(draw_backoff());
    }
}

void request_service::throw_exchange_error(const executor_response& response, steady_time deadline)
{
    switch (response.outcome) {
    case exchange_outcome::refused:
        throw error(error_kind::executor_refused, "the last executor tried refused the request");
    case exchange_outcome::unreachable:
        throw error(error_kind::executor_unreachable, "the last executor tried took no connection");
    default:
        break;
    }
    if (response.is_timeout && read_steady_clock() + max_backoff >= deadline)
        throw error(error_kind::deadline_after_send, "no whole answer within the time limit");
    throw error(error_kind::answer_broken, "the exchange with the executor broke off");
}

} // namespace wigeon
