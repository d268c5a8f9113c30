// Serves a caller's request: claims its idempotency key, waits for admission to an executor, sends the request and
// retries where that is safe.

#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <mutex>
#include <string>

#include "replica/replica.h"
#include "routing/admission.h"
#include "routing/connection_pool.h"
#include "routing/executor_exchange.h"
#include "routing/retry_budget.h"
#include "wigeon.pb.h"

namespace wigeon {

struct caller_request {
    std::string account;
    std::string job_class;
    std::string key;                 // Empty when the caller sent none.
    std::uint64_t first_sent_ms = 0; // When the caller first sent the key; 0 when not stated.
    milliseconds time_limit{0};
    executor_request outgoing;
};

class request_service {
public:
    // `is_alive` returns true when the process of that incarnation is known to be alive.
    request_service(const EntrySettings& settings, replica& state, admission& admission_control, connection_pool& pool,
                    std::function<bool(std::uint64_t)> is_alive);

    // Returns the executor's complete response or throws error. A request that is not idempotent is run at most once.
    executor_response serve(const caller_request& request);

    [[nodiscard]] std::uint32_t in_flight() const { return this->in_flight_count; }

private:
    struct attempt_result {
        executor_response response;
        std::string executor;
    };

    admission_request make_slot_request(const caller_request& request, steady_time deadline) const;
    void claim_key(const caller_request& request, steady_time deadline);
    void record_key_outcome(const caller_request& request, KeyOutcome outcome, int status);
    [[noreturn]] void refuse_key(const caller_request& request) const;
    executor_response run(const caller_request& request, steady_time deadline);
    // Sets `may_have_run` when an attempt without a complete response may have run.
    executor_response run_attempts(const caller_request& request, steady_time deadline, bool& may_have_run);
    // Reuses a kept-alive connection only if it carried a response within the last `max_idle`.
    attempt_result try_once(const caller_request& request, const admission_request& slot_request, milliseconds max_idle,
                            steady_time deadline);
    bool may_retry(const caller_request& request, const executor_response& response, steady_time deadline);
    [[noreturn]] static void throw_exchange_error(const executor_response& response, steady_time deadline);

    const EntrySettings settings;
    replica& state;
    admission& admission_control;
    connection_pool& pool;
    std::function<bool(std::uint64_t)> is_alive;
    std::mutex budget_mutex;
    retry_budget budget; // Guarded by budget_mutex.
    std::atomic<std::uint32_t> in_flight_count = 0;
};

} // namespace wigeon
