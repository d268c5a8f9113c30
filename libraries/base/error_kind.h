// The closed list of errors that callers and operators may receive, and the HTTP response for each kind.
// Every refusal, retry and failure is counted under the name of its kind.

#pragma once

#include <array>
#include <cstdint>
#include <stdexcept>
#include <string>
#include <string_view>

namespace wigeon {

enum class error_kind : std::uint8_t {
    malformed_request,
    unknown_account,
    unauthorized,
    unknown_class,
    unknown_job,
    body_too_large,
    key_conflict,
    key_in_progress,
    key_ran,
    key_may_have_run,
    key_expired,
    never_fits,
    too_many_jobs,
    too_many_keys,
    queue_full,
    deadline_in_queue,
    no_executor,
    executor_refused,
    executor_unreachable,
    answer_broken,
    deadline_after_send,
    log_unavailable,
    log_uncertain,
    not_ready,
    shutting_down,
    version_conflict,
    invalid_configuration,
    infeasible_guarantee,
    state_gap,
    fenced,
    internal,
};

constexpr std::size_t error_kind_count = static_cast<std::size_t>(error_kind::internal) + 1;

// Whether the refused or failed request was executed, as far as the system knows.
enum class execution_status : std::uint8_t { did_not_run, may_have_run, ran };

struct error_response {
    error_kind kind;
    std::string_view name;
    int status; // HTTP status.
    std::string_view message;
    execution_status execution;
    bool is_retryable;
    std::uint32_t retry_after_ms; // Delay before the caller should retry; 0 unless retryable.
};

const error_response& find_error_response(error_kind kind);

std::string_view to_string(execution_status value);

// The exception that carries an error kind. Its text names the offending field or the peer and never contains a secret.
class error : public std::runtime_error {
public:
    error(error_kind kind, const std::string& detail);

    [[nodiscard]] error_kind kind() const { return this->reported_kind; }

private:
    error_kind reported_kind;
};

// The JSON body of an error response.
std::string format_error_body(const error& failure);

} // namespace wigeon
