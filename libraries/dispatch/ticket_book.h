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
struct advice_question {
    std::string step; // "JOB.OCCURRENCE.STEP".
    std::vector<std::string> executors;
    milliseconds longest_answer{0}; // What the advisor needs for it.
};

struct advice_answer {
    std::vector<ticket> tickets; // Executors that are not among them may not run the step.
    milliseconds valid_for{0};   // From the answer on.
};

class ticket_book {
public:
    // The question was sent at `sent_at`; tickets count from there, since the answer may have taken its time.
    void take_answer(const advice_question& question, const advice_answer& answer, boot_time sent_at);

    // An executor refused the ticket; its life may have ended.
    void drop(std::string_view step, std::string_view executor);

    // Nothing when there is none that is still valid when a start arrives.
    [[nodiscard]] std::optional<std::string_view> find(std::string_view step, std::string_view executor,
                                                       boot_time now) const;

    // The advisor's verdict about a step does not change.
    [[nodiscard]] bool is_turned_down(std::string_view step, std::string_view executor) const;

    // Forgets the steps that are not among these.
    void keep_only(const std::set<std::string, std::less<>>& steps);

private:
    struct kept_ticket {
        std::string text;
        boot_time valid_until;
    };
    struct step_advice {
        std::map<std::string, kept_ticket, std::less<>> tickets; // By executor.
        std::set<std::string, std::less<>> turned_down;
    };

    std::map<std::string, step_advice, std::less<>> steps;
};

} // namespace wigeon
