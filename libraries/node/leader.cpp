// The leader's loop: rounds of decisions, the append of what they decided, and the orders behind it.

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

// The first round waits until most executors have been looked at, but no longer than this.
constexpr milliseconds first_round_limit{400};

// A read of the state that a new leader takes over is tried again after this time.
constexpr milliseconds read_pause{60};

// One more than the term, since executors take a missing token as 0.
std::uint64_t make_fencing_token(std::uint64_t term)
{
    return term + 1;
}

leadership_end find_end(progress_outcome outcome)
{
    return outcome == progress_outcome::fenced ? leadership_end::fenced_at_store : leadership_end::store_out_of_reach;
}

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

leader::leader(boost::asio::io_context& loop, const node_connections& outside, node_state& node,
               const leader_options& options, std::uint64_t term)
    : advisor(outside.advisor),
      state(node),
      work(options.bounds, boot_clock::now()),
      identity(options.identity),
      own_term(term),
      led_since(boot_clock::now()),
      writer(std::make_shared<progress_writer>(loop, outside.store, term, led_since)),
      contacts(std::make_shared<executor_contacts>(loop, outside, work, make_fencing_token(term), *this)),
      sweeper(std::make_shared<job_sweeper>(outside.store, node, options.job_retention)),
      read_timer(loop),
      round_timer(loop),
      upkeep_timer(loop)
{
}

leader::~leader()
{
    this->writer->stop();
    this->contacts->stop();
}

void leader::start(std::function<void(leadership_end)> end_handler)
{
    this->ended = std::move(end_handler);
    this->contacts->start();
    this->writer->shut_out_former_leader([self = this->shared_from_this()](progress_outcome outcome) {
        if (outcome != progress_outcome::done) {
            self->finish(find_end(outcome));
            return;
        }
        self->stage = phase::reading;
        self->read_to_end();
    });
}

void leader::read_to_end()
{
    this->state.refresh_progress([self = this->shared_from_this()](bool is_progress_current) {
        if (self->stage != phase::reading)
            return;
        self->state.refresh_jobs([self, is_progress_current](bool are_jobs_current) {
            if (self->stage == phase::reading)
                self->take_reading(is_progress_current && are_jobs_current);
        });
    });
}

void leader::take_reading(bool is_current)
{
    if (is_current && this->state.is_complete() && this->contacts->is_directory_read()) {
        this->begin();
        return;
    }
    if (boot_clock::now() - this->led_since > max_unconfirmed_leadership) {
        this->finish(leadership_end::store_out_of_reach);
        return;
    }
    this->read_timer.expires_after(read_pause);
    this->read_timer.async_wait([self = this->shared_from_this()](const boost::system::error_code& reason) {
        if (!reason && self->stage == phase::reading)
            self->read_to_end();
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
    this->contacts->begin_looks();
    this->schedule_round(this->round_pause);
}

void leader::finish(leadership_end end)
{
    if (this->stage == phase::ended)
        return;
    const bool was_leading = this->stage == phase::leading;
    this->stage = phase::ended;
    this->writer->stop();
    this->contacts->stop();
    this->read_timer.cancel();
    this->round_timer.cancel();
    this->upkeep_timer.cancel();
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
    if (job->is_final() && !job->has_placed_units())
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

// The first round waits for most executors, so that their room is known, but not for long.
bool leader::may_decide(boot_time now) const
{
    const bool has_waited = now - this->led_since > first_round_limit;
    return !this->is_resigning && (has_waited || this->contacts->are_most_known());
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
    if (this->writer->is_out_of_reach(now)) {
        this->finish(leadership_end::store_out_of_reach);
        return;
    }
    if (!this->pending) {
        if (this->may_decide(now))
            this->decide(now);
        this->commit();
    }
    this->ask_advisor(now);
    this->contacts->send_stops(now);
    this->sweeper->sweep(now);
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
    this->pending_records = this->sweeper->list_progress_removals(now);
    for (const dispatch_changes::job_record& record : changes.records)
        this->pending_records.push_back({record.job, record.progress.SerializeAsString()});
    if (is_beat_due)
        this->pending_records.push_back({std::string(leader_key), this->make_beat(this->is_resigning)});
    this->has_told_resignation = this->is_resigning;
    this->pending = std::move(changes);
    this->last_append = now;
    this->writer->append(this->pending_records, [self = this->shared_from_this()](progress_outcome outcome) {
        if (outcome == progress_outcome::done)
            self->confirm();
        else
            self->finish(find_end(outcome));
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
        this->contacts->send_start(order);
    // The executors may now forget these ends.
    for (const dispatch_changes::recorded_ends& noted : changes.ends)
        this->contacts->look_soon(noted.executor);
    this->schedule_round(this->round_pause);
}

void leader::ask_advisor(boot_time now)
{
    auto question = this->stage == phase::leading ? this->work.take_advice_request(now) : std::nullopt;
    if (!question)
        return;
    const advice_request asked = *question;
    this->advisor.ask(asked, [self = this->shared_from_this(), asked, now](const std::optional<advice_response>& answer) {
        if (self->stage != phase::leading)
            return;
        const boot_time answered = boot_clock::now();
        process_metrics().observe_ms("wigeon_advice_ms", static_cast<double>((answered - now).count()));
        log_change("advice", {{"step", asked.step},
                              {"asked", std::to_string(asked.executors.size())},
                              {"allowed", answer ? std::to_string(answer->tickets.size()) : "unknown"},
                              {"took_ms", std::to_string((answered - now).count())}});
        self->work.handle_advice_response(asked, answer, now, answered);
        // Without an answer the next regular round asks again.
        if (answer)
            self->schedule_round(self->round_pause);
    });
}

void leader::take_news()
{
    this->schedule_round(this->round_pause);
}

void leader::take_fence()
{
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
