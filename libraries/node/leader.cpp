// The leader's loop: rounds of decisions, the appends that record them, and the orders sent once these are stored.

#include "node/leader.h"

#include <algorithm>
#include <utility>

#include "base/logging.h"
#include "base/metrics.h"
#include "jobs/job_keys.h"

namespace wigeon {

namespace {

// The leader appends a record at least this often, so that followers see that it is alive: four intervals make up their
// timeout of 1.6 s.
constexpr milliseconds heartbeat_interval{400};

// Delay of a round, so that events that arrive together are decided together.
constexpr milliseconds min_round_delay{3};

// The next round is delayed by this many times the duration of the last one, up to the maximum.
constexpr int round_delay_factor = 3;
constexpr milliseconds max_round_delay{150};

// Rounds also run at this interval, to handle stops that were not answered and leases that expired.
constexpr milliseconds maintenance_interval{200};

// The first decisions wait until most executors have answered a poll, but no longer than this after the claim.
constexpr milliseconds max_first_round_delay{400};

// Delay before a new leader repeats an incomplete read of the state that it takes over.
constexpr milliseconds read_retry_delay{60};

// One more than the term, since executors treat a missing token as 0.
std::uint64_t make_fencing_token(std::uint64_t term)
{
    return term + 1;
}

leadership_end to_leadership_end(progress_outcome outcome)
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

leader::leader(boost::asio::io_context& loop, const external_services& external, node_state& shared_state,
               const leader_options& options, std::uint64_t term)
    : advisor(external.advisor),
      state(shared_state),
      job_dispatcher(options.limits, boot_clock::now()),
      identity(options.identity),
      own_term(term),
      term_started_at(boot_clock::now()),
      writer(std::make_shared<progress_writer>(loop, external.store, term, term_started_at)),
      sessions(std::make_shared<executor_sessions>(loop, external, job_dispatcher, make_fencing_token(term), *this)),
      sweeper(std::make_shared<job_sweeper>(external.store, shared_state, options.job_retention)),
      read_timer(loop),
      round_timer(loop),
      maintenance_timer(loop)
{
}

leader::~leader()
{
    this->writer->stop();
    this->sessions->stop();
}

void leader::start(std::function<void(leadership_end)> end_handler)
{
    this->on_ended = std::move(end_handler);
    this->sessions->start();
    this->writer->fence_former_leader([self = this->shared_from_this()](progress_outcome outcome) {
        if (outcome != progress_outcome::done) {
            self->finish(to_leadership_end(outcome));
            return;
        }
        self->stage = phase::reading;
        self->read_state();
    });
}

void leader::read_state()
{
    this->state.refresh_progress([self = this->shared_from_this()](bool is_progress_current) {
        if (self->stage != phase::reading)
            return;
        self->state.refresh_jobs([self, is_progress_current](bool are_jobs_current) {
            if (self->stage == phase::reading)
                self->handle_state_read(is_progress_current && are_jobs_current);
        });
    });
}

void leader::handle_state_read(bool is_current)
{
    if (is_current && this->state.is_loaded() && this->sessions->is_directory_read()) {
        this->begin_leading();
        return;
    }
    if (boot_clock::now() - this->term_started_at > max_unconfirmed_leadership) {
        this->finish(leadership_end::store_out_of_reach);
        return;
    }
    this->read_timer.expires_after(read_retry_delay);
    this->read_timer.async_wait([self = this->shared_from_this()](const boost::system::error_code& reason) {
        if (!reason && self->stage == phase::reading)
            self->read_state();
    });
}

void leader::begin_leading()
{
    const boot_time now = boot_clock::now();
    this->stage = phase::leading;
    this->last_append = now - heartbeat_interval;
    this->state.begin_leading(*this);
    this->job_dispatcher.set_policy(*this->state.policy());
    std::size_t open_jobs = 0;
    for (const auto& [id, job] : this->state.jobs().all()) {
        if (job.submission && !job.is_final())
            ++open_jobs;
        this->handle_job_change(id, now);
    }
    log_event("leading", {{"term", std::to_string(this->own_term)},
                          {"open_jobs", std::to_string(open_jobs)},
                          {"executors", std::to_string(this->job_dispatcher.executors().all().size())},
                          {"after_ms", std::to_string((now - this->term_started_at).count())}});
    process_metrics().set_gauge("wigeon_leading", 1);
    this->sessions->start_polling();
    this->schedule_round(this->next_round_delay);
}

void leader::finish(leadership_end end)
{
    if (this->stage == phase::ended)
        return;
    const bool was_leading = this->stage == phase::leading;
    this->stage = phase::ended;
    this->writer->stop();
    this->sessions->stop();
    this->read_timer.cancel();
    this->round_timer.cancel();
    this->maintenance_timer.cancel();
    if (was_leading)
        this->state.end_leading();
    process_metrics().set_gauge("wigeon_leading", 0);
    log_event("leading_ended", {{"term", std::to_string(this->own_term)}, {"reason", std::string(to_string(end))}});
    this->on_ended(end);
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

void leader::handle_job_change(const std::string& id, boot_time now)
{
    const job_entry* job = this->state.jobs().find(id);
    if (job == nullptr || !job->submission)
        return;
    if (job->is_final() && !job->has_placed_units())
        return;
    this->job_dispatcher.add_job(id, *job->submission, job->progress, read_wall_clock_ms(), now);
    if (job->is_cancel_requested)
        this->job_dispatcher.cancel_job(id, now);
    this->schedule_round(this->next_round_delay);
}

void leader::handle_policy_change(const fleet_policy& policy, boot_time now)
{
    static_cast<void>(now);
    this->job_dispatcher.set_policy(policy);
    this->schedule_round(this->next_round_delay);
}

// The first decisions wait for most executors, up to a limit, so that their free resources are known.
bool leader::may_decide(boot_time now) const
{
    const bool has_waited = now - this->term_started_at > max_first_round_delay;
    return !this->is_resigning && (has_waited || this->sessions->are_most_reached());
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
    if (this->writer->has_timed_out(now)) {
        this->finish(leadership_end::store_out_of_reach);
        return;
    }
    if (!this->pending_changes) {
        if (this->may_decide(now))
            this->decide(now);
        this->commit();
    }
    this->query_advisor(now);
    this->sessions->send_stops(now);
    this->sweeper->sweep(now);
    this->log_events();
    if (this->stage == phase::leading && !this->is_round_scheduled) {
        this->maintenance_timer.expires_after(maintenance_interval);
        this->maintenance_timer.async_wait([self = this->shared_from_this()](const boost::system::error_code& reason) {
            if (!reason)
                self->schedule_round(milliseconds(0));
        });
    }
}

// Long rounds run less often, so that they don't delay callers' requests and polls on the event loop.
void leader::decide(boot_time now)
{
    const steady_time started_at = read_steady_clock();
    this->job_dispatcher.decide(read_wall_clock_ms(), now);
    const auto duration = std::chrono::duration_cast<std::chrono::microseconds>(read_steady_clock() - started_at);
    constexpr double microseconds_per_millisecond = 1000.0;
    process_metrics().observe_ms("wigeon_round_ms",
                                 static_cast<double>(duration.count()) / microseconds_per_millisecond);
    const auto delay = std::chrono::duration_cast<milliseconds>(duration * round_delay_factor);
    this->next_round_delay = std::clamp(delay, min_round_delay, max_round_delay);
}

std::string leader::make_heartbeat(bool is_resigned) const
{
    records::LeaderBeat heartbeat;
    heartbeat.set_node(this->identity.node);
    heartbeat.set_incarnation(this->identity.incarnation);
    heartbeat.set_term(this->own_term);
    heartbeat.set_resigned(is_resigned);
    return heartbeat.SerializeAsString();
}

void leader::commit()
{
    const boot_time now = boot_clock::now();
    dispatch_changes changes = this->job_dispatcher.collect_changes();
    const bool is_heartbeat_due = now - this->last_append >= heartbeat_interval || this->is_resigning;
    if (changes.records.empty() && !is_heartbeat_due) {
        if (!changes.ends.empty()) {
            this->pending_changes = std::move(changes);
            this->apply_committed();
        }
        return;
    }
    this->pending_records = this->sweeper->list_progress_removals(now);
    for (const dispatch_changes::job_record& record : changes.records)
        this->pending_records.push_back({record.job, record.progress.SerializeAsString()});
    if (is_heartbeat_due)
        this->pending_records.push_back({std::string(leader_key), this->make_heartbeat(this->is_resigning)});
    this->is_resignation_in_flight = this->is_resigning;
    this->pending_changes = std::move(changes);
    this->last_append = now;
    this->writer->append(this->pending_records, [self = this->shared_from_this()](progress_outcome outcome) {
        if (outcome == progress_outcome::done)
            self->apply_committed();
        else
            self->finish(to_leadership_end(outcome));
    });
}

void leader::apply_committed()
{
    const boot_time now = boot_clock::now();
    const dispatch_changes changes = std::move(*this->pending_changes);
    this->pending_changes.reset();
    for (const keyed_record& record : this->pending_records)
        this->state.apply_own_progress(record, now);
    this->pending_records.clear();
    if (this->is_resignation_in_flight) {
        this->finish(leadership_end::resigned);
        return;
    }
    for (const dispatch_changes::job_record& record : changes.records) {
        if (is_final(record.progress.phase()))
            log_event("job_ended", {{"job", record.job},
                                    {"state", records::JobPhase_Name(record.progress.phase())},
                                    {"term", std::to_string(this->own_term)}});
    }
    for (const start_order& order : this->job_dispatcher.confirm_changes(changes, now))
        this->sessions->send_start(order);
    // These ends are in the store now; the next poll allows the executors to drop them.
    for (const dispatch_changes::recorded_ends& recorded : changes.ends)
        this->sessions->poll_now(recorded.executor);
    this->schedule_round(this->next_round_delay);
}

void leader::query_advisor(boot_time now)
{
    auto next_request = this->stage == phase::leading ? this->job_dispatcher.take_advice_request(now) : std::nullopt;
    if (!next_request)
        return;
    const advice_request request = *next_request;
    this->advisor.query(
        request, [self = this->shared_from_this(), request, now](const std::optional<advice_response>& response) {
            if (self->stage != phase::leading)
                return;
            const boot_time answered_at = boot_clock::now();
            process_metrics().observe_ms("wigeon_advice_ms", static_cast<double>((answered_at - now).count()));
            log_event("advice", {{"step", request.step},
                                 {"asked", std::to_string(request.executors.size())},
                                 {"allowed", response ? std::to_string(response->tickets.size()) : "unknown"},
                                 {"took_ms", std::to_string((answered_at - now).count())}});
            self->job_dispatcher.handle_advice_response(request, response, now, answered_at);
            // Without an answer the next regular round queries the advisor again.
            if (response)
                self->schedule_round(self->next_round_delay);
        });
}

void leader::handle_change()
{
    this->schedule_round(this->next_round_delay);
}

void leader::handle_fenced()
{
    this->finish(leadership_end::fenced_at_executor);
}

void leader::log_events()
{
    for (const dispatch_event& event : this->job_dispatcher.take_events())
        log_event(event.name, {{"job", event.job},
                               {"detail", event.detail},
                               {"term", std::to_string(this->own_term)},
                               {"configuration", std::to_string(this->state.policy()->version)}});
}

} // namespace wigeon
