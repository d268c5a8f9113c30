// One term of leadership: shuts out the former leader, looks at all executors, then places work until it is deposed.

#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "dispatch/dispatcher.h"
#include "node/executor_service.h"
#include "node/node_state.h"

namespace wigeon {

struct leader_identity {
    std::string node;
    std::uint64_t incarnation = 0;
};

enum class leadership_end : std::uint8_t {
    fenced_at_store,
    fenced_at_executor,
    store_out_of_reach,
    resigned,
};

std::string_view to_string(leadership_end end);

class leader : public node_state::job_listener, public std::enable_shared_from_this<leader> {
public:
    leader(boost::asio::io_context& loop, record_store& store, executor_service& executors, node_state& state,
           const document_topics& topics, const document_decoder& decoder, const dispatch_bounds& bounds,
           leader_identity identity, std::uint64_t term);
    ~leader() override;

    leader(const leader&) = delete;
    leader& operator=(const leader&) = delete;

    // `ended` is called once, when this process leads no more.
    void start(std::function<void(leadership_end)> ended);

    // Records that a successor may follow at once, then ends.
    void resign();

    void take_job_change(const std::string& job, boot_time now) override;
    void take_policy(const fleet_policy& policy, boot_time now) override;

    [[nodiscard]] std::uint64_t term() const { return this->own_term; }
    [[nodiscard]] bool is_leading() const { return this->stage == phase::leading; }

private:
    enum class phase : std::uint8_t { shutting_out, reading, leading, ended };

    // The contact with one executor.
    struct contact {
        bool is_looking = false;
        std::unique_ptr<boost::asio::steady_timer> timer;
        std::uint32_t failures_in_row = 0;
        std::size_t orders_on_way = 0;
    };

    class directory_consumer;

    void shut_out_former_leader();
    void read_to_end();
    void begin();
    void finish(leadership_end end);

    void run_round();
    void decide(boot_time now);
    void schedule_round(milliseconds delay);
    void commit();
    void send_append();
    void take_append(const append_result& result);
    void confirm();
    void send_start(const start_order& order);
    void send_stops(boot_time now);
    void look(const std::string& id);
    void schedule_denial(const stop_order& order);
    void schedule_look(const std::string& id, milliseconds pause);
    void take_look(const std::string& id, boot_time sent_at, const look_result& result);
    void take_fence(const std::string& id);
    void log_events();
    [[nodiscard]] std::string make_beat(bool is_resigned) const;
    [[nodiscard]] bool are_executors_known(boot_time now) const;

    boost::asio::io_context& loop;
    record_store& store;
    executor_service& executors;
    node_state& state;
    const document_decoder& decoder;
    dispatcher work;
    leader_identity identity;
    const std::uint64_t own_term;
    const std::uint64_t fencing_token; // One more than the term, since a missing token counts as 0.
    phase stage = phase::shutting_out;
    std::function<void(leadership_end)> ended;
    std::unique_ptr<directory_consumer> directory_taker;
    std::shared_ptr<topic_reader> directory;
    std::map<std::string, contact, std::less<>> contacts;
    boost::asio::steady_timer round_timer;
    boost::asio::steady_timer append_timer;
    boost::asio::steady_timer upkeep_timer;
    bool is_round_scheduled = false;
    milliseconds round_pause{3}; // Before the next round, by what the last one took.
    bool is_resigning = false;
    bool has_told_resignation = false; // The append on its way says so.
    // The append on its way; its records are sent again until the store says what became of them.
    std::optional<dispatch_changes> pending;
    std::vector<keyed_record> pending_records;
    std::uint64_t next_sequence = 0;
    boot_time led_since;
    boot_time last_append;
    boot_time last_store_answer;
};

} // namespace wigeon
