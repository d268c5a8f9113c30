// The leader's decisions: which waiting unit is placed where, which running one is stopped, and which executors are
// trusted. Owns the ledger and the book; touches no network and no clock.

#pragma once

#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "dispatch/executor_book.h"
#include "dispatch/placement.h"
#include "dispatch/preemption.h"
#include "dispatch/run_ledger.h"
#include "dispatch/work_order.h"
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

// What a round decided, for the log.
struct dispatch_event {
    std::string name;
    std::string job;
    std::string detail;
};

class dispatcher {
public:
    dispatcher(const dispatch_bounds& bounds, boot_time leading_since);

    void set_policy(const fleet_policy& changed);

    void add_job(const std::string& id, const records::Submission& submission, const records::JobProgress& progress,
                 std::uint64_t wall_ms, boot_time now);
    void cancel_job(std::string_view id, boot_time now);

    void update_executor(const executor_entry& entry, boot_time now);
    void remove_executor(std::string_view id, boot_time now);
    void take_look(std::string_view executor_id, const look_report& report, boot_time sent_at, boot_time now);
    void take_start_answer(const start_order& order, start_answer answer, boot_time now);
    void take_stop_answer(const stop_order& order, bool is_acknowledged, boot_time now);

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
    std::vector<dispatch_event> take_events();

private:
    struct waiting_step {
        job_run* job = nullptr;
        std::uint32_t step_row = 0;
        work_rank rank = work_rank::regular;
        order_key key;
        bool is_in_time = false;
        milliseconds slack{0}; // Until it must begin to end in time, by its estimates.
    };

    struct running_unit {
        job_run* job = nullptr;
        unit* part = nullptr;
        work_rank rank = work_rank::regular;
        bool is_checkpointing = false;
        bool is_stopping = false;
    };

    void build_slots(boot_time now);
    std::vector<waiting_step> list_waiting(boot_time now);
    [[nodiscard]] work_rank find_rank(const job_run& job) const;
    [[nodiscard]] job_prospect find_prospect(const job_run& job, boot_time now) const;
    // The longest chain of steps by their estimates; of those that are not done, or of all.
    [[nodiscard]] milliseconds find_chain(const job_run& job, bool is_whole) const;
    void count_urgent_demand();
    static placement_need make_need(const job_run& job, const unit& part, boot_time now);
    [[nodiscard]] bool is_known_not_to_fit(const placement_need& need) const;
    [[nodiscard]] bool is_overdue(const unit& part, boot_time now) const;
    [[nodiscard]] std::optional<std::vector<std::size_t>> find_any_places(placement_need need,
                                                                          count_on_executor present) const;
    void place_step(const waiting_step& waiting, boot_time now);
    std::optional<std::vector<std::string>> place_unit(const waiting_step& waiting, std::uint32_t unit_row,
                                                       boot_time now);
    void list_stoppable(boot_time now);
    void make_room(const waiting_step& waiting, std::uint32_t unit_row, const placement_need& need,
                   std::span<const std::uint32_t> present, boot_time now);
    void keep_reservation(const unit& part, const resources& each);
    [[nodiscard]] std::vector<std::uint32_t> count_present(const job_run& job, const unit& part) const;
    void avoid_failed(const unit& part, const placement_need& need);
    void move_stuck_units(boot_time now);
    void move_if_stuck(job_run& job, unit& part, boot_time now);
    void add_event(std::string name, std::string job, std::string detail);

    dispatch_bounds bounds;
    executor_book book;
    run_ledger ledger;
    fleet_policy policy;
    std::vector<slot> slots;                                        // Of the round; views into the book.
    std::map<std::string_view, std::size_t> slot_rows;              // By executor.
    std::map<std::string, std::int64_t, std::less<>> urgent_demand; // Accelerators of unended urgent jobs by account.
    std::int64_t pool_accelerators = 0;                             // Of the round's slots.
    std::vector<placement_need> failed_needs;                       // Of the round; what did not fit.
    std::vector<running_unit> running_units;                        // Of the round; a row for each of `stoppable`.
    std::vector<stoppable_unit> stoppable;
    std::optional<preemption_planner> planner; // None until the round needs it.
    std::optional<boot_time> moved_at;
    std::vector<dispatch_event> events;
    std::size_t reservations = 0; // Of the round.
};

} // namespace wigeon
