// Drives the tasks of placed jobs to the state that the log records: holds all tasks of a gang, releases them only when
// all are held, renews their leases, and stops all when one is lost. Takes reports and returns orders and decisions,
// without I/O or a clock. Orders are idempotent, and a new holder of the term asks the workers before it decides.

#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "base/time.h"
#include "scheduling/gang_view.h"
#include "scheduling/renewal_sharing.h"
#include "scheduling/worker_client.h"
#include "scheduling/worker_connectivity.h"
#include "state/replicated_state.h"
#include "wigeon.pb.h"

namespace wigeon {

// Orders for one worker, in one request.
struct worker_message {
    std::string address;
    WorkerOrders orders;
    steady_time not_after; // Not sent after this time: the process may have been paused since the orders were made.
    bool is_to_unresponsive = false; // The worker did not respond last time; it must not delay the others.
    // Peer address of the standby that may relay it. Empty unless the message renews all tasks of the worker and does
    // nothing else.
    std::string relay_address = {};
};

class gang_driver {
public:
    explicit gang_driver(gang_options options) : options(options), connectivity(options.unresponsive_interval) {}

    // Starts a term: discards the views of gangs and workers from the previous one.
    void begin_term(std::uint64_t term);

    // Returns the orders that are due, one message per worker; no worker has two messages in flight. `may_act` permits
    // starting and stopping tasks; without it, leases are only renewed. Workers of the same standby are renewed
    // together.
    std::vector<worker_message> make_orders(const replicated_state& state, steady_time now, bool may_act,
                                            const renewal_assignments& assignments = {});

    // Takes the response to a message. `sent_at` was read before the message was sent. A relayed response does not show
    // whether this scheduler reaches the worker.
    void handle_response(const WorkerOrders& orders, const worker_response& response, steady_time sent_at,
                         steady_time now, bool is_relayed = false);

    // Makes the orders of a message due again that was not sent, or that a standby was to relay but did not report on.
    void handle_dropped(const WorkerOrders& orders);

    // Returns the state transitions that follow from the reports.
    [[nodiscard]] std::vector<Decision> make_decisions(const replicated_state& state, steady_time now);

    // Returns the workers that were called and have not answered for at least `duration`.
    [[nodiscard]] std::vector<std::string> list_unresponsive(steady_time now, milliseconds duration) const
    {
        return this->connectivity.list_unresponsive(now, duration);
    }

    // True when no worker has answered a direct call for at least `duration`.
    [[nodiscard]] bool is_cut_off(steady_time now, milliseconds duration) const
    {
        return this->connectivity.is_cut_off(now, this->options.ping_interval + duration, duration);
    }

    // Returns the number of tasks that are throttled to their share of the worker.
    [[nodiscard]] std::size_t count_throttled() const;

    // True when a worker answered that a newer term is in force.
    [[nodiscard]] bool is_fenced() const { return this->fenced; }

private:
    void sync_gangs(const replicated_state& state, steady_time now);
    task_view* find_task(const std::string& job, std::uint32_t attempt, std::uint32_t task);
    void handle_usage(const WorkerReports& reports, steady_time now);
    void add_renewals(std::map<std::string, WorkerOrders>& orders, const replicated_state& state, steady_time now,
                      const renewal_assignments& assignments);
    [[nodiscard]] bool needs_only_renewals(const std::string& worker, steady_time now) const;
    [[nodiscard]] bool is_relayable(const std::string& worker, const WorkerOrders& message, steady_time now) const;
    void add_order(WorkerOrders& message, const Job& job, gang_view& gang, std::size_t index, TaskAction action,
                   steady_time now);
    void add_pings(const replicated_state& state, steady_time now, std::map<std::string, WorkerOrders>& orders);
    [[nodiscard]] milliseconds find_check_interval(const gang_view& gang) const;
    void add_gang_orders(const Job& job, gang_view& gang, steady_time now, bool may_act,
                         std::map<std::string, WorkerOrders>& orders);
    [[nodiscard]] TaskAction choose_action(const Job& job, const gang_view& gang, const task_view& task,
                                           steady_time now, bool may_act) const;
    [[nodiscard]] milliseconds find_order_interval(TaskAction action, const gang_view& gang, steady_time now) const;
    std::vector<worker_message> finish_messages(const replicated_state& state, steady_time now,
                                                std::map<std::string, WorkerOrders>& orders,
                                                const renewal_assignments& assignments);
    [[nodiscard]] bool is_ready_to_release(const gang_view& gang) const;

    const gang_options options;
    std::uint64_t term = 0;
    bool fenced = false;
    bool is_first_sync = true;
    std::uint64_t synced_changes = 0; // placement_changes() of the state at the newest sync.
    steady_time next_ping_scan_at{};
    std::map<std::string, gang_view> gangs; // By job id.
    // Job id and index of each task of these gangs, by worker id; rebuilt on each change of the gangs.
    std::map<std::string, std::vector<std::pair<std::string, std::size_t>>> tasks_of_worker;
    worker_connectivity connectivity;
    std::map<std::string, steady_time> next_memory_check_at; // By worker id; see gang_options::usage_report_delay.
    std::map<std::string, std::vector<TaskOrder>> pending_forgets; // TASK_FORGET orders for ended tasks, by worker id.
};

} // namespace wigeon
