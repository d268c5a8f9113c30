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
#include "node/executor_contacts.h"
#include "node/job_sweeper.h"
#include "node/node_connections.h"
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
               public executor_contacts::listener,
               public std::enable_shared_from_this<leader> {
public:
    leader(boost::asio::io_context& loop, const node_connections& outside, node_state& state,
           const leader_options& options, std::uint64_t term);
    ~leader() override;

    leader(const leader&) = delete;
    leader& operator=(const leader&) = delete;

    // `ended` is called once, when this process leads no more.
    void start(std::function<void(leadership_end)> ended);

    // Records that a successor may follow at once, then ends.
    void resign();

    void take_job_change(const std::string& job, boot_time now) override;
    void take_policy(const fleet_policy& policy, boot_time now) override;
    void take_news() override;
    void take_fence() override;

    [[nodiscard]] std::uint64_t term() const { return this->own_term; }
    [[nodiscard]] bool is_leading() const { return this->stage == phase::leading; }

private:
    enum class phase : std::uint8_t { shutting_out, reading, leading, ended };

    void read_to_end();
    void take_reading(bool is_current);
    void begin();
    void finish(leadership_end end);

    void run_round();
    void decide(boot_time now);
    void schedule_round(milliseconds delay);
    void commit();
    void confirm();
    void ask_advisor(boot_time now);
    void log_events();
    [[nodiscard]] std::string make_beat(bool is_resigned) const;
    [[nodiscard]] bool may_decide(boot_time now) const;

    advice_service& advisor;
    node_state& state;
    dispatcher work;
    leader_identity identity;
    const std::uint64_t own_term;
    const boot_time led_since;
    phase stage = phase::shutting_out;
    std::function<void(leadership_end)> ended;
    std::shared_ptr<progress_writer> writer;
    std::shared_ptr<executor_contacts> contacts;
    std::shared_ptr<job_sweeper> sweeper;
    boost::asio::steady_timer read_timer;
    boost::asio::steady_timer round_timer;
    boost::asio::steady_timer upkeep_timer;
    bool is_round_scheduled = false;
    milliseconds round_pause{3}; // Before the next round, by what the last one took.
    bool is_resigning = false;
    bool has_told_resignation = false;       // The append on its way says so.
    std::optional<dispatch_changes> pending; // What becomes valid with the append on its way.
    std::vector<keyed_record> pending_records;
    boot_time last_append;
};

} // namespace wigeon
