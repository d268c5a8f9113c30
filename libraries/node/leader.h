// One term of leadership: fences off the former leader, loads the state, converts it to the per-unit format if that is
// wanted, polls all executors, and places tasks until the term ends. While it prepares, heartbeats keep the term and
// lease renewals keep the running tasks, so neither depends on how long the preparation takes.

#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "dispatch/dispatcher.h"
#include "node/executor_sessions.h"
#include "node/external_services.h"
#include "node/job_sweeper.h"
#include "node/leader_identity.h"
#include "node/node_state.h"
#include "node/progress_recorder.h"
#include "node/unit_loader.h"

namespace wigeon {

struct leader_options {
    leader_identity identity;
    dispatch_limits limits;
    milliseconds job_retention{0}; // How long callers can read a job that has ended.
    // Of a store that is not in the per-unit format yet. Only once all nodes run a build that reads it.
    bool converts_to_unit_records = false;
    // Nothing is started while the evacuations were last read longer ago than this. None: the deployment has no limit.
    std::optional<milliseconds> max_evacuation_age{};
    // Orders are sent only while the last confirmed append that followers read was begun no longer ago than this.
    // Shorter than the silence after which a follower claims the term, by more than the clocks may differ in that time.
    milliseconds max_confirmation_age{0};
};

enum class leadership_end : std::uint8_t {
    fenced_at_store,
    fenced_at_executor,
    store_out_of_reach,
    resigned,
    isolated, // From the store, and from half of the executors or more.
};

std::string_view to_string(leadership_end end);

class leader : public node_state::job_listener,
               public executor_sessions::listener,
               public std::enable_shared_from_this<leader> {
public:
    leader(boost::asio::io_context& loop, const external_services& external, node_state& state,
           const leader_options& options, std::uint64_t term);
    ~leader() override;

    leader(const leader&) = delete;
    leader& operator=(const leader&) = delete;

    // Calls `on_ended` once, when this process no longer leads.
    void start(std::function<void(leadership_end)> on_ended);

    // Records the resignation, so that another node can claim the term at once, then ends the term.
    void resign();

    void handle_job_change(const std::string& job, boot_time now) override;
    void handle_policy_change(const fleet_policy& policy, boot_time now) override;
    void handle_evacuation_change(boot_time now) override;
    void handle_change() override;
    void handle_fenced() override;
    bool check_leadership(boot_time now) override;
    [[nodiscard]] bool may_send_orders(boot_time now) const override;

    [[nodiscard]] std::uint64_t term() const { return this->own_term; }
    [[nodiscard]] bool is_leading() const { return this->stage == phase::leading; }

private:
    enum class phase : std::uint8_t { fencing, preparing, leading, ended };

    void send_heartbeats();
    void send_heartbeat_if_due(boot_time now);
    void take_over_leases();
    void renew_leases(boot_time now);
    void read_state();
    void read_state_later();
    void handle_state_read(bool is_current);
    void convert_records();
    void load_units();
    void begin_restoring(unit_progress_map units);
    void restore_jobs();
    std::size_t restore_job(const std::string& id, const job_entry& job, boot_time now);
    void begin_leading();
    void add_job(const std::string& id, const job_entry& job, const records::JobProgress& progress, boot_time now);
    void finish(leadership_end end);

    void run_round();
    void decide(boot_time now);
    void schedule_round(milliseconds delay);
    void commit();
    [[nodiscard]] std::optional<progress_recorder::heartbeat> make_heartbeat_if_due(boot_time now);
    void handle_append_stored();
    std::vector<keyed_record> take_stale_unit_records();
    void apply_committed();
    void query_advisor(boot_time now);
    void log_ended_jobs(const dispatch_changes& changes) const;
    void log_events();
    [[nodiscard]] bool may_decide(boot_time now) const;
    void withhold_starts(const dispatch_changes& changes, boot_time now);
    void report_pause(const boost::asio::steady_timer& expired) const;
    void update_evacuations();
    void report_evacuated_tasks() const;
    void report_speeds() const;
    void report_account_shares();
    void remove_share_series();

    advice_service& advisor;
    node_state& state;
    dispatcher job_dispatcher;
    const bool converts_to_unit_records;
    const std::optional<milliseconds> max_evacuation_age;
    const milliseconds max_confirmation_age;
    const std::uint64_t own_term;
    const boot_time term_started_at;
    boot_time fenced_at; // When former leaders were shut out of the store.
    phase stage = phase::fencing;
    std::function<void(leadership_end)> on_ended;
    asio_scheduler scheduler;
    std::shared_ptr<progress_recorder> recorder;
    std::shared_ptr<unit_loader> units;
    std::shared_ptr<executor_sessions> sessions;
    std::shared_ptr<job_sweeper> sweeper;
    boost::asio::steady_timer heartbeat_timer; // Only before leading; then rounds record the heartbeats.
    boost::asio::steady_timer read_timer;
    boost::asio::steady_timer round_timer;
    boost::asio::steady_timer maintenance_timer;
    bool has_renewed_leases = false; // While preparing.
    // While preparing: none of this leader's heartbeats has replaced the former leader's record yet.
    bool awaits_former_leases = true;
    bool is_heartbeat_in_flight = false;
    bool is_round_scheduled = false;
    milliseconds next_round_delay{3}; // Derived from the duration of the last round.
    bool is_resigning = false;
    bool is_resignation_in_flight = false;           // The append in flight records the resignation.
    std::optional<dispatch_changes> pending_changes; // What takes effect once the append in flight is stored.
    // Not restored so far. While leading, those of jobs that are gone; their records are removed.
    unit_progress_map loaded_units;
    std::set<std::string> share_series; // Gauges of the accounts with the largest shares.
    std::optional<boot_time> shares_reported_at;
    std::string last_restored_job; // While preparing; jobs are restored in the order of their ids.
};

} // namespace wigeon
