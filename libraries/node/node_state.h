// This process's view of the store, kept current by reading it: the jobs, the configuration in force, and whether a
// leader is alive.

#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "dispatch/zone_evacuations.h"
#include "jobs/fleet_policy.h"
#include "jobs/job_table.h"
#include "net/asio_scheduler.h"
#include "node/document_decoder.h"
#include "store/topic_reader.h"

namespace wigeon {

// How a follower reads what the leader records. The defaults are for hosts that may lead next.
struct follower_pace {
    milliseconds states_interval{500}; // Between two reads of the states of jobs while no caller asks for more.
    milliseconds jobs_interval{1'000}; // The same for the submissions; it bounds the age of the number of waiting jobs.
    // When the store drops its history, all followers that are behind load the topics anew, each at a random time up to
    // this later.
    milliseconds max_reload_delay{500};
};

class node_state {
public:
    // Notified of records as they are read; only the leader listens.
    class job_listener {
    public:
        virtual ~job_listener() = default;
        virtual void handle_job_change(const std::string& job, boot_time now) = 0;
        virtual void handle_policy_change(const fleet_policy& policy, boot_time now) = 0;
        virtual void handle_evacuation_change(boot_time now) = 0;
    };

    node_state(boost::asio::io_context& loop, record_store& store, const document_topics& topics,
               const document_decoder& decoder, follower_pace pace = {});
    ~node_state();

    node_state(const node_state&) = delete;
    node_state& operator=(const node_state&) = delete;

    void start();
    void stop();

    [[nodiscard]] const job_table& jobs() const { return this->table; }
    [[nodiscard]] const std::optional<fleet_policy>& policy() const { return this->current_policy; }

    // The evacuated zones, as old as policy_current_as_of().
    [[nodiscard]] const zone_evacuations& evacuations() const { return this->evacuated_zones; }

    // Whether a configuration is in force and the topics of jobs and of their progress have been loaded once.
    [[nodiscard]] bool is_loaded() const;

    // Whether the leader records progress per unit; else it records progress per job, as earlier builds do.
    [[nodiscard]] bool has_unit_records() const { return this->uses_unit_records; }

    // The configuration, jobs and progress held here were certainly the newest ones at these times.
    [[nodiscard]] std::optional<boot_time> policy_current_as_of() const { return this->policy_reader->current_as_of(); }
    [[nodiscard]] std::optional<boot_time> jobs_current_as_of() const { return this->jobs_reader->current_as_of(); }
    [[nodiscard]] std::optional<boot_time> progress_current_as_of() const
    {
        return this->followed_reader().current_as_of();
    }

    // Offset after the last record of the jobs topic that was applied here.
    [[nodiscard]] std::uint64_t jobs_position() const { return this->jobs_reader->position(); }

    // Calls `done` with true when everything that is in the store at the time of the call has been applied here, or
    // with false when that failed.
    void refresh_jobs(std::function<void(bool)> done) { this->jobs_reader->refresh(std::move(done)); }
    void refresh_progress(std::function<void(bool)> done);

    // While this process leads, it writes the progress itself and does not read that topic.
    void begin_leading(job_listener& leader);
    void end_leading();
    void apply_own_progress(const keyed_record& record, boot_time now);
    void apply_own_state(const keyed_record& record, boot_time now);

    // From now on the states topic is followed in place of the progress per job.
    void adopt_unit_records(boot_time now);

    // The leader's silence: its last record was read at `last_heard`, and reads up to `observed_until` found no other.
    struct leader_liveness {
        boot_time last_heard;     // Or the time since which this process has read without a gap, if that is later.
        boot_time observed_until; // When the newest read that reached the topic's end returned.
        records::LeaderBeat heartbeat;
        boot_time heartbeat_read_at;
        bool has_resigned = false;
    };
    [[nodiscard]] const leader_liveness& observed_leader() const { return this->liveness; }
    void restart_leader_timeout(boot_time now);

private:
    class jobs_consumer;
    class progress_consumer;
    class states_consumer;
    class policy_consumer;

    // The reader of the topic that says what the leader has recorded.
    [[nodiscard]] const topic_reader& followed_reader() const
    {
        return this->uses_unit_records ? *this->states_reader : *this->progress_reader;
    }
    void apply_evacuation(std::string_view zone, bool is_evacuated, boot_time now);
    void apply_heartbeat(std::string_view topic, const keyed_record& record, boot_time now);
    void observe_leader(std::size_t record_count, boot_time now);
    void restart_observation(boot_time now);

    asio_scheduler scheduler;
    document_topics topics;
    const document_decoder& decoder;
    const milliseconds max_read_gap; // Reads further apart are no evidence that the leader was silent between them.
    const read_timing follower_states_timing;
    const read_timing follower_jobs_timing;
    job_table table;
    std::optional<fleet_policy> current_policy;
    zone_evacuations evacuated_zones;
    leader_liveness liveness;
    bool uses_unit_records = false;
    job_listener* listener = nullptr;
    std::unique_ptr<jobs_consumer> jobs_topic_consumer;
    std::unique_ptr<progress_consumer> progress_topic_consumer;
    std::unique_ptr<states_consumer> states_topic_consumer;
    std::unique_ptr<policy_consumer> policy_topic_consumer;
    std::shared_ptr<topic_reader> jobs_reader;
    std::shared_ptr<topic_reader> progress_reader; // Stopped once progress is recorded per unit.
    std::shared_ptr<topic_reader> states_reader;
    std::shared_ptr<topic_reader> policy_reader;
};

} // namespace wigeon
