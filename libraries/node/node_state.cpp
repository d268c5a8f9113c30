// Consumers of the topics that a node follows.

#include "node/node_state.h"

#include <utility>

#include "base/logging.h"
#include "base/metrics.h"
#include "jobs/job_keys.h"

namespace wigeon {

namespace {

// A published configuration must be in force within 2 s. A read that waits returns it at once, and otherwise confirms
// twice in that time that there is no newer one.
constexpr read_timing policy_timing{milliseconds(1'000), milliseconds(0)};

// The leader's reads wait for submissions.
constexpr read_timing leader_timing{milliseconds(1'000), milliseconds(0)};

// Reads of the leader's records that are further apart than this many intervals leave a gap in which it may have been
// heard.
constexpr double max_gap_intervals = 2.4;

void report_unreadable(std::string_view topic, std::string_view key, std::string_view problem)
{
    process_metrics().count("wigeon_documents_skipped_total");
    log_event("document_skipped",
              {{"topic", std::string(topic)}, {"key", std::string(key)}, {"reason", std::string(problem)}});
}

} // namespace

class node_state::jobs_consumer : public topic_consumer {
public:
    explicit jobs_consumer(node_state& owner) : state(owner) {}

    void apply(const stored_record& record, boot_time now) override
    {
        if (!this->state.table.apply_submission_record(record.content, now)) {
            report_unreadable(jobs_topic, record.content.key, "record is not a submission");
            return;
        }
        if (this->state.listener == nullptr)
            return;
        const auto cancelled = parse_cancel_key(record.content.key);
        this->state.listener->handle_job_change(std::string(cancelled ? *cancelled : record.content.key), now);
    }

    void finish_load(const std::map<std::string, std::uint64_t, std::less<>>& keys, boot_time now) override
    {
        this->state.table.drop_removed_submissions(keys, now);
    }

private:
    node_state& state;
};

class node_state::progress_consumer : public topic_consumer {
public:
    explicit progress_consumer(node_state& owner) : state(owner) {}

    void apply(const stored_record& record, boot_time now) override
    {
        if (this->state.uses_unit_records)
            return;
        if (record.content.key == leader_key)
            this->state.apply_heartbeat(progress_topic, record.content, now);
        else if (!this->state.table.apply_progress_record(record.content, now))
            report_unreadable(progress_topic, record.content.key, "record is not a job progress");
    }

    void finish_load(const std::map<std::string, std::uint64_t, std::less<>>& keys, boot_time now) override
    {
        static_cast<void>(keys);
        if (!this->state.uses_unit_records)
            this->state.restart_observation(now);
    }

    void finish_read(std::size_t record_count, boot_time sent_at, boot_time now) override
    {
        static_cast<void>(sent_at);
        if (!this->state.uses_unit_records)
            this->state.observe_leader(record_count, now);
    }

private:
    node_state& state;
};

class node_state::states_consumer : public topic_consumer {
public:
    explicit states_consumer(node_state& owner) : state(owner) {}

    void apply(const stored_record& record, boot_time now) override
    {
        if (record.content.key == format_key) {
            if (record.content.value)
                this->state.adopt_unit_records(now);
        }
        else if (record.content.key == leader_key)
            this->state.apply_heartbeat(states_topic, record.content, now);
        else if (!this->state.table.apply_state_record(record.content, now))
            report_unreadable(states_topic, record.content.key, "record is not a job state");
    }

    void finish_load(const std::map<std::string, std::uint64_t, std::less<>>& keys, boot_time now) override
    {
        static_cast<void>(keys);
        if (this->state.uses_unit_records)
            this->state.restart_observation(now);
    }

    void finish_read(std::size_t record_count, boot_time sent_at, boot_time now) override
    {
        static_cast<void>(sent_at);
        if (this->state.uses_unit_records)
            this->state.observe_leader(record_count, now);
    }

private:
    node_state& state;
};

class node_state::policy_consumer : public topic_consumer {
public:
    explicit policy_consumer(node_state& owner) : state(owner) {}

    void apply(const stored_record& record, boot_time now) override
    {
        if (const auto zone = this->find_evacuation_zone(record.content.key)) {
            this->state.apply_evacuation(*zone, record.content.value.has_value(), now);
            return;
        }
        if (record.content.key != this->state.topics.policy_key || !record.content.value)
            return;
        std::string problem;
        auto decoded = this->state.decoder.decode_policy(*record.content.value, problem);
        if (!decoded) {
            report_unreadable(this->state.topics.policy_topic, record.content.key, problem);
            return;
        }
        // Older versions never replace the one in force.
        if (this->state.current_policy && decoded->version <= this->state.current_policy->version)
            return;
        this->state.current_policy = std::move(decoded);
        log_event("configuration_in_force",
                  {{"version", std::to_string(this->state.current_policy->version)},
                   {"queues", std::to_string(this->state.current_policy->queues.size())},
                   {"accounts", std::to_string(this->state.current_policy->accounts.size())}});
        process_metrics().set_gauge("wigeon_configuration_version",
                                    static_cast<double>(this->state.current_policy->version));
        if (this->state.listener != nullptr)
            this->state.listener->handle_policy_change(*this->state.current_policy, now);
    }

    void finish_load(const std::map<std::string, std::uint64_t, std::less<>>& keys, boot_time now) override
    {
        const auto known = this->state.evacuated_zones.all();
        for (const auto& [zone, since] : known) {
            if (!keys.contains(this->state.topics.evacuation_key_prefix + zone))
                this->state.apply_evacuation(zone, false, now);
        }
    }

private:
    [[nodiscard]] std::optional<std::string_view> find_evacuation_zone(std::string_view key) const
    {
        const std::string& prefix = this->state.topics.evacuation_key_prefix;
        if (prefix.empty() || !key.starts_with(prefix))
            return std::nullopt;
        return key.substr(prefix.size());
    }

    node_state& state;
};

node_state::node_state(boost::asio::io_context& loop, record_store& store, const document_topics& document_locations,
                       const document_decoder& document_reader, follower_pace pace)
    : scheduler(loop),
      topics(document_locations),
      decoder(document_reader),
      max_read_gap(static_cast<std::int64_t>(static_cast<double>(pace.states_interval.count()) * max_gap_intervals)),
      follower_states_timing{milliseconds(0), pace.states_interval, pace.max_reload_delay, true},
      follower_jobs_timing{milliseconds(0), pace.jobs_interval, pace.max_reload_delay, true},
      jobs_topic_consumer(std::make_unique<jobs_consumer>(*this)),
      progress_topic_consumer(std::make_unique<progress_consumer>(*this)),
      states_topic_consumer(std::make_unique<states_consumer>(*this)),
      policy_topic_consumer(std::make_unique<policy_consumer>(*this)),
      jobs_reader(std::make_shared<topic_reader>(scheduler, store, std::string(jobs_topic), follower_jobs_timing,
                                                 bulk_pace, *jobs_topic_consumer)),
      progress_reader(std::make_shared<topic_reader>(scheduler, store, std::string(progress_topic),
                                                     follower_states_timing, bulk_pace, *progress_topic_consumer)),
      states_reader(std::make_shared<topic_reader>(scheduler, store, std::string(states_topic), follower_states_timing,
                                                   bulk_pace, *states_topic_consumer)),
      policy_reader(std::make_shared<topic_reader>(scheduler, store, topics.policy_topic, policy_timing, prompt_pace,
                                                   *policy_topic_consumer))
{
}

node_state::~node_state()
{
    this->stop();
}

void node_state::start()
{
    this->policy_reader->start();
    this->states_reader->start();
    this->progress_reader->start();
    this->jobs_reader->start();
}

void node_state::stop()
{
    this->jobs_reader->stop();
    this->progress_reader->stop();
    this->states_reader->stop();
    this->policy_reader->stop();
}

bool node_state::is_loaded() const
{
    return this->current_policy.has_value() && this->jobs_reader->is_loaded() && this->states_reader->is_loaded() &&
           (this->uses_unit_records || this->progress_reader->is_loaded());
}

void node_state::refresh_progress(std::function<void(bool)> done)
{
    if (this->listener != nullptr) {
        done(true); // The leader writes the progress itself, so its own table is the newest.
        return;
    }
    if (this->uses_unit_records) {
        this->states_reader->refresh(std::move(done));
        return;
    }
    // The mark that progress is recorded per unit may have been made since the last read of the states.
    this->states_reader->refresh([this, done = std::move(done)](bool is_current) {
        if (!is_current || this->uses_unit_records)
            done(is_current);
        else
            this->progress_reader->refresh(done);
    });
}

void node_state::adopt_unit_records(boot_time now)
{
    if (std::exchange(this->uses_unit_records, true))
        return;
    log_event("unit_records_in_use", {});
    this->progress_reader->stop();
    // Later heartbeats are in the other topic, so this one may not be the last that was stored.
    this->liveness.heartbeat.clear_suspended_leases();
    this->liveness.heartbeat.clear_executors();
    this->restart_observation(now);
}

void node_state::begin_leading(job_listener& leader)
{
    this->listener = &leader;
    this->progress_reader->stop();
    this->states_reader->stop();
    this->jobs_reader->set_timing(leader_timing);
}

void node_state::end_leading()
{
    this->listener = nullptr;
    this->liveness.last_heard = boot_clock::now();
    this->jobs_reader->set_timing(follower_jobs_timing);
    this->states_reader->start();
    if (!this->uses_unit_records)
        this->progress_reader->start();
}

void node_state::apply_own_progress(const keyed_record& record, boot_time now)
{
    this->table.apply_progress_record(record, now);
}

void node_state::apply_own_state(const keyed_record& record, boot_time now)
{
    if (record.key != leader_key && record.key != format_key)
        this->table.apply_state_record(record, now);
}

void node_state::apply_evacuation(std::string_view zone, bool is_evacuated, boot_time now)
{
    const std::string series = "wigeon_zone_evacuated{zone=\"" + std::string(zone) + "\"}";
    if (is_evacuated) {
        if (!this->evacuated_zones.begin(zone, now))
            return;
        log_event("zone_evacuated", {{"zone", std::string(zone)}});
    }
    else {
        const auto duration = this->evacuated_zones.end(zone, now);
        if (!duration)
            return;
        log_event("zone_returned", {{"zone", std::string(zone)}, {"after_ms", std::to_string(duration->count())}});
    }
    process_metrics().set_gauge(series, is_evacuated ? 1 : 0);
    if (this->listener != nullptr)
        this->listener->handle_evacuation_change(now);
}

void node_state::apply_heartbeat(std::string_view topic, const keyed_record& record, boot_time now)
{
    records::LeaderBeat heartbeat;
    if (!record.value || !heartbeat.ParseFromString(*record.value)) {
        report_unreadable(topic, record.key, "record is not a leader heartbeat");
        return;
    }
    this->liveness.has_resigned = heartbeat.resigned();
    this->liveness.heartbeat = std::move(heartbeat);
    this->liveness.heartbeat_read_at = now;
}

void node_state::observe_leader(std::size_t record_count, boot_time now)
{
    if (record_count > 0 || now - this->liveness.observed_until > this->max_read_gap)
        this->liveness.last_heard = now;
    this->liveness.observed_until = now;
}

void node_state::restart_observation(boot_time now)
{
    this->liveness.last_heard = now;
    this->liveness.observed_until = now;
}

void node_state::restart_leader_timeout(boot_time now)
{
    this->liveness.last_heard = now;
    this->liveness.has_resigned = false;
}

} // namespace wigeon
