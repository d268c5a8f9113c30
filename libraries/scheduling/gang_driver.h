// Brings the tasks of placed jobs to the state that the log decided: holds all tasks of a gang, releases them
// only when all are held, renews their leases, and stops all when one is lost. Pure: orders and decisions come out,
// reports go in. Orders are safe to repeat, and a new holder of the term asks the workers before it decides.

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

// Orders for one worker, with the job attempts they belong to.
struct worker_message {
    std::string address;
    WorkerOrders orders;
    steady_time not_after;           // An older message is not sent: its sender may have been paused.
    bool is_to_unresponsive = false; // The worker did not answer the last time; it must not delay the others.
    std::string relay_address = {};  // Peer address of the standby that can send it as well: it only renews, all tasks.
};

class gang_driver {
public:
    explicit gang_driver(gang_options options) : options(options), connectivity(options.unresponsive_interval) {}

    // Forgets all that was learnt under another term.
    void begin_term(std::uint64_t term);

    // Orders that are due, one message per worker; no worker has two messages under way.
    // `may_act` allows to start and stop, otherwise leases are renewed only.
    // Workers of one group are renewed together.
    std::vector<worker_message> make_orders(const replicated_state& state, steady_time now, bool may_act,
                                            const renewal_assignments& assignments = {});

    // Takes the answer to a message. `sent_at` was read before it was sent. A relayed one says nothing of the way from
    // here to the worker.
    void handle_answer(const WorkerOrders& orders, const worker_answer& answer, steady_time sent_at, steady_time now,
                       bool is_relayed = false);

    // The message was dropped unsent.
    void handle_dropped(const WorkerOrders& orders);

    // Transitions that follow from the reports.
    [[nodiscard]] std::vector<Decision> make_decisions(const replicated_state& state, steady_time now);

    // Workers without an answer for at least this long, among those that were asked.
    [[nodiscard]] std::vector<std::string> list_unresponsive(steady_time now, milliseconds duration) const
    {
        return this->connectivity.list_unresponsive(now, duration);
    }

    // True when no worker answers calls from here for at least the limit.
    [[nodiscard]] bool is_cut_off(steady_time now, milliseconds duration) const
    {
        return this->connectivity.is_cut_off(now, this->options.ping_interval + duration, duration);
    }

    // Running tasks that are throttled to their part of the worker.
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
    std::uint64_t synced_changes = 0; // The state's placement_changes() at the newest refresh.
    steady_time next_ping_scan_at{};
    std::map<std::string, gang_view> gangs; // By job id.
    // Job id and index of each task of these gangs, by worker id; made anew with each change of the gangs.
    std::map<std::string, std::vector<std::pair<std::string, std::size_t>>> tasks_of_worker;
    worker_connectivity connectivity;
    std::map<std::string, steady_time> next_memory_check_at;       // By worker id; see gang_options::usage_lag.
    std::map<std::string, std::vector<TaskOrder>> pending_forgets; // Ended tasks that a worker may drop, by worker id.
};

} // namespace wigeon
