// Whom to ask the advisor about. Answers queues whose policy lets only some executors run a step: asking costs time for
// each executor named, so that only those are named that could take the work now.

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

    // Leaves only executors with a valid ticket to the unit; all of them where its queue has no advisor.
    void mark_permitted(capacity_table& capacities, const job_run& job, const work_unit& unit, boot_time now);

    // The unit did not fit on permitted executors. The first one of a round has its question asked: about executors
    // with room for it, or, if `may_stop_others`, about full ones too when there are no such.
    void prepare_request(const capacity_table& capacities, const job_run& job, const work_unit& unit,
                         const placement_need& need, bool may_preempt);

    // Taken out by the caller, one at a time; the next one must wait for its answer.
    std::optional<advice_request> take_request(boot_time now);
    // Without an answer the question is put again after a pause.
    void handle_response(const advice_request& request, const std::optional<advice_response>& response,
                         boot_time sent_at, boot_time now);

    [[nodiscard]] std::string find_ticket(const std::string& step, std::string_view executor, boot_time now) const;
    void drop_ticket(const std::string& step, std::string_view executor) { this->tickets.drop(step, executor); }

private:
    // Executors that are eligible but for a ticket, and were not turned down.
    [[nodiscard]] std::vector<const executor_capacity*> list_unauthorized(const capacity_table& capacities,
                                                                          std::string_view step,
                                                                          const placement_need& need,
                                                                          bool may_be_full) const;

    ticket_cache tickets;
    std::set<std::string, std::less<>> waiting_steps; // Of the round.
    std::optional<advice_request> next_request;       // Of the round.
    bool is_request_pending = false;
    std::optional<boot_time> failed_at; // When the last question was left without an answer.
};

// "JOB.OCCURRENCE.STEP", as the advisor knows it.
std::string make_step_name(const job_run& job, const work_unit& unit);

} // namespace wigeon
