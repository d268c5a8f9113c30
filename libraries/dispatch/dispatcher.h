// The leader's decisions: which waiting unit is placed where, which running one is stopped, and which executors are
// trusted. Owns the ledger and the book; touches no network and no clock.

#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "dispatch/advice_desk.h"
#include "dispatch/dispatch_event.h"
#include "dispatch/executor_book.h"
#include "dispatch/placement.h"
#include "dispatch/room_maker.h"
#include "dispatch/run_ledger.h"
#include "dispatch/slot_table.h"
#include "dispatch/waiting_work.h"
#include "jobs/fleet_policy.h"

namespace wigeon {

struct dispatch_bounds {
    milliseconds longest_lease{0};
    milliseconds stop_time{0}; // What a stop takes at most.
    milliseconds look_age{0};  // An executor whose last look is older gets no new task.
};

// What goes to the store as one append, and what becomes valid with it.
struct dispatch_changes {
    struct job_record {
        std::string job;
        records::JobProgress progress;
    };
    struct noted_ends {
        std::string executor;
        std::uint64_t born_ms = 0;
        std::uint64_t last_end = 0;
    };

    std::vector<job_record> records;
    std::vector<start_order> starts;
    std::vector<noted_ends> ends;

    [[nodiscard]] bool is_empty() const { return this->records.empty() && this->ends.empty(); }
};

class dispatcher {
public:
    dispatcher(const dispatch_bounds& bounds, boot_time leading_since);

    dispatcher(const dispatcher&) = delete;
    dispatcher& operator=(const dispatcher&) = delete;

    void set_policy(const fleet_policy& changed);

    void add_job(const std::string& id, const records::Submission& submission, const records::JobProgress& progress,
                 std::uint64_t wall_ms, boot_time now);
    void cancel_job(std::string_view id, boot_time now);

    void update_executor(const executor_entry& entry, boot_time now);
    void remove_executor(std::string_view id, boot_time now);
    void take_look(std::string_view executor_id, const look_report& report, boot_time sent_at, boot_time now);
    void take_start_answer(const start_order& order, start_answer answer, boot_time now);
    void take_stop_answer(const stop_order& order, bool is_acknowledged, boot_time now);

    // A question to the advisor, if one is due and none is under way; the answer is owed to take_advice.
    std::optional<advice_question> take_question(boot_time now) { return this->advice.take_question(now); }
    void take_advice(const advice_question& question, const std::optional<advice_answer>& answer, boot_time sent_at,
                     boot_time now)
    {
        this->advice.take_answer(question, answer, sent_at, now);
    }

    // Places waiting units and stops others for them.
    void decide(std::uint64_t wall_ms, boot_time now);

    // The changes since the last call. The next call must wait until these are in the store.
    dispatch_changes collect_changes();

    // Marks the placements as valid; returns the orders that are still wanted.
    std::vector<start_order> confirm_changes(const dispatch_changes& changes, boot_time now);

    std::vector<stop_order> collect_stops(boot_time now) { return this->ledger.collect_stops(now); }

    [[nodiscard]] executor_book& executors() { return this->book; }
    [[nodiscard]] const executor_book& executors() const { return this->book; }
    // Whether the stopped run still waits for a look that does not show it.
    [[nodiscard]] bool awaits_denial(const stop_order& order) { return this->ledger.awaits_denial(order.target); }
    [[nodiscard]] milliseconds stop_time() const { return this->bounds.stop_time; }
    [[nodiscard]] run_ledger& runs() { return this->ledger; }

    // Decisions since the last call.
    std::vector<dispatch_event> take_events() { return this->events.take(); }

private:
    static placement_need make_need(const job_run& job, const unit& part, boot_time now);
    [[nodiscard]] bool is_known_not_to_fit(const placement_need& need) const;
    [[nodiscard]] std::optional<std::vector<std::size_t>> find_any_places(placement_need need,
                                                                          count_on_executor present) const;
    void place_step(const waiting_step& waiting, boot_time now);
    std::optional<std::vector<std::string>> place_unit(const waiting_step& waiting, std::uint32_t unit_row,
                                                       boot_time now);
    void move_stuck_units(boot_time now);
    void move_if_stuck(job_run& job, unit& part, boot_time now);

    dispatch_bounds bounds;
    executor_book book;
    run_ledger ledger;
    fleet_policy policy;
    // Of the round.
    slot_table slots;
    waiting_work work;
    advice_desk advice;
    std::vector<placement_need> failed_needs; // What did not fit.
    dispatch_events events;
    room_maker room;
    std::optional<boot_time> moved_at;
};

} // namespace wigeon
