// Consumers of the followed topics.

#include "node/node_state.h"

#include <utility>

#include "base/logging.h"
#include "base/metrics.h"
#include "jobs/job_keys.h"

namespace wigeon {

namespace {

// A configuration has to be in force within 2 s. A read that waits brings it at once, and proves twice in that time
// that there is no newer one.
constexpr reading_pace policy_pace{milliseconds(1'000), milliseconds(0)};

// Callers' questions about a job that isn't final read anew, so the followers' own pace only bounds their backlog and
// the time in which they see that the leader is gone.
constexpr reading_pace follower_pace{milliseconds(0), milliseconds(500)};

// The leader waits for submissions.
constexpr reading_pace leader_pace{milliseconds(1'000), milliseconds(0)};

// Reads further apart than this don't prove that the leader was silent between them.
constexpr milliseconds longest_listening_gap{1'200};

void count_unreadable(std::string_view topic, std::string_view key, std::string_view problem)
{
    process_metrics().count("wigeon_documents_skipped_total");
    log_change("document_skipped",
               {{"topic", std::string(topic)}, {"key", std::string(key)}, {"reason", std::string(problem)}});
}

} // namespace

class node_state::jobs_consumer : public topic_consumer {
public:
    explicit jobs_consumer(node_state& owner) : state(owner) {}

    void apply(const stored_record& record, boot_time now) override
    {
        if (!this->state.table.apply_submission_record(record.content, now)) {
            count_unreadable(jobs_topic, record.content.key, "not a submission");
            return;
        }
        if (this->state.listener == nullptr)
            return;
        const auto cancelled = find_cancelled_job(record.content.key);
        this->state.listener->take_job_change(std::string(cancelled ? *cancelled : record.content.key), now);
    }

    void finish_pages(const std::map<std::string, std::uint64_t, std::less<>>& keys, boot_time now) override
    {
        this->state.table.forget_removed_submissions(keys, now);
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
            records::LeaderBeat beat;
            if (beat.ParseFromString(*record.content.value)) {
                this->state.sign.has_resigned = beat.resigned();
                this->state.sign.beat = std::move(beat);
            }
            else
                count_unreadable(progress_topic, record.content.key, "not a beat");
            return;
        }
        if (!this->state.table.apply_progress_record(record.content, now))
            count_unreadable(progress_topic, record.content.key, "not a job's progress");
    }

    void finish_pages(const std::map<std::string, std::uint64_t, std::less<>>& keys, boot_time now) override
    {
        static_cast<void>(keys);
        this->state.sign.last_record = now;
        this->state.sign.last_silence = now;
    }

    void finish_read(std::size_t record_count, boot_time sent_at, boot_time now) override
    {
        static_cast<void>(sent_at);
        leader_sign& sign = this->state.sign;
        if (record_count > 0 || now - sign.last_silence > longest_listening_gap)
            sign.last_record = now;
        sign.last_silence = now;
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
            count_unreadable(this->state.topics.policy_topic, record.content.key, problem);
            return;
        }
        // A version that was in force here never comes back.
        if (this->state.in_force && decoded->version <= this->state.in_force->version)
            return;
        this->state.in_force = std::move(decoded);
        log_change("configuration_in_force", {{"version", std::to_string(this->state.in_force->version)},
                                              {"queues", std::to_string(this->state.in_force->queues.size())},
                                              {"accounts", std::to_string(this->state.in_force->accounts.size())}});
        process_metrics().set_gauge("wigeon_configuration_version", static_cast<double>(this->state.in_force->version));
        if (this->state.listener != nullptr)
            this->state.listener->take_policy(*this->state.in_force, now);
    }

private:
    node_state& state;
};

node_state::node_state(boost::asio::io_context& loop, record_store& store, const document_topics& document_places,
                       const document_decoder& document_reader)
    : topics(document_places),
      decoder(document_reader),
      jobs_taker(std::make_unique<jobs_consumer>(*this)),
      progress_taker(std::make_unique<progress_consumer>(*this)),
      policy_taker(std::make_unique<policy_consumer>(*this)),
      jobs_reader(std::make_shared<topic_reader>(loop, store, std::string(jobs_topic), follower_pace, *jobs_taker)),
      progress_reader(
          std::make_shared<topic_reader>(loop, store, std::string(progress_topic), follower_pace, *progress_taker)),
      policy_reader(std::make_shared<topic_reader>(loop, store, topics.policy_topic, policy_pace, *policy_taker))
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

bool node_state::is_complete() const
{
    return this->in_force.has_value() && this->jobs_reader->is_paged() && this->progress_reader->is_paged();
}

void node_state::refresh_progress(std::function<void(bool)> done)
{
    if (this->listener != nullptr)
        done(true); // The leader's own table is the newest.
    else
        this->progress_reader->refresh(std::move(done));
}

void node_state::begin_leading(job_listener& leader)
{
    this->listener = &leader;
    this->progress_reader->stop();
    this->jobs_reader->set_pace(leader_pace);
}

void node_state::end_leading()
{
    this->listener = nullptr;
    this->sign.last_record = boot_clock::now();
    this->jobs_reader->set_pace(follower_pace);
    this->progress_reader->start();
}

void node_state::apply_own_progress(const keyed_record& record, boot_time now)
{
    this->table.apply_progress_record(record, now);
}

void node_state::note_claim(boot_time now)
{
    this->sign.last_record = now;
    this->sign.has_resigned = false;
}

} // namespace wigeon
