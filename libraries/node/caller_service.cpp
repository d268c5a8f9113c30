// Group commit of callers' writes, and reads that are as new as the question.

#include "node/caller_service.h"

#include <utility>

#include "base/logging.h"
#include "base/metrics.h"
#include "jobs/job_keys.h"

namespace wigeon {

namespace {

// Writes that wait for the store; more are refused at once. A node takes at most some dozens a second.
constexpr std::size_t write_limit = 512;

// A write that the store refuses is tried again for this long; the caller can come back sooner than that pays.
constexpr milliseconds refused_write_limit{600};

// Callers wait 3 s for an answer. One whose write may be stored is told so in time to ask again.
constexpr milliseconds uncertain_write_limit{1'200};

constexpr milliseconds write_retry_pause{80};

// A question about a running job is answered from what is known when the store takes longer than this.
constexpr milliseconds view_wait{400};

// A question is answered without a new read when the last one was sent less than this ago.
constexpr milliseconds view_age{60};

} // namespace

caller_service::caller_service(boost::asio::io_context& loop, record_store& record_target, node_state& node,
                               caller_bounds limits)
    : timer(loop), store(record_target), state(node), bounds(limits)
{
}

access_verdict caller_service::check_access(const queue_policy& queue, std::string_view key, std::string& account,
                                            boot_time now) const
{
    const account_policy* owner = key.empty() ? nullptr : this->state.policy()->find_account_by_key(key);
    if (owner != nullptr)
        account = owner->name;
    if (queue.is_public)
        return access_verdict::allowed;
    const auto proven = this->state.policy_proven_at();
    if (!proven || now - *proven > this->bounds.longest_unproven)
        return access_verdict::unproven;
    return owner != nullptr ? access_verdict::allowed : access_verdict::unauthorized;
}

void caller_service::submit(const std::string& job, const records::Submission& submission, boot_time now,
                            std::function<void(write_outcome)> done)
{
    const known_job* known = this->state.jobs().find(job);
    if (known != nullptr && known->submission) {
        done(write_outcome::stored);
        return;
    }
    this->write({job, submission.SerializeAsString()}, now, std::move(done));
}

void caller_service::cancel(const std::string& job, boot_time now, std::function<void(write_outcome)> done)
{
    const known_job* known = this->state.jobs().find(job);
    if (known != nullptr && (known->is_cancel_asked || known->is_final())) {
        done(write_outcome::stored);
        return;
    }
    this->write({make_cancel_key(job), std::string("1")}, now, std::move(done));
}

void caller_service::write(keyed_record record, boot_time now, std::function<void(write_outcome)> done)
{
    if (this->waiting.size() + this->on_way.size() >= write_limit) {
        count_refusal("write_queue_full");
        done(write_outcome::refused);
        return;
    }
    if (!this->gate.may_write(now)) {
        count_refusal("store_out_of_reach");
        done(write_outcome::refused);
        return;
    }
    this->waiting.push_back({std::move(record), now, false, std::move(done)});
    if (this->on_way.empty())
        this->send();
}

void caller_service::send()
{
    if (this->waiting.empty() || !this->on_way.empty())
        return;
    this->timer.cancel();
    this->on_way = std::move(this->waiting);
    this->waiting.clear();
    std::vector<keyed_record> records;
    records.reserve(this->on_way.size());
    for (const pending_write& write : this->on_way)
        records.push_back(write.record);
    this->store.append(jobs_topic, records, {},
                       [self = this->shared_from_this()](const append_result& result) { self->take_append(result); });
}

void caller_service::take_append(const append_result& result)
{
    const boot_time now = boot_clock::now();
    if (result.status == append_status::done)
        this->gate.note_success();
    else
        this->gate.note_failure(now);
    std::vector<pending_write> ended = std::move(this->on_way);
    this->on_way.clear();
    std::vector<pending_write> again;
    std::vector<std::pair<pending_write, write_outcome>> answered;
    for (pending_write& write : ended) {
        if (result.status == append_status::done) {
            process_metrics().observe_ms("wigeon_write_ms", static_cast<double>((now - write.since).count()));
            answered.emplace_back(std::move(write), write_outcome::stored);
            continue;
        }
        write.is_uncertain = write.is_uncertain || result.status == append_status::unknown;
        const milliseconds limit = write.is_uncertain ? uncertain_write_limit : refused_write_limit;
        if (now - write.since >= limit) {
            const auto outcome = write.is_uncertain ? write_outcome::uncertain : write_outcome::refused;
            answered.emplace_back(std::move(write), outcome);
        }
        else {
            count_retry(result.status == append_status::unknown ? "write_lost" : "write_rejected");
            again.push_back(std::move(write));
        }
    }
    const bool has_failed = !again.empty();
    this->waiting.insert(this->waiting.begin(), std::make_move_iterator(again.begin()),
                         std::make_move_iterator(again.end()));
    for (auto& [write, outcome] : answered)
        write.done(outcome);
    if (has_failed)
        this->retry_later();
    else
        this->send();
}

void caller_service::retry_later()
{
    this->timer.expires_after(write_retry_pause);
    this->timer.async_wait([self = this->shared_from_this()](const boost::system::error_code& reason) {
        if (!reason)
            self->send();
    });
}

job_view caller_service::view(const std::string& job) const
{
    const known_job* known = this->state.jobs().find(job);
    if (known == nullptr || !known->submission)
        return {job_view::verdict::no_such_job, records::JOB_PHASE_QUEUED};
    const bool is_cancelled = known->is_cancel_asked && !known->is_final();
    return {job_view::verdict::known, is_cancelled ? records::JOB_PHASE_CANCELLED : known->progress.phase()};
}

void caller_service::read(const std::string& job, boot_time now, std::function<void(job_view)> done)
{
    const known_job* known = this->state.jobs().find(job);
    const bool is_known = known != nullptr && known->submission;
    if (is_known && (known->is_final() || known->is_cancel_asked)) {
        done(this->view(job));
        return;
    }
    const auto proven = this->state.progress_proven_at();
    if (is_known && proven && now - *proven < view_age) {
        done(this->view(job));
        return;
    }
    struct question {
        explicit question(boost::asio::steady_timer limit) : timer(std::move(limit)) {}
        boost::asio::steady_timer timer;
        bool is_answered = false;
    };
    auto asked = std::make_shared<question>(boost::asio::steady_timer(this->timer.get_executor()));
    auto answer = [self = this->shared_from_this(), asked, job, done = std::move(done)](bool is_current) {
        if (asked->is_answered)
            return;
        asked->is_answered = true;
        asked->timer.cancel();
        job_view seen = self->view(job);
        // That a job does not exist is said only from a read that was sent after the question.
        if (seen.answer == job_view::verdict::no_such_job && !is_current)
            seen.answer = job_view::verdict::unavailable;
        done(seen);
    };
    asked->timer.expires_after(view_wait);
    asked->timer.async_wait([answer](const boost::system::error_code& reason) {
        if (!reason)
            answer(false);
    });
    if (is_known) {
        this->state.refresh_progress(answer);
        return;
    }
    this->state.refresh_jobs([self = this->shared_from_this(), answer](bool is_current) {
        if (!is_current) {
            answer(false);
            return;
        }
        self->state.refresh_progress([answer](bool is_progress_current) {
            static_cast<void>(is_progress_current);
            answer(true);
        });
    });
}

std::size_t caller_service::count_waiting(std::string_view queue) const
{
    return this->state.jobs().count_waiting(queue);
}

} // namespace wigeon
