// Which executors may run which steps, where a queue's advisor decides that: the tickets that it gave, and whom it
// turned down.

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
    std::string text; // Goes with each start there.
};

// A question about one step of one occurrence of a job.
struct advice_request {
    std::string step; // "JOB.OCCURRENCE.STEP".
    std::vector<std::string> executors;
    milliseconds decision_time{0}; // What the advisor needs for it.
};

struct advice_response {
    std::vector<ticket> tickets; // Executors that are not among them may not run the step.
    milliseconds valid_for{0};   // From the answer on.
};

class ticket_cache {
public:
    // The question was sent at `sent_at`; tickets count from there, since the answer may have taken its time.
    void store_response(const advice_request& request, const advice_response& response, boot_time sent_at);

    // An executor refused the ticket; its life may have ended.
    void drop(std::string_view step, std::string_view executor);

    // Nothing when there is none that is still valid when a start arrives.
    [[nodiscard]] std::optional<std::string_view> find(std::string_view step, std::string_view executor,
                                                       boot_time now) const;

    // The advisor's verdict about a step does not change.
    [[nodiscard]] bool is_denied(std::string_view step, std::string_view executor) const;

    // Forgets the steps that are not among these.
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
