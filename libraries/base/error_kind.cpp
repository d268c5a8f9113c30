// The response for each error kind. Entries are in the order of the enumeration; a static_assert checks this.

#include "base/error_kind.h"

#include "base/json.h"

namespace wigeon {

namespace {

using enum execution_status;

constexpr std::array<error_response, error_kind_count> responses{{
    {error_kind::malformed_request, "malformed_request", 400, "the request is malformed", did_not_run, false, 0},
    {error_kind::unknown_account, "unknown_account", 403, "the account is not configured", did_not_run, false, 0},
    {error_kind::unauthorized, "unauthorized", 401, "the token does not prove the account", did_not_run, false, 0},
    {error_kind::unknown_class, "unknown_class", 400, "the job class is not configured", did_not_run, false, 0},
    {error_kind::unknown_job, "unknown_job", 404, "no such job is known", did_not_run, false, 0},
    {error_kind::body_too_large, "body_too_large", 413, "the body exceeds its limit", did_not_run, false, 0},
    {error_kind::key_conflict, "key_conflict", 409, "the key was used for a different request", did_not_run, false, 0},
    {error_kind::key_in_progress, "key_in_progress", 409, "the first request with this key may still run", may_have_run,
     true, 1000},
    {error_kind::key_ran, "key_ran", 409, "the request with this key ran already", ran, false, 0},
    {error_kind::key_may_have_run, "key_may_have_run", 409, "the request with this key may have run", may_have_run,
     false, 0},
    {error_kind::key_expired, "key_expired", 409, "the key is older than its promise", may_have_run, false, 0},
    {error_kind::never_fits, "never_fits", 422, "the job can never run on this fleet", did_not_run, false, 0},
    {error_kind::too_many_jobs, "too_many_jobs", 429, "the account has too many jobs", did_not_run, true, 60'000},
    {error_kind::too_many_keys, "too_many_keys", 429, "the account has too many keys", did_not_run, true, 10'000},
    {error_kind::queue_full, "queue_full", 429, "the queue of the account is full", did_not_run, true, 500},
    {error_kind::deadline_in_queue, "deadline_in_queue", 503, "the deadline passed before the request was sent",
     did_not_run, true, 1000},
    {error_kind::no_executor, "no_executor", 503, "no executor takes work", did_not_run, true, 1000},
    {error_kind::executor_refused, "executor_refused", 503, "the executors refused the request", did_not_run, true,
     1000},
    {error_kind::executor_unreachable, "executor_unreachable", 502, "no connection to an executor", did_not_run, true,
     1000},
    {error_kind::answer_broken, "answer_broken", 502, "the answer of the executor broke off", may_have_run, false, 0},
    {error_kind::deadline_after_send, "deadline_after_send", 504, "no whole answer before the deadline", may_have_run,
     false, 0},
    {error_kind::log_unavailable, "log_unavailable", 503, "the platform's log does not answer", did_not_run, true,
     2000},
    {error_kind::log_uncertain, "log_uncertain", 504, "the outcome is unknown; ask again with the same key",
     may_have_run, true, 2000},
    {error_kind::not_ready, "not_ready", 503, "the process does not know the state yet", did_not_run, true, 1000},
    {error_kind::shutting_down, "shutting_down", 503, "the process is shutting down", did_not_run, true, 100},
    {error_kind::version_conflict, "version_conflict", 409, "another version is in force", did_not_run, false, 0},
    {error_kind::invalid_configuration, "invalid_configuration", 422, "the configuration is not valid", did_not_run,
     false, 0},
    {error_kind::infeasible_guarantee, "infeasible_guarantee", 422, "the fleet cannot hold the guarantees", did_not_run,
     false, 0},
    {error_kind::state_gap, "state_gap", 503, "records expired before they were read", did_not_run, true, 5000},
    {error_kind::fenced, "fenced", 409, "a newer term is in force", did_not_run, false, 0},
    {error_kind::internal, "internal", 500, "internal error", may_have_run, false, 0},
}};

constexpr bool is_ordered_by_kind()
{
    for (std::size_t i = 0; i < responses.size(); ++i) {
        if (static_cast<std::size_t>(responses[i].kind) != i)
            return false;
    }
    return true;
}

static_assert(is_ordered_by_kind());

} // namespace

const error_response& find_error_response(error_kind kind)
{
    return responses.at(static_cast<std::size_t>(kind));
}

std::string_view to_string(execution_status value)
{
    switch (value) {
    case did_not_run:
        return "did_not_run";
    case ran:
        return "ran";
    case may_have_run:
        break;
    }
    return "may_have_run";
}

error::error(error_kind kind, const std::string& detail) : std::runtime_error(detail), reported_kind(kind) {}

std::string format_error_body(const error& failure)
{
    const error_response& response = find_error_response(failure.kind());
    json_object body;
    body.add("error", response.name);
    body.add("message", response.message);
    body.add("detail", std::string_view(failure.what()));
    body.add("execution", to_string(response.execution));
    body.add("retryable", response.is_retryable);
    if (response.is_retryable)
        body.add("retry_after_ms", std::uint64_t{response.retry_after_ms});
    return body.to_string();
}

} // namespace wigeon
