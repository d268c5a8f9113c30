// The leader's loop: rounds of decisions, one append at a time, orders behind it, and looks at all executors.

#include "node/leader.h"

#include <algorithm>
#include <utility>

#include "base/logging.h"
#include "base/metrics.h"
#include "jobs/job_keys.h"

namespace wigeon {

namespace {

// A record at least this often shows that the leader lives: four within the followers' limit of 1.6 s.
constexpr milliseconds beat_interval{400};

// Events that come together are decided together.
constexpr milliseconds round_delay{3};

// A round is followed by a pause of this many times its length, at most the longest pause.
constexpr int round_rest_factor = 3;
constexpr milliseconds longest_round_pause{150};

// Rounds also run at this pace, for stops that were not answered and leases that lapsed.
constexpr milliseconds upkeep_interval{200};

// A look waits this long for an end. While tasks run it must leave time to renew their leases twice more.
constexpr milliseconds busy_look_wait{1'000};
constexpr milliseconds idle_look_wait{2'000};

// After a failed look; doubled up to the longest pause while the executor stays out of reach.
constexpr milliseconds failed_look_pause{250};
constexpr milliseconds longest_look_pause{1'000};

// Ends that are shown again while they are on their way to the store are not asked for faster than this.
constexpr milliseconds noted_look_pause{500};

// An append that was refused or lost is sent again after this time.
constexpr milliseconds append_pause{60};

// Beside the longest time of a stop; as much as the ledger asks for, and a little for timers.
constexpr milliseconds denial_margin{60};

// The first round waits until most executors have been looked at, but no longer than this.
constexpr milliseconds first_round_limit{400};
constexpr std::size_t known_share_percent = 90;

// Executors that have left the directory are looked at until they have been silent for this long.
constexpr std::uint32_t unlisted_look_failures = 3;

constexpr std::string_view producer_name = "leader";

} // namespace

std::string_view to_string(leadership_end end)
{
    switch (end) {
    case leadership_end::fenced_at_store:
        return "fenced_at_store";
    case leadership_end::fenced_at_executor:
        return "fenced_at_executor";
    case leadership_end::store_out_of_reach:
        return "store_out_of_reach";
    case leadership_end::resigned:
        return "resigned";
    }
    return "unknown";
}

// Takes the executors' entries in the directory.
class leader::directory_consumer : public topic_consumer {
public:
    explicit directory_consumer(leader& owner) : chief(owner) {}

    void apply(const stored_record& record, boot_time now) override
    {
        const std::string& id = record.content.key;
        if (!record.content.value) {
            this->chief.work.remove_executor(id, now);
            return;
        }
        std::string problem;
        const auto entry = this->chief.decoder.decode_executor(id, *record.content.value, problem);
        if (!entry) {
            process_metrics().count("wigeon_documents_skipped_total");
            if (this->skipped.insert(id).second)
                log_change("executor_entry_skipped", {{"executor", id}, {"reason", problem}});
            return;
        }
        const executor* known = this->chief.work.executors().find(id);
        const bool was_draining = known != nullptr && known->entry.is_draining;
        this->chief.work.update_executor(*entry, now);
        if (entry->is_draining && !was_draining)
            log_change("executor_draining", {{"executor", id}});
        if (!this->chief.contacts.contains(id)) {
            this->chief.contacts[id].timer = std::make_unique<boost::asio::steady_timer>(this->chief.loop);
            // What an executor says means nothing before the jobs are known.
            if (this->chief.stage == phase::leading)
                this->chief.look(id);
        }
    }

    void finish_pages(const std::map<std::string, std::uint64_t, std::less<>>& keys, boot_time now) override
    {
        for (const auto& [id, host] : this->chief.work.executors().all()) {
            if (host.is_listed && !keys.contains(id))
                this->chief.work.remove_executor(id, now);
        }
    }

    void finish_read(std::size_t record_count, boot_time sent_at, boot_time now) override
    {
        static_cast<void>(sent_at);
        static_cast<void>(now);
        if (record_count > 0)
            this->chief.schedule_round(this->chief.round_pause);
    }

private:
    leader& chief;
    std::set<std::string> skipped; // Logged once; each time is counted.
};

namespace {

// Executors that drain get no new work 2 s after they said so; entries change more often than that with every beat.
constexpr reading_pace directory_pace{milliseconds(0), milliseconds(400)};

} // namespace

leader::leader(boost::asio::io_context& event_loop, record_store& record_target, executor_service& executor_calls,
               node_state& node, const document_topics& topics, const document_decoder& document_reader,
               const dispatch_bounds& bounds, leader_identity own_identity, std::uint64_t term)
    : loop(event_loop),
      store(record_target),
      executors(executor_calls),
      state(node),
      decoder(document_reader),
      work(bounds, boot_clock::now()),
      identity(std::move(own_identity)),
      own_term(term),
      fencing_token(term + 1),
      directory_taker(std::make_unique<directory_consumer>(*this)),
      directory(std::make_shared<topic_reader>(event_loop, record_target, topics.executors_topic, directory_pace,
                                               *directory_taker)),
      round_timer(event_loop),
      append_timer(event_loop),
      upkeep_timer(event_loop)
{
}

leader::~leader() = default;

void leader::start(std::function<void(leadership_end)> end_handler)
{
    this->ended = std::move(end_handler);
    this->led_since = boot_clock::now();
    this->last_store_answer = this->led_since;
    this->directory->start();
    this->shut_out_former_leader();
}

void leader::shut_out_former_leader()
{
    append_condition condition;
    condition.producer = {std::string(producer_name), this->own_term + 1, 0};
    this->store.append(progress_topic, {}, condition, [self = this->shared_from_this()](const append_result& result) {
        if (self->stage != phase::shutting_out)
            return;
        if (result.status == append_status::fenced) {
            self->finish(leadership_end::fenced_at_store);
            return;
        }
        if (result.status == append_status::done || result.status == append_status::out_of_sequence) {
            self->next_sequence = result.status == append_status::done ? 1 : result.expected_sequence;
            self->stage = phase::reading;
            self->read_to_end();
            return;
        }
        if (boot_clock::now() - self->led_since > unconfirmed_leader_limit) {
            self->finish(leadership_end::store_out_of_reach);
            return;
        }
        self->append_timer.expires_after(append_pause);
        self->append_timer.async_wait([self](const boost::system::error_code& reason) {
            if (!reason && self->stage == phase::shutting_out)
                self->shut_out_former_leader();
        });
    });
}

void leader::read_to_end()
{
    this->state.refresh_progress([self = this->shared_from_this()](bool is_progress_current) {
        if (self->stage != phase::reading)
            return;
        self->state.refresh_jobs([self, is_progress_current](bool are_jobs_current) {
            if (self->stage != phase::reading)
                return;
            if (is_progress_current && are_jobs_current && self->state.is_complete() && self->directory->is_paged()) {
                self->begin();
                return;
            }
            if (boot_clock::now() - self->led_since > unconfirmed_leader_limit) {
                self->finish(leadership_end::store_out_of_reach);
                return;
            }
            self->append_timer.expires_after(append_pause);
            self->append_timer.async_wait([self](const boost::system::error_code& reason) {
                if (!reason && self->stage == phase::reading)
                    self->read_to_end();
            });
        });
    });
}

void leader::begin()
{
    const boot_time now = boot_clock::now();
    this->stage = phase::leading;
    this->last_append = now - beat_interval;
    this->state.begin_leading(*this);
    this->work.set_policy(*this->state.policy());
    std::size_t open_jobs = 0;
    for (const auto& [id, job] : this->state.jobs().all()) {
        if (job.submission && !job.is_final())
            ++open_jobs;
        this->take_job_change(id, now);
    }
    log_change("leading", {{"term", std::to_string(this->own_term)},
                           {"open_jobs", std::to_string(open_jobs)},
                           {"executors", std::to_string(this->work.executors().all().size())},
                           {"after_ms", std::to_string((now - this->led_since).count())}});
    process_metrics().set_gauge("wigeon_leading", 1);
    for (const auto& [id, link] : this->contacts)
        this->schedule_look(id, milliseconds(0));
    this->schedule_round(this->round_pause);
}

void leader::finish(leadership_end end)
{
    if (this->stage == phase::ended)
        return;
    const bool was_leading = this->stage == phase::leading;
    this->stage = phase::ended;
    this->directory->stop();
    this->round_timer.cancel();
    this->append_timer.cancel();
    this->upkeep_timer.cancel();
    for (auto& [id, link] : this->contacts)
        link.timer->cancel();
    if (was_leading)
        this->state.end_leading();
    process_metrics().set_gauge("wigeon_leading", 0);
    log_change("leading_ended", {{"term", std::to_string(this->own_term)}, {"reason", std::string(to_string(end))}});
    this->ended(end);
}

void leader::resign()
{
    if (this->stage != phase::leading) {
        this->finish(leadership_end::resigned);
        return;
    }
    this->is_resigning = true;
    this->schedule_round(milliseconds(0));
}

void leader::take_job_change(const std::string& id, boot_time now)
{
    const known_job* job = this->state.jobs().find(id);
    if (job == nullptr || !job->submission)
        return;
    const bool has_placed = std::any_of(job->progress.units().begin(), job->progress.units().end(),
                                        [](const records::UnitProgress& part) { return part.placed_on_size() > 0; });
    if (job->is_final() && !has_placed)
        return;
    this->work.add_job(id, *job->submission, job->progress, read_wall_clock_ms(), now);
    if (job->is_cancel_asked)
        this->work.cancel_job(id, now);
    this->schedule_round(this->round_pause);
}

void leader::take_policy(const fleet_policy& policy, boot_time now)
{
    static_cast<void>(now);
    this->work.set_policy(policy);
    this->schedule_round(this->round_pause);
}

bool leader::are_executors_known(boot_time now) const
{
    if (now - this->led_since > first_round_limit && this->directory->is_paged())
        return true;
    std::size_t listed = 0;
    std::size_t reached = 0;
    for (const auto& [id, host] : this->work.executors().all()) {
        listed += host.is_listed ? 1 : 0;
        reached += host.is_listed && host.is_reached ? 1 : 0;
    }
    constexpr std::size_t whole_percent = 100;
    return listed > 0 && reached * whole_percent >= listed * known_share_percent;
}

void leader::schedule_round(milliseconds delay)
{
    if (this->stage != phase::leading || this->is_round_scheduled)
        return;
    this->is_round_scheduled = true;
    this->round_timer.expires_after(delay);
    this->round_timer.async_wait([self = this->shared_from_this()](const boost::system::error_code& reason) {
        self->is_round_scheduled = false;
        if (!reason && self->stage == phase::leading)
            self->run_round();
    });
}

void leader::run_round()
{
    const boot_time now = boot_clock::now();
    if (now - this->last_store_answer > unconfirmed_leader_limit) {
        this->finish(leadership_end::store_out_of_reach);
        return;
    }
    if (!this->pending) {
        if (this->are_executors_known(now) && !this->is_resigning)
            this->decide(now);
        this->commit();
    }
    this->send_stops(now);
    this->log_events();
    if (this->stage == phase::leading && !this->is_round_scheduled) {
        this->upkeep_timer.expires_after(upkeep_interval);
        this->upkeep_timer.async_wait([self = this->shared_from_this()](const boost::system::error_code& reason) {
            if (!reason)
                self->schedule_round(milliseconds(0));
        });
    }
}

// Rounds that take long are held less often, so that calls and looks are not kept waiting.
void leader::decide(boot_time now)
{
    const steady_time begun = read_steady_clock();
    this->work.decide(read_wall_clock_ms(), now);
    const auto took = std::chrono::duration_cast<std::chrono::microseconds>(read_steady_clock() - begun);
    constexpr double microseconds_per_millisecond = 1000.0;
    process_metrics().observe_ms("wigeon_round_ms", static_cast<double>(took.count()) / microseconds_per_millisecond);
    const auto pause = std::chrono::duration_cast<milliseconds>(took * round_rest_factor);
    this->round_pause = std::clamp(pause, round_delay, longest_round_pause);
}

std::string leader::make_beat(bool is_resigned) const
{
    records::LeaderBeat beat;
    beat.set_node(this->identity.node);
    beat.set_incarnation(this->identity.incarnation);
    beat.set_term(this->own_term);
    beat.set_resigned(is_resigned);
    return beat.SerializeAsString();
}

void leader::commit()
{
    const boot_time now = boot_clock::now();
    dispatch_changes changes = this->work.collect_changes();
    const bool is_beat_due = now - this->last_append >= beat_interval || this->is_resigning;
    if (changes.records.empty() && !is_beat_due) {
        if (!changes.ends.empty()) {
            this->pending = std::move(changes);
            this->confirm();
        }
        return;
    }
    this->pending_records.clear();
    for (const dispatch_changes::job_record& record : changes.records)
        this->pending_records.push_back({record.job, record.progress.SerializeAsString()});
    if (is_beat_due)
        this->pending_records.push_back({std::string(leader_key), this->make_beat(this->is_resigning)});
    this->has_told_resignation = this->is_resigning;
    this->pending = std::move(changes);
    this->last_append = now;
    this->send_append();
}

void leader::send_append()
{
    append_condition condition;
    condition.producer = {std::string(producer_name), this->own_term + 1, this->next_sequence};
    this->store.append(progress_topic, this->pending_records, condition,
                       [self = this->shared_from_this()](const append_result& result) { self->take_append(result); });
}

void leader::take_append(const append_result& result)
{
    if (this->stage != phase::leading)
        return;
    const boot_time now = boot_clock::now();
    if (result.status == append_status::done) {
        this->last_store_answer = now;
        ++this->next_sequence;
        process_metrics().observe_ms("wigeon_commit_ms", static_cast<double>((now - this->last_append).count()));
        this->confirm();
        return;
    }
    if (result.status == append_status::fenced || result.status == append_status::condition_failed) {
        this->finish(leadership_end::fenced_at_store);
        return;
    }
    if (result.status == append_status::out_of_sequence) {
        // No other process has this epoch, so an expected number that is higher by one says that the append was done.
        log_change("append_out_of_sequence", {{"sent", std::to_string(this->next_sequence)},
                                              {"expected", std::to_string(result.expected_sequence)}});
        const bool is_done = result.expected_sequence == this->next_sequence + 1;
        this->next_sequence = result.expected_sequence;
        if (is_done) {
            this->confirm();
            return;
        }
    }
    count_retry(result.status == append_status::unknown ? "append_lost" : "append_rejected");
    this->append_timer.expires_after(append_pause);
    this->append_timer.async_wait([self = this->shared_from_this()](const boost::system::error_code& reason) {
        if (!reason && self->stage == phase::leading)
            self->send_append();
    });
}

void leader::confirm()
{
    const boot_time now = boot_clock::now();
    const dispatch_changes changes = std::move(*this->pending);
    this->pending.reset();
    for (const keyed_record& record : this->pending_records)
        this->state.apply_own_progress(record, now);
    this->pending_records.clear();
    if (this->has_told_resignation) {
        this->finish(leadership_end::resigned);
        return;
    }
    for (const dispatch_changes::job_record& record : changes.records) {
        if (is_final(record.progress.phase()))
            log_change("job_ended", {{"job", record.job},
                                     {"state", records::JobPhase_Name(record.progress.phase())},
                                     {"term", std::to_string(this->own_term)}});
    }
    for (const start_order& order : this->work.confirm_changes(changes, now))
        this->send_start(order);
    // The executors may now forget these ends.
    for (const dispatch_changes::noted_ends& noted : changes.ends)
        this->schedule_look(noted.executor, milliseconds(0));
    this->schedule_round(this->round_pause);
}

void leader::send_start(const start_order& order)
{
    executor* host = this->work.executors().find(order.executor);
    if (host == nullptr || !host->is_reached) {
        this->work.take_start_answer(order, start_answer::refused, boot_clock::now());
        return;
    }
    const boot_time now = boot_clock::now();
    const milliseconds deadline = this->work.executors().extend_lease(*host, now);
    const executor_target target{order.executor, host->entry.address};
    this->executors.start(
        target, order, deadline, this->fencing_token,
        [self = this->shared_from_this(), order, sent_at = now](const order_result& result) {
            if (self->stage != phase::leading)
                return;
            const boot_time answered = boot_clock::now();
            process_metrics().observe_ms("wigeon_start_ms", static_cast<double>((answered - sent_at).count()));
            start_answer answer = start_answer::refused;
            switch (result.answer) {
            case executor_verdict::accepted:
                answer = start_answer::accepted;
                break;
            case executor_verdict::fenced:
                self->take_fence(order.executor);
                return;
            case executor_verdict::no_room:
                answer = start_answer::refused_for_room;
                break;
            case executor_verdict::refused:
                break;
            case executor_verdict::unreachable:
                // Not to be chosen again before it answers a look.
                if (executor* silent = self->work.executors().find(order.executor))
                    silent->last_look_sent.reset();
                break;
            case executor_verdict::unknown:
                answer = start_answer::unknown;
                break;
            }
            if (answer != start_answer::accepted) {
                count_retry("start_" + (result.reason.empty() ? std::string("unanswered") : result.reason));
                log_change("start_failed", {{"job", order.target.job},
                                            {"task", order.task},
                                            {"run", std::to_string(order.target.run)},
                                            {"executor", order.executor},
                                            {"reason", result.reason.empty() ? "no answer" : result.reason}});
            }
            self->work.take_start_answer(order, answer, answered);
            if (answer != start_answer::accepted)
                self->schedule_round(self->round_pause);
        });
}

void leader::send_stops(boot_time now)
{
    if (this->stage != phase::leading)
        return;
    for (const stop_order& order : this->work.collect_stops(now)) {
        const executor* host = this->work.executors().find(order.executor);
        if (host == nullptr) {
            this->work.take_stop_answer(order, false, now);
            continue;
        }
        this->executors.stop({order.executor, host->entry.address}, order, this->fencing_token,
                             [self = this->shared_from_this(), order](const order_result& result) {
                                 if (self->stage != phase::leading)
                                     return;
                                 if (result.answer == executor_verdict::fenced) {
                                     self->take_fence(order.executor);
                                     return;
                                 }
                                 const bool is_known = is_stop_acknowledged(result.answer);
                                 self->work.take_stop_answer(order, is_known, boot_clock::now());
                                 if (is_known)
                                     self->schedule_denial(order);
                             });
    }
}

// A look that waits for an end would tell a second later that the stopped run is not there.
void leader::schedule_denial(const stop_order& order)
{
    const auto timer = std::make_shared<boost::asio::steady_timer>(this->loop);
    timer->expires_after(this->work.stop_time() + denial_margin);
    timer->async_wait([self = this->shared_from_this(), timer, order](const boost::system::error_code& reason) {
        if (reason || self->stage != phase::leading || !self->work.awaits_denial(order))
            return;
        executor* host = self->work.executors().find(order.executor);
        if (host == nullptr || !host->is_reached)
            return;
        look_request request;
        request.fencing_token = self->fencing_token;
        request.last_end_noted = host->last_end_noted;
        const boot_time now = boot_clock::now();
        self->executors.look({order.executor, host->entry.address}, request,
                             [self, id = order.executor, now](const look_result& result) {
                                 if (self->stage != phase::leading || result.answer != executor_verdict::accepted)
                                     return;
                                 self->work.take_look(id, result.report, now, boot_clock::now());
                                 self->schedule_round(self->round_pause);
                             });
    });
}

void leader::schedule_look(const std::string& id, milliseconds pause)
{
    const auto found = this->contacts.find(id);
    if (found == this->contacts.end() || found->second.is_looking || this->stage == phase::ended)
        return;
    boost::asio::steady_timer& timer = *found->second.timer;
    timer.expires_after(pause);
    timer.async_wait([self = this->shared_from_this(), id](const boost::system::error_code& reason) {
        if (!reason && self->stage != phase::ended)
            self->look(id);
    });
}

void leader::look(const std::string& id)
{
    const auto found = this->contacts.find(id);
    executor* host = this->work.executors().find(id);
    if (found == this->contacts.end() || found->second.is_looking || host == nullptr)
        return;
    contact& link = found->second;
    if (!host->is_listed && link.failures_in_row >= unlisted_look_failures) {
        this->executors.forget(host->entry.address);
        this->contacts.erase(found);
        return;
    }
    const boot_time now = boot_clock::now();
    look_request request;
    request.fencing_token = this->fencing_token;
    request.last_end_noted = host->last_end_noted;
    const bool has_members = this->work.runs().has_members_on(id);
    if (host->is_reached) {
        // What this leader has not seen yet keeps the lease that the former leader gave it.
        if (has_members)
            request.lease_deadline = this->work.executors().extend_lease(*host, now);
        // Ends that are on their way to the store would be listed again at once.
        const bool is_noting = host->last_end_seen > host->last_end_noted;
        request.wait = is_noting ? milliseconds(0) : has_members ? busy_look_wait : idle_look_wait;
    }
    link.is_looking = true;
    this->executors.look(
        {id, host->entry.address}, request,
        [self = this->shared_from_this(), id, now](const look_result& result) { self->take_look(id, now, result); });
}

void leader::take_look(const std::string& id, boot_time sent_at, const look_result& result)
{
    if (this->stage == phase::ended)
        return;
    const auto found = this->contacts.find(id);
    if (found == this->contacts.end())
        return;
    contact& link = found->second;
    link.is_looking = false;
    if (result.answer == executor_verdict::fenced) {
        this->take_fence(id);
        return;
    }
    executor* host = this->work.executors().find(id);
    if (result.answer != executor_verdict::accepted || host == nullptr) {
        if (link.failures_in_row == 0)
            log_change("executor_out_of_reach", {{"executor", id}});
        ++link.failures_in_row;
        if (host != nullptr)
            host->last_look_sent.reset();
        process_metrics().count("wigeon_looks_failed_total");
        this->schedule_look(id, std::min(failed_look_pause * link.failures_in_row, longest_look_pause));
        return;
    }
    if (link.failures_in_row > 0)
        log_change("executor_reached_again", {{"executor", id}, {"failures", std::to_string(link.failures_in_row)}});
    link.failures_in_row = 0;
    const boot_time now = boot_clock::now();
    const bool was_reached = host->is_reached;
    const std::uint64_t ends_before = host->last_end_seen;
    this->work.take_look(id, result.report, sent_at, now);
    for (const ended_task& ended : result.report.ended) {
        if (ended.number > ends_before && ended.ending != run_ending::done)
            log_change("run_ended", {{"task", ended.task},
                                     {"run", std::to_string(ended.run)},
                                     {"executor", id},
                                     {"ending", std::string(to_string(ended.ending))}});
    }
    const bool is_noting = host->last_end_seen > host->last_end_noted;
    // A first look without anything new is followed by one that renews; the append of ends calls for the next one
    // itself.
    this->schedule_look(id, is_noting ? noted_look_pause : milliseconds(0));
    if (!was_reached || is_noting || host->last_end_seen > ends_before)
        this->schedule_round(this->round_pause);
}

void leader::take_fence(const std::string& id)
{
    log_change("fenced", {{"executor", id}, {"token", std::to_string(this->fencing_token)}});
    this->finish(leadership_end::fenced_at_executor);
}

void leader::log_events()
{
    for (const dispatch_event& event : this->work.take_events())
        log_change(event.name, {{"job", event.job},
                                {"detail", event.detail},
                                {"term", std::to_string(this->own_term)},
                                {"configuration", std::to_string(this->state.policy()->version)}});
}

} // namespace wigeon
