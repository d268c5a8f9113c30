// The decision thread of a scheduler: follows the log, claims and renews the term, plans, and drives the gangs.
// term_election, planner and gang_driver make all decisions; this class passes their results to the log and the
// workers.

#pragma once

#include <atomic>
#include <functional>
#include <future>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "outside/host_list.h"
#include "placement/planner.h"
#include "replica/replica.h"
#include "scheduling/gang_driver.h"
#include "scheduling/renewal_relay.h"
#include "scheduling/term_election.h"
#include "scheduling/worker_call_pool.h"
#include "wigeon.pb.h"

namespace wigeon {

class scheduler_loop {
public:
    // `list_standbys` returns the other live schedulers; `call_standby` asks one of them to renew leases.
    scheduler_loop(const SchedulerSettings& settings, std::string operator_address, replica& state,
                   std::function<std::vector<standby_scheduler>()> list_standbys, renewal_caller call_standby);
    ~scheduler_loop();

    scheduler_loop(const scheduler_loop&) = delete;
    scheduler_loop& operator=(const scheduler_loop&) = delete;

    void start();
    void stop();

    [[nodiscard]] bool is_holder() const { return this->holds_term; }

    // Why each waiting job waits, by job id, from the newest planning round of this holder.
    [[nodiscard]] std::map<std::string, std::string> wait_reasons() const;

    [[nodiscard]] worker_set unreachable_workers() const;

private:
    struct pending_decisions {
        std::future<apply_result> outcome;
        std::size_t count = 0;
    };

    void run();
    void run_host_list();
    void run_snapshots();
    void update_term(steady_time now);
    void finish_term_write();
    void handle_worker_results();
    void send_due_orders(steady_time now);
    void step_down_if_cut_off(steady_time now);
    void update_assignments(steady_time now);
    void send_messages(std::vector<worker_message> messages, steady_time now);
    void publish_gauges(const replicated_state& current, const worker_set& unreachable_now) const;
    void decide(steady_time now);
    void write_decisions(std::vector<Decision> decisions, steady_time now);
    bool is_decision_write_pending();
    std::vector<Decision> plan_jobs(const replicated_state& current, steady_time now);

    const SchedulerSettings settings;
    const std::string operator_address;
    replica& state;
    const std::function<std::vector<standby_scheduler>()> list_standbys;
    term_election election;
    planner job_planner;
    gang_driver driver;
    worker_call_pool workers;
    renewal_relay relay;
    renewal_assignments assignments;
    steady_time assigned_at{};

    std::optional<std::future<apply_result>> term_write;
    std::optional<pending_decisions> decision_write;
    std::uint64_t driven_term = 0;
    std::uint64_t planned_changes = 0; // placement_changes() of the state at the newest planning round.
    steady_time planned_at{};

    mutable std::mutex published_mutex;
    std::map<std::string, std::string> reasons; // Guarded by published_mutex.
    worker_set unreachable;                     // Guarded by published_mutex.
    worker_set leaving_workers;                 // Guarded by published_mutex.

    std::atomic<bool> holds_term = false;
    std::atomic<bool> stopping = false;
    std::thread decision_thread;
    std::thread host_list_thread;
    std::thread snapshot_thread;
};

} // namespace wigeon
