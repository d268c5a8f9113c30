// Shares the renewing of leases among the schedulers. Renewing starts and stops nothing, so a standby may do it on the
// holder's word: the holder names workers only, and the standby finds their tasks in its own copy of the state. Without
// this, the renewals of all workers would be the largest part of the holder's control traffic. Pure functions.

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
    std::string address; // For peers.
};

// The peer address of the standby that renews for a worker, by worker id. The holder renews for the others itself.
using renewal_assignments = std::map<std::string, std::string, std::less<>>;

// What a standby's answer says of the standby.
enum class standby_health {
    healthy,
    stale,      // It knows other tasks or another term, as for a moment after each change of the state.
    unanswered, // No answer, or not a whole one.
    cut_off,    // It reached none of the workers. A failed call beside others that succeeded is the worker's affair.
};

standby_health assess_standby(const std::optional<RenewalAnswer>& answer, std::size_t message_count);

// For how long a standby is passed over after such an answer, during which the holder renews for its workers.
milliseconds find_backoff(standby_health health);

// Divides the workers among the holder and the helpers by rendezvous hashing: when one of them comes or goes, only its
// own workers change hands.
renewal_assignments assign_renewals(const Configuration& configuration, std::uint64_t holder,
                                    std::span<const standby_scheduler> standbys);

// Digest of one task. Those of several tasks are added, so that their order is of no importance.
std::uint32_t digest_task(std::string_view job, std::uint32_t attempt, std::uint32_t task);

// The question that stands for these messages, which only renew.
RenewalQuestion make_renewal_question(std::span<const WorkerOrders> messages);

// What a standby sends to the workers: nothing to those whose tasks it knows otherwise. One entry for each order.
std::vector<WorkerOrders> expand_renewals(const replicated_state& state, const RenewalQuestion& question);

RenewalReport make_renewal_report(const replicated_state& state, const WorkerOrders& sent, const worker_answer& answer);

// The answer of the worker to the message that the order stands for.
worker_answer read_renewal_report(const WorkerOrders& message, const RenewalReport& report);

} // namespace wigeon
