// Divides the renewal of leases among the schedulers. A renewal starts and stops nothing, so a standby may execute it
// for the holder: the request names only workers, and the standby finds their tasks in its own copy of the state.
// Without this, the renewals of all workers would be the largest part of the holder's control traffic. The functions do
// no I/O and read no clock.

#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "scheduling/worker_client.h"
#include "state/replicated_state.h"
#include "wigeon.pb.h"

namespace wigeon {

struct standby_scheduler {
    std::uint64_t incarnation = 0;
    std::string address; // For requests from other schedulers.
};

// Peer address of the standby that renews for a worker, by worker id. The holder itself renews for workers without an
// entry.
using renewal_assignments = std::map<std::string, std::string, std::less<>>;

// Condition of a standby as its response shows it.
enum class standby_health {
    healthy,
    stale,      // Its state has other tasks or another term, as happens for a moment after each change of the state.
    unanswered, // No response, or an incomplete one.
    cut_off,    // It reached none of the workers. If other calls succeeded, a failed one is attributed to its worker.
};

standby_health assess_standby(const std::optional<RenewalAnswer>& response, std::size_t message_count);

// Returns for how long a standby gets no requests after such a response. Meanwhile the holder renews for its workers.
milliseconds find_backoff(standby_health health);

// Divides the workers among the holder and the standbys by rendezvous hashing: when a scheduler joins or leaves, only
// its own workers are reassigned.
renewal_assignments assign_renewals(const Configuration& configuration, std::uint64_t holder,
                                    std::span<const standby_scheduler> standbys);

// Returns the digest of one task. Digests of several tasks are added up, so that their order does not matter.
std::uint32_t digest_task(std::string_view job, std::uint32_t attempt, std::uint32_t task);

// Returns the request that makes a standby send these messages. All their orders must be renewals.
RenewalQuestion make_renewal_request(std::span<const WorkerOrders> messages);

// Returns the messages that a standby sends to the workers, one for each order of the request. A message is empty if
// the standby's state has another term or other tasks for the worker.
std::vector<WorkerOrders> expand_renewals(const replicated_state& state, const RenewalQuestion& request);

RenewalReport make_renewal_report(const replicated_state& state, const WorkerOrders& sent,
                                  const worker_response& response);

// Reconstructs the worker's response to the message from the standby's report. Tasks that the report does not list as
// changed are running.
worker_response read_renewal_report(const WorkerOrders& message, const RenewalReport& report);

} // namespace wigeon
