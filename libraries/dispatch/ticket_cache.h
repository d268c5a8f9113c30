// Caches the answers of a queue's advisor: the tickets that let executors run a step, and the executors that were
// denied one.

#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "base/time.h"

namespace wigeon {

struct ticket {
    std::string executor;
    std::string text; // Sent with each start on the executor.
};

// Asks which of the executors may run one step of one occurrence of a job.
struct advice_request {
    std::string step; // "JOB.OCCURRENCE.STEP".
    std::vector<std::string> executors;
    milliseconds decision_time{0}; // Time that the advisor needs to answer.
};

struct advice_response {
    std::vector<ticket> tickets; // Executors of the request without a ticket may not run the step.
    milliseconds valid_for{0};   // From the time of the answer.
};

class ticket_cache {
public:
    // Stores tickets and denials. The validity of tickets counts from `sent_at`, when the request was sent, since the
    // response may have been delayed.
    void store_response(const advice_request& request, const advice_response& response, boot_time sent_at);

    // Drops a ticket that the executor refused. The executor may have restarted since the ticket was granted.
    void drop(std::string_view step, std::string_view executor);

    // Nothing if there is no ticket that will still be valid when a start arrives at the executor.
    [[nodiscard]] std::optional<std::string_view> find(std::string_view step, std::string_view executor,
                                                       boot_time now) const;

    // Whether the advisor denied the executor a ticket. A denial is final for the step.
    [[nodiscard]] bool is_denied(std::string_view step, std::string_view executor) const;

    // Removes all steps that are not among these.
    void keep_only(const std::set<std::string, std::less<>>& steps);

private:
    struct cached_ticket {
        std::string text;
        boot_time valid_until;
    };
    struct step_advice {
        std::map<std::string, cached_ticket, std::less<>> tickets; // By executor.
        std::set<std::string, std::less<>> denied;
    };

    std::map<std::string, step_advice, std::less<>> steps;
};

} // namespace wigeon
