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

// Callers' reads of a job that isn't final read the store themselves, so this interval only bounds a follower's backlog
// and the time until it notices that the leader is gone.
constexpr read_timing follower_timing{milliseconds(0), milliseconds(500)};

// The leader's reads wait for submissions.
constexpr read_timing leader_timing{milliseconds(1'000), milliseconds(0)};

// Reads further apart than this don't count as evidence that the leader was silent between them.
constexpr milliseconds max_read_gap{1'200};

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
        if (record.content.key == leader_key && record.content.value) {
            records::LeaderBeat heartbeat;
            if (heartbeat.ParseFromString(*record.content.value)) {
                this->state.liveness.has_resigned = heartbeat.resigned();
                this->state.liveness.heartbeat = std::move(heartbeat);
            }
            else
                report_unreadable(progress_topic, record.content.key, "record is not a leader heartbeat");
            return;
        }
        if (!this->state.table.apply_progress_record(record.content, now))
            report_unreadable(progress_topic, record.content.key, "record is not a job progress");
    }

    void finish_load(const std::map<std::string, std::uint64_t, std::less<>>& keys, boot_time now) override
    {
        static_cast<void>(keys);
        this->state.liveness.last_heard = now;
        this->state.liveness.observed_until = now;
    }

    void finish_read(std::size_t record_count, boot_time sent_at, boot_time now) override
    {
        static_cast<void>(sent_at);
        leader_liveness& liveness = this->state.liveness;
        if (record_count > 0 || now - liveness.observed_until > max_read_gap)
            liveness.last_heard = now;
        liveness.observed_until = now;
    }

private:
    node_state& state;
};

class node_state::policy_consumer : public topic_consumer {
public:
    explicit policy_consumer(node_state& owner) : state(owner) {}

    void apply(const stored_record& record, boot_time now) override
    {
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

private:
    node_state& state;
};

node_state::node_state(boost::asio::io_context& loop, record_store& store, const document_topics& document_locations,
                       const document_decoder& document_reader)
    : topics(document_locations),
      decoder(document_reader),
      jobs_topic_consumer(std::make_unique<jobs_consumer>(*this)),
      progress_topic_consumer(std::make_unique<progress_consumer>(*this)),
      policy_topic_consumer(std::make_unique<policy_consumer>(*this)),
      jobs_reader(
          std::make_shared<topic_reader>(loop, store, std::string(jobs_topic), follower_timing, *jobs_topic_consumer)),
      progress_reader(std::make_shared<topic_reader>(loop, store, std::string(progress_topic), follower_timing,
                                                     *progress_topic_consumer)),
      policy_reader(
          std::make_shared<topic_reader>(loop, store, topics.policy_topic, policy_timing, *policy_topic_consumer))
{
}

node_state::~node_state()
{
    this->stop();
}

void node_state::start()
{
    this->jobs_reader->start();
    this->progress_reader->start();
    this->policy_reader->start();
}

void node_state::stop()
{
    this->jobs_reader->stop();
    this->progress_reader->stop();
    this->policy_reader->stop();
}

bool node_state::is_loaded() const
{
    return this->current_policy.has_value() && this->jobs_reader->is_loaded() && this->progress_reader->is_loaded();
}

void node_state::refresh_progress(std::function<void(bool)> done)
{
    if (this->listener != nullptr)
        done(true); // The leader writes the progress itself, so its own table is the newest.
    else
        this->progress_reader->refresh(std::move(done));
}

void node_state::begin_leading(job_listener& leader)
{
    this->listener = &leader;
    this->progress_reader->stop();
    this->jobs_reader->set_timing(leader_timing);
}

void node_state::end_leading()
{
    this->listener = nullptr;
    this->liveness.last_heard = boot_clock::now();
    this->jobs_reader->set_timing(follower_timing);
    this->progress_reader->start();
}

void node_state::apply_own_progress(const keyed_record& record, boot_time now)
{
    this->table.apply_progress_record(record, now);
}

void node_state::restart_leader_timeout(boot_time now)
{
    this->liveness.last_heard = now;
    this->liveness.has_resigned = false;
}

} // namespace wigeon
