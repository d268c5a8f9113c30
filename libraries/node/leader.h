// One term of leadership: fences off the former leader, loads the state, polls all executors, and places tasks until
// the term ends.

#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "dispatch/dispatcher.h"
#include "node/executor_sessions.h"
#include "node/external_services.h"
#include "node/job_sweeper.h"
#include "node/node_state.h"
#include "node/progress_writer.h"

namespace wigeon {

struct leader_identity {
    std::string node;
    std::uint64_t incarnation = 0;
};

struct leader_options {
    leader_identity identity;
    dispatch_limits limits;
    milliseconds job_retention{0}; // How long callers can read a job that has ended.
};

enum class leadership_end : std::uint8_t {
    fenced_at_store,
    fenced_at_executor,
    store_out_of_reach,
    resigned,
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
    void handle_change() override;
    void handle_fenced() override;

    [[nodiscard]] std::uint64_t term() const { return this->own_term; }
    [[nodiscard]] bool is_leading() const { return this->stage == phase::leading; }

private:
    enum class phase : std::uint8_t { fencing, reading, leading, ended };

    void read_state();
    void handle_state_read(bool is_current);
    void begin_leading();
    void finish(leadership_end end);

    void run_round();
    void decide(boot_time now);
    void schedule_round(milliseconds delay);
    void commit();
    void apply_committed();
    void query_advisor(boot_time now);
    void log_events();
    [[nodiscard]] std::string make_heartbeat(bool is_resigned) const;
    [[nodiscard]] bool may_decide(boot_time now) const;

    advice_service& advisor;
    node_state& state;
    dispatcher job_dispatcher;
    leader_identity identity;
    const std::uint64_t own_term;
    const boot_time term_started_at;
    phase stage = phase::fencing;
    std::function<void(leadership_end)> on_ended;
    std::shared_ptr<progress_writer> writer;
    std::shared_ptr<executor_sessions> sessions;
    std::shared_ptr<job_sweeper> sweeper;
    boost::asio::steady_timer read_timer;
    boost::asio::steady_timer round_timer;
    boost::asio::steady_timer maintenance_timer;
    bool is_round_scheduled = false;
    milliseconds next_round_delay{3}; // Derived from the duration of the last round.
    bool is_resigning = false;
    bool is_resignation_in_flight = false;           // The append in flight records the resignation.
    std::optional<dispatch_changes> pending_changes; // What takes effect once the append in flight is stored.
    std::vector<keyed_record> pending_records;
    boot_time last_append;
};

} // namespace wigeon
