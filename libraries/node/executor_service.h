// Interface of the leader's calls to executors. All calls return at once; the handler runs later on the event loop.

#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

#include "dispatch/executor_registry.h"
#include "dispatch/run_tracker.h"

namespace wigeon {

enum class request_outcome : std::uint8_t {
    accepted,
    fenced, // The executor has seen a higher fencing token.
    no_capacity,
    ticket_refused, // Not carried out; the executor rejects the advisor's ticket.
    refused,        // Any other refusal; certainly not carried out.
    unreachable,    // Certainly not sent.
    unknown,        // No definite answer: may be carried out now, later or never.
};

// Whether the stopped run certainly can't start any more. An executor that refuses a stop has done nothing: a start
// order that it still holds may be carried out.
inline bool is_stop_acknowledged(request_outcome outcome)
{
    return outcome == request_outcome::accepted;
}

struct poll_request {
    std::uint64_t fencing_token = 0;
    std::uint64_t end_to_acknowledge = 0;       // The executor may delete its ends up to this sequence; 0: none.
    std::optional<milliseconds> lease_deadline; // On the executor's clock; none: leases stay as they are.
    milliseconds wait{0}; // Longest time for which the executor waits for a task to end before it answers.
};

struct poll_result {
    request_outcome outcome = request_outcome::unknown;
    poll_report report; // Set when accepted.
    std::string reason; // Why it was not accepted; for the log.
};

// An executor's address, and the id that a process at this address must have to accept the call.
struct executor_target {
    std::string id;
    std::string address;
    std::uint64_t incarnation_ms = 0; // Incarnation that the call is meant for; 0: not known.
};

struct order_result {
    request_outcome outcome = request_outcome::unknown;
    std::string reason; // Why it was not accepted, as stated by the executor or by the client; for logs and metrics.
};

class executor_service {
public:
    virtual ~executor_service() = default;

    // A call that certainly reaches only the incarnation of the target carries the whole request. Another one leaves
    // out the end to acknowledge, the lease and the wait, which could harm a later incarnation.
    virtual void poll(const executor_target& target, const poll_request& request,
                      std::function<void(poll_result)> done) = 0;
    // The order reaches only the incarnation of the target, however late. It is not sent when that incarnation does not
    // answer at the address any more (unreachable).
    virtual void start(const executor_target& target, const start_order& order, milliseconds lease_deadline,
                       std::uint64_t fencing_token, std::function<void(order_result)> done) = 0;
    // Reaches a later incarnation as well, which then refuses the run.
    virtual void stop(const executor_target& target, const stop_order& order, std::uint64_t fencing_token,
                      std::function<void(order_result)> done) = 0;

    // Closes the connections to an executor that has left.
    virtual void close_connections(const std::string& address) = 0;
};

} // namespace wigeon
