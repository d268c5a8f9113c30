// One term of leadership: shuts out the former leader, looks at all executors, then places work until it is deposed.

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
    dispatch_limits bounds;
    milliseconds job_retention{0}; // For which callers may ask for a job that has ended.
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

    // `ended` is called once, when this process leads no more.
    void start(std::function<void(leadership_end)> on_ended);

    // Records that a successor may follow at once, then ends.
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
    milliseconds next_round_delay{3}; // Before the next round, by what the last one took.
    bool is_resigning = false;
    bool is_resignation_in_flight = false;           // The append on its way says so.
    std::optional<dispatch_changes> pending_changes; // What becomes valid with the append on its way.
    std::vector<keyed_record> pending_records;
    boot_time last_append;
};

} // namespace wigeon
