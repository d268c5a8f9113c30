// The leader's loop: rounds of decisions, the appends that record them, and the orders sent once these are stored.

#include "node/leader.h"

#include <algorithm>
#include <utility>

#include <boost/asio/post.hpp>

#include "base/logging.h"
#include "base/metrics.h"
#include "base/turn_timer.h"
#include "jobs/job_keys.h"

namespace wigeon {

namespace {

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

// Tombstones of units whose jobs are gone that one append may hold, so that a heartbeat never waits long for it.
constexpr std::size_t stale_records_per_append = 10'000;

// Jobs and units that one turn of the event loop restores, so that heartbeats, polls and callers never wait long for
// it.
constexpr std::size_t restored_per_turn = 2'000;

// After this time of preparation, the leases of running tasks are renewed. Shorter than a lease, which the former
// leader's last renewal has begun; most preparations are over before.
constexpr milliseconds lease_renewal_delay{1'000};

// The first heartbeat waits at most this long, after the former leader is shut out, for the read of what that leader's
// last one says.
constexpr milliseconds max_first_heartbeat_delay{400};

// Interval of the checks whether a heartbeat is due while a new leader prepares.
constexpr milliseconds heartbeat_check_interval{100};

// A timer that runs this much too late shows that the process was stopped.
constexpr milliseconds min_reported_pause{1'000};

// Series of wigeon_account_share. Those of the largest shares show who holds the fleet; accounts are not bounded.
constexpr std::size_t max_share_series = 10;

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
    case leadership_end::isolated:
        return "isolated";
    }
    return "unknown";
}

leader::leader(boost::asio::io_context& loop, const external_services& external, node_state& shared_state,
               const leader_options& options, std::uint64_t term)
    : advisor(external.advisor),
      state(shared_state),
      job_dispatcher(options.limits, boot_clock::now()),
      converts_to_unit_records(options.converts_to_unit_records),
      max_evacuation_age(options.max_evacuation_age),
      max_confirmation_age(options.max_confirmation_age),
      own_term(term),
      term_started_at(boot_clock::now()),
      scheduler(loop),
      recorder(std::make_shared<progress_recorder>(loop, external.store, shared_state, options.identity, term,
                                                   term_started_at)),
      units(std::make_shared<unit_loader>(scheduler, external.store, shared_state.jobs())),
      sessions(std::make_shared<executor_sessions>(loop, external, job_dispatcher, make_fencing_token(term), *this)),
      sweeper(std::make_shared<job_sweeper>(external.store, shared_state, options.job_retention)),
      heartbeat_timer(loop),
      read_timer(loop),
      round_timer(loop),
      maintenance_timer(loop)
{
}

leader::~leader()
{
    this->recorder->stop();
    this->units->stop();
    this->sessions->stop();
}

void leader::start(std::function<void(leadership_end)> end_handler)
{
    this->on_ended = std::move(end_handler);
    this->sessions->start();
    this->recorder->fence_former_leader([self = this->shared_from_this()](progress_outcome outcome) {
        if (outcome != progress_outcome::done) {
            self->finish(to_leadership_end(outcome));
            return;
        }
        self->stage = phase::preparing;
        self->fenced_at = boot_clock::now();
        self->send_heartbeats();
        self->read_state();
    });
}

// Shows the followers that this term has a leader, however long the preparation takes.
void leader::send_heartbeats()
{
    if (this->stage != phase::preparing)
        return;
    const boot_time now = boot_clock::now();
    this->send_heartbeat_if_due(now);
    if (now - this->term_started_at > lease_renewal_delay)
        this->renew_leases(now);
    if (this->stage != phase::preparing)
        return;
    this->heartbeat_timer.expires_after(heartbeat_check_interval);
    this->heartbeat_timer.async_wait([self = this->shared_from_this()](const boost::system::error_code& reason) {
        if (!reason)
            self->send_heartbeats();
    });
}

void leader::send_heartbeat_if_due(boot_time now)
{
    if (this->awaits_former_leases && now - this->fenced_at < max_first_heartbeat_delay)
        return;
    if (this->recorder->is_appending() || !this->recorder->is_heartbeat_due(now))
        return;
    this->awaits_former_leases = false;
    this->is_heartbeat_in_flight = true;
    const progress_recorder::heartbeat content{this->job_dispatcher.suspend_leases(now), false};
    this->recorder->send_heartbeat(content, now, [self = this->shared_from_this()](progress_outcome outcome) {
        if (outcome != progress_outcome::done) {
            self->finish(to_leadership_end(outcome));
            return;
        }
        self->handle_append_stored();
        if (self->stage == phase::leading)
            self->schedule_round(self->next_round_delay);
    });
}

// A term in between whose leader recorded no heartbeat may have renewed any lease.
void leader::take_over_leases()
{
    if (!std::exchange(this->awaits_former_leases, false))
        return;
    const node_state::leader_liveness& former = this->state.observed_leader();
    if (former.heartbeat.term() + 1 != this->own_term)
        return;
    lease_record record;
    record.executors = former.heartbeat.executors();
    for (const records::SuspendedLease& lease : former.heartbeat.suspended_leases())
        record.suspended.push_back({lease.executor(), lease.address(), lease.born_ms(), milliseconds(lease.left_ms())});
    this->job_dispatcher.executors().add_former_leases(record, former.heartbeat_read_at);
    log_event("leases_taken_over", {{"term", std::to_string(this->own_term)},
                                    {"suspended", std::to_string(record.suspended.size())},
                                    {"former_executors", std::to_string(record.executors)}});
}

void leader::renew_leases(boot_time now)
{
    if (!this->state.policy())
        return;
    if (!std::exchange(this->has_renewed_leases, true)) {
        log_event("preparation_is_long", {{"term", std::to_string(this->own_term)}});
        this->job_dispatcher.set_policy(*this->state.policy());
        for (const auto& [id, job] : this->state.jobs().all()) {
            if (job.submission && !job.is_final())
                this->job_dispatcher.add_pool_of(*job.submission);
        }
        this->sessions->handle_pool_change(now);
    }
    this->sessions->renew_leases(now);
}

void leader::read_state()
{
    this->state.refresh_progress([self = this->shared_from_this()](bool is_progress_current) {
        if (self->stage != phase::preparing)
            return;
        if (is_progress_current)
            self->take_over_leases();
        self->send_heartbeat_if_due(boot_clock::now());
        self->state.refresh_jobs([self, is_progress_current](bool are_jobs_current) {
            if (self->stage == phase::preparing)
                self->handle_state_read(is_progress_current && are_jobs_current);
        });
    });
}

void leader::read_state_later()
{
    this->read_timer.expires_after(read_retry_delay);
    this->read_timer.async_wait([self = this->shared_from_this()](const boost::system::error_code& reason) {
        if (!reason && self->stage == phase::preparing)
            self->read_state();
    });
}

void leader::handle_state_read(bool is_current)
{
    if (!is_current || !this->state.is_loaded() || !this->sessions->is_directory_read()) {
        if (boot_clock::now() - this->term_started_at > max_unconfirmed_leadership)
            this->finish(leadership_end::store_out_of_reach);
        else
            this->read_state_later();
        return;
    }
    if (this->state.has_unit_records())
        this->load_units();
    else if (this->converts_to_unit_records)
        this->convert_records();
    else {
        this->job_dispatcher.set_progress_format(progress_format::per_job);
        this->begin_restoring({});
    }
}

void leader::convert_records()
{
    if (this->recorder->is_appending()) {
        this->read_state_later();
        return;
    }
    this->recorder->convert_to_unit_records([self = this->shared_from_this()](progress_outcome outcome) {
        if (outcome == progress_outcome::done)
            self->load_units();
        else
            self->finish(to_leadership_end(outcome));
    });
}

void leader::load_units()
{
    this->units->start([self = this->shared_from_this()](unit_progress_map loaded) {
        if (self->stage == phase::preparing)
            self->begin_restoring(std::move(loaded));
    });
}

void leader::begin_restoring(unit_progress_map loaded)
{
    this->loaded_units = std::move(loaded);
    this->job_dispatcher.set_policy(*this->state.policy());
    this->sessions->handle_pool_change(boot_clock::now());
    this->restore_jobs();
}

void leader::restore_jobs()
{
    if (this->stage != phase::preparing)
        return;
    const turn_timer timer("restore_jobs");
    const boot_time now = boot_clock::now();
    const auto& jobs = this->state.jobs().all();
    std::size_t restored = 0;
    auto next = jobs.upper_bound(this->last_restored_job);
    for (; next != jobs.end() && restored < restored_per_turn; ++next) {
        restored += 1 + this->restore_job(next->first, next->second, now);
        this->last_restored_job = next->first;
    }
    if (next == jobs.end())
        this->begin_leading();
    else
        boost::asio::post(this->read_timer.get_executor(), [self = this->shared_from_this()] { self->restore_jobs(); });
}

// Returns the number of units that were restored.
std::size_t leader::restore_job(const std::string& id, const job_entry& job, boot_time now)
{
    if (!job.submission)
        return 0;
    const auto found = this->loaded_units.find(id);
    if (found == this->loaded_units.end()) {
        this->handle_job_change(id, now);
        return static_cast<std::size_t>(job.progress.units_size());
    }
    found->second.set_phase(job.progress.phase());
    this->add_job(id, job, found->second, now);
    const auto unit_count = static_cast<std::size_t>(found->second.units_size());
    this->loaded_units.erase(found);
    return unit_count;
}

void leader::begin_leading()
{
    const boot_time now = boot_clock::now();
    this->stage = phase::leading;
    this->heartbeat_timer.cancel();
    this->state.begin_leading(*this);
    // What was read while the jobs were restored.
    this->job_dispatcher.set_policy(*this->state.policy());
    this->sessions->handle_pool_change(now);
    std::size_t open_jobs = 0;
    for (const auto& [id, job] : this->state.jobs().all()) {
        open_jobs += job.submission && !job.is_final() ? 1 : 0;
        this->handle_job_change(id, now);
    }
    log_event("leading", {{"term", std::to_string(this->own_term)},
                          {"open_jobs", std::to_string(open_jobs)},
                          {"executors", std::to_string(this->job_dispatcher.executors().all().size())},
                          {"stale_jobs", std::to_string(this->loaded_units.size())},
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
    this->recorder->stop();
    this->units->stop();
    this->sessions->stop();
    this->heartbeat_timer.cancel();
    this->read_timer.cancel();
    this->round_timer.cancel();
    this->maintenance_timer.cancel();
    if (was_leading)
        this->state.end_leading();
    this->remove_share_series();
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
    this->add_job(id, *job, job->progress, now);
}

void leader::add_job(const std::string& id, const job_entry& job, const records::JobProgress& progress, boot_time now)
{
    this->job_dispatcher.add_job(id, *job.submission, progress, read_wall_clock_ms(), now);
    if (job.is_cancel_requested)
        this->job_dispatcher.cancel_job(id, now);
    this->sessions->handle_pool_change(now);
    this->schedule_round(this->next_round_delay);
}

void leader::handle_policy_change(const fleet_policy& policy, boot_time now)
{
    this->job_dispatcher.set_policy(policy);
    this->sessions->handle_pool_change(now);
    this->schedule_round(this->next_round_delay);
}

void leader::handle_evacuation_change(boot_time now)
{
    static_cast<void>(now);
    this->update_evacuations();
    this->schedule_round(milliseconds(0));
}

void leader::update_evacuations()
{
    zone_evacuations newest = this->state.evacuations();
    newest.set_max_age(this->max_evacuation_age);
    newest.set_current_as_of(this->state.policy_current_as_of());
    this->job_dispatcher.set_evacuations(newest);
}

void leader::report_speeds() const
{
    if (!this->job_dispatcher.places_by_speed())
        return;
    process_metrics().set_gauge("wigeon_fleet_uneven", this->job_dispatcher.estimated_speeds().is_uneven() ? 1 : 0);
    std::size_t speed_class = 0;
    for (const std::size_t count : this->job_dispatcher.count_speed_classes())
        process_metrics().set_gauge("wigeon_executors_by_speed{class=\"" + std::to_string(speed_class++) + "\"}",
                                    static_cast<double>(count));
}

void leader::report_evacuated_tasks() const
{
    for (const auto& [zone, since] : this->state.evacuations().all()) {
        std::size_t tasks = 0;
        for (const auto& [id, target] : this->job_dispatcher.executors().all()) {
            if (target.entry.zone == zone)
                tasks += this->job_dispatcher.count_tasks_on(id);
        }
        process_metrics().set_gauge("wigeon_evacuated_zone_tasks{zone=\"" + zone + "\"}", static_cast<double>(tasks));
    }
}

void leader::remove_share_series()
{
    for (const std::string& series : this->share_series)
        process_metrics().remove_gauge(series);
    this->share_series.clear();
}

// The accounts of submissions are many over time, so accounts that are no longer among the largest lose their series.
void leader::report_account_shares()
{
    const std::optional<boot_time> measured_at = this->job_dispatcher.accounts().last_measured_at();
    if (!measured_at || measured_at == this->shares_reported_at)
        return;
    this->shares_reported_at = measured_at;
    this->remove_share_series();
    for (const auto& [account, share] : this->job_dispatcher.accounts().list_largest(max_share_series)) {
        std::string series = "wigeon_account_share{account=\"" + account + "\"}";
        process_metrics().set_gauge(series, share);
        this->share_series.insert(std::move(series));
    }
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
        if (reason || self->stage != phase::leading)
            return;
        self->report_pause(self->round_timer);
        self->run_round();
    });
}

void leader::run_round()
{
    const turn_timer timer("round");
    const boot_time now = boot_clock::now();
    if (this->recorder->has_timed_out(now)) {
        this->finish(leadership_end::store_out_of_reach);
        return;
    }
    if (!this->check_leadership(now))
        return;
    this->update_evacuations();
    if (!this->pending_changes && !this->recorder->is_appending()) {
        if (this->may_decide(now))
            this->decide(now);
        this->commit();
    }
    this->query_advisor(now);
    this->sessions->send_stops(now);
    this->sweeper->sweep(now);
    this->report_evacuated_tasks();
    this->report_speeds();
    this->report_account_shares();
    process_metrics().set_gauge("wigeon_lease_waits", static_cast<double>(this->job_dispatcher.count_lease_waits()));
    this->log_events();
    if (this->stage == phase::leading && !this->is_round_scheduled) {
        this->maintenance_timer.expires_after(maintenance_interval);
        this->maintenance_timer.async_wait([self = this->shared_from_this()](const boost::system::error_code& reason) {
            if (reason)
                return;
            self->report_pause(self->maintenance_timer);
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
    const speed_counts placed = this->job_dispatcher.take_speed_counts();
    if (placed.urgent_tasks > 0) {
        process_metrics().count("wigeon_urgent_tasks_placed_total", placed.urgent_tasks);
        process_metrics().count("wigeon_urgent_tasks_placed_on_fast_total", placed.urgent_tasks_on_fast);
    }
    const auto delay = std::chrono::duration_cast<milliseconds>(duration * round_delay_factor);
    this->next_round_delay = std::clamp(delay, min_round_delay, max_round_delay);
}

void leader::commit()
{
    const boot_time now = boot_clock::now();
    this->pending_changes = this->job_dispatcher.collect_changes();
    this->is_resignation_in_flight = this->is_resigning;
    progress_recorder::removals removed{this->sweeper->list_progress_removals(now), this->take_stale_unit_records()};
    const auto heartbeat = this->make_heartbeat_if_due(now);
    const bool is_recording = this->recorder->record(*this->pending_changes, std::move(removed), heartbeat, now,
                                                     [self = this->shared_from_this()](progress_outcome outcome) {
                                                         if (outcome == progress_outcome::done)
                                                             self->apply_committed();
                                                         else
                                                             self->finish(to_leadership_end(outcome));
                                                     });
    if (is_recording)
        return;
    // Ends may need no record, for example those of unknown tasks. Phases that wait in the recorder need no
    // confirmation.
    if (this->pending_changes->ends.empty())
        this->pending_changes.reset();
    else
        this->apply_committed();
}

std::optional<progress_recorder::heartbeat> leader::make_heartbeat_if_due(boot_time now)
{
    if (!this->is_resigning && !this->recorder->is_heartbeat_due(now) &&
        !this->job_dispatcher.is_lease_return_pending(now))
        return std::nullopt;
    this->is_heartbeat_in_flight = true;
    return progress_recorder::heartbeat{this->job_dispatcher.suspend_leases(now), this->is_resigning};
}

void leader::handle_append_stored()
{
    if (std::exchange(this->is_heartbeat_in_flight, false))
        this->job_dispatcher.handle_suspensions_recorded();
}

// Returns tombstones of units whose jobs are gone, for the next append.
std::vector<keyed_record> leader::take_stale_unit_records()
{
    std::vector<keyed_record> taken;
    while (!this->loaded_units.empty() && taken.size() < stale_records_per_append) {
        const auto job = this->loaded_units.begin();
        auto& units = *job->second.mutable_units();
        for (; !units.empty() && taken.size() < stale_records_per_append; units.RemoveLast())
            taken.push_back({make_unit_key(job->first, units[units.size() - 1]), std::nullopt});
        if (units.empty())
            this->loaded_units.erase(job);
    }
    return taken;
}

void leader::apply_committed()
{
    const turn_timer timer("apply_committed");
    const boot_time now = boot_clock::now();
    const dispatch_changes changes = std::move(*this->pending_changes);
    this->pending_changes.reset();
    this->handle_append_stored();
    if (this->is_resignation_in_flight) {
        this->finish(leadership_end::resigned);
        return;
    }
    this->log_ended_jobs(changes);
    if (!this->may_send_orders(now))
        this->withhold_starts(changes, now);
    this->update_evacuations();
    for (const start_order& order : this->job_dispatcher.confirm_changes(changes, now))
        this->sessions->send_start(order);
    // These ends are in the store now; the next poll allows the executors to drop them.
    for (const dispatch_changes::recorded_ends& recorded : changes.ends)
        this->sessions->poll_now(recorded.executor);
    this->schedule_round(this->next_round_delay);
}

// The confirmation came too late: another node may lead by now. The units wait for placement again, and the append that
// records the next placement tells whether this node still leads.
void leader::withhold_starts(const dispatch_changes& changes, boot_time now)
{
    if (changes.starts.empty())
        return;
    log_event("starts_withheld",
              {{"term", std::to_string(this->own_term)},
               {"starts", std::to_string(changes.starts.size())},
               {"confirmation_age_ms", std::to_string((now - this->recorder->heartbeat_confirmed_as_of()).count())}});
    process_metrics().count("wigeon_starts_withheld_total", changes.starts.size());
    this->job_dispatcher.withdraw_starts(changes.starts, now);
}

void leader::log_ended_jobs(const dispatch_changes& changes) const
{
    const auto log_end = [this](const std::string& job, records::JobPhase phase) {
        if (is_final(phase))
            log_event(
                "job_ended",
                {{"job", job}, {"state", records::JobPhase_Name(phase)}, {"term", std::to_string(this->own_term)}});
    };
    for (const dispatch_changes::job_record& record : changes.records)
        log_end(record.job, record.progress.phase());
    for (const dispatch_changes::phase_record& record : changes.phases)
        log_end(record.job, record.phase);
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

// Another node may lead by now if the store has confirmed nothing lately. Then an executor that both nodes reach would
// refuse this one's token, so while most answer this node, no other leader reaches most of them.
bool leader::check_leadership(boot_time now)
{
    if (now - this->recorder->confirmed_as_of() <= max_reachability_age ||
        this->job_dispatcher.executors().is_majority_reachable(now))
        return true;
    this->finish(leadership_end::isolated);
    return false;
}

// Followers count the silence of a leader from its last record that they have read, which was stored after its append
// was begun.
bool leader::may_send_orders(boot_time now) const
{
    return !this->is_resignation_in_flight &&
           now - this->recorder->heartbeat_confirmed_as_of() <= this->max_confirmation_age;
}

void leader::report_pause(const boost::asio::steady_timer& expired) const
{
    const auto length =
        std::chrono::duration_cast<milliseconds>(boost::asio::steady_timer::clock_type::now() - expired.expiry());
    if (length < min_reported_pause)
        return;
    log_event("leader_was_paused",
              {{"term", std::to_string(this->own_term)}, {"length_ms", std::to_string(length.count())}});
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
