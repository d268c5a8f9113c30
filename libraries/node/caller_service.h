// Serves callers' requests to submit, read and cancel a job and to count a queue's waiting jobs. Any node serves them.
// Submissions and cancellations are in the store before they are acknowledged.

#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "node/circuit_breaker.h"
#include "node/node_state.h"
#include "store/record_store.h"

namespace wigeon {

enum class write_outcome : std::uint8_t {
    stored,
    refused,   // Certainly not stored, neither now nor later.
    uncertain, // May be stored; the caller retries with the same id.
    too_large, // Not stored: the store takes no record of this size.
};

enum class access_verdict : std::uint8_t {
    allowed,
    unauthorized,
    stale_policy, // The configuration held here may be outdated, so the key can't be checked.
};

struct job_view {
    // not_found: the store certainly has no such job. unavailable: the store could not be read in time.
    enum class lookup_status : std::uint8_t { found, not_found, unavailable };
    lookup_status status = lookup_status::unavailable;
    records::JobPhase phase = records::JOB_PHASE_QUEUED;
};

struct caller_service_limits {
    milliseconds max_policy_age{0}; // Keys are not accepted when the configuration was last confirmed longer ago.
    // How long the store keeps the cancellation of a job that it did not hold. Longer than a submission can be on its
    // way to the store.
    milliseconds early_cancellation_retention{0};
};

class caller_service : public std::enable_shared_from_this<caller_service> {
public:
    caller_service(boost::asio::io_context& loop, record_store& store, node_state& state, caller_service_limits limits);

    // Checks whether the API key may use the queue. Sets `account` to the account of the key; leaves it as it is when
    // no account has the key, as for a request to a public queue without a key.
    [[nodiscard]] access_verdict check_access(const queue_policy& queue, std::string_view key, std::string& account,
                                              boot_time now) const;

    // `caller_timeout`: how long the caller waits for the answer; 0: not stated. It is answered in time even if the
    // store is not.
    void submit(const std::string& job, const records::Submission& submission, boot_time now,
                milliseconds caller_timeout, std::function<void(write_outcome)> done);
    void cancel(const std::string& job, boot_time now, milliseconds caller_timeout,
                std::function<void(write_outcome)> done);

    // Cancels a job that the store does not hold: its submission may still be on its way there. A submission of the
    // account that the store gets later is cancelled with it. Refused while too many such cancellations are kept for
    // the account.
    void cancel_unknown(const std::string& job, const std::string& account, boot_time now, milliseconds caller_timeout,
                        std::function<void(write_outcome)> done);
    void read(const std::string& job, boot_time now, std::function<void(job_view)> done);

    [[nodiscard]] std::size_t count_waiting(std::string_view queue) const;

    // Seconds after which a caller may retry a write that was refused.
    [[nodiscard]] std::uint32_t find_retry_after_s(boot_time now) const
    {
        return this->breaker.find_retry_after_s(now);
    }

private:
    // A record whose write a caller waits for.
    struct pending_write {
        std::uint64_t number = 0; // Identifies the write in this process.
        keyed_record record;
        boot_time submitted_at;
        bool is_uncertain = false;               // An append of it got no definite answer, so it may be stored.
        std::function<void(write_outcome)> done; // Empty once the caller has been answered.
    };

    void write(keyed_record record, boot_time now, milliseconds caller_timeout,
               std::function<void(write_outcome)> done);
    void answer_in_time(std::uint64_t number, milliseconds caller_timeout);
    void handle_caller_timeout(std::uint64_t number);
    void send_batch();
    void handle_append_result(const append_result& result);
    void schedule_retry();
    [[nodiscard]] job_view make_view(const std::string& job) const;

    boost::asio::steady_timer timer;
    record_store& store;
    node_state& state;
    caller_service_limits limits;
    circuit_breaker breaker;
    std::uint64_t write_count = 0;
    std::vector<pending_write> queued_writes;    // Together with in_flight_writes at most max_pending_writes.
    std::vector<pending_write> in_flight_writes; // The batch of the append that has no answer yet.
};

} // namespace wigeon
