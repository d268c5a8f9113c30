// Chooses the executors to ask a queue's advisor about, and keeps the tickets that the advisor grants. Used for queues
// whose policy lets only some executors run a step. The advisor takes time for each executor in a request, so a request
// lists only executors that could run the step now, or after a preemption.

#pragma once

#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "dispatch/capacity_table.h"
#include "dispatch/placement.h"
#include "dispatch/ticket_cache.h"
#include "jobs/fleet_policy.h"

namespace wigeon {

class advice_broker {
public:
    void begin_round();

    // Marks the executors that may run the unit: those with a valid ticket, or all if the unit's queue has no advisor.
    void mark_permitted(capacity_table& capacities, const job_run& job, const work_unit& unit, boot_time now);

    // Prepares a request for a unit that did not fit on the permitted executors, unless one is prepared or pending
    // already. It lists executors with enough free resources. If there are none and `may_preempt` is set, it lists
    // executors that have enough resources in total.
    void prepare_request(const capacity_table& capacities, const job_run& job, const work_unit& unit,
                         const placement_need& need, bool may_preempt);

    // Returns the prepared request and marks it as pending. Returns nothing while a request is pending, and for a short
    // time after one that failed.
    std::optional<advice_request> take_request(boot_time now);
    // Stores the response to the pending request. Without a response, the next request waits for a short time.
    void handle_response(const advice_request& request, const std::optional<advice_response>& response,
                         boot_time sent_at, boot_time now);

    [[nodiscard]] std::string find_ticket(const std::string& step, std::string_view executor, boot_time now) const;
    void drop_ticket(const std::string& step, std::string_view executor) { this->tickets.drop(step, executor); }

private:
    // Executors that lack only a ticket to be eligible, and were not denied one. They have enough free resources, or,
    // if `may_be_full`, enough in total.
    [[nodiscard]] std::vector<const executor_capacity*> list_ticket_candidates(const capacity_table& capacities,
                                                                               std::string_view step,
                                                                               const placement_need& need,
                                                                               bool may_be_full) const;

    ticket_cache tickets;
    std::set<std::string, std::less<>> waiting_steps; // Of the current round.
    std::optional<advice_request> next_request;       // Of the current round.
    bool is_request_pending = false;
    std::optional<boot_time> failed_at; // When the last request ended without a response.
};

// "JOB.OCCURRENCE.STEP", the name of the step in requests to the advisor.
std::string make_step_name(const job_run& job, const work_unit& unit);

} // namespace wigeon
