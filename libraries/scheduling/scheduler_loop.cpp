// Connects the scheduler's decisions to the log and the workers.

#include "scheduling/scheduler_loop.h"

#include "base/logging.h"
#include "base/metrics.h"
#include "base/network.h"

namespace wigeon {

namespace {

constexpr milliseconds tick{10};
constexpr milliseconds host_list_interval{2000};
constexpr milliseconds host_list_timeout{1000};
constexpr milliseconds unreachable_after{700};
constexpr milliseconds term_write_timeout{15'000};
constexpr milliseconds decision_write_timeout{10'000};
constexpr milliseconds min_plan_interval{20};
// A placement may become possible without a change of the state: a quarantine ends, or a worker is reachable again.
constexpr milliseconds max_plan_interval{500};
constexpr std::uint64_t max_claim_jitter_ms = 300;
constexpr milliseconds snapshot_retry_interval{5'000};
constexpr std::uint32_t backfill_disabled_s = 86'400;
// Long enough for two unanswered calls to each worker, and shorter than the lease of a task.
constexpr milliseconds cut_off_after{1'900};
constexpr milliseconds assignment_interval{500};

term_options make_term_options(const SchedulerSettings& settings, std::uint64_t incarnation)
{
    term_options options;
    options.renewal_interval = milliseconds(settings.renewal_interval_ms());
    options.min_lease = milliseconds(settings.term_lease_ms());
    options.max_lease = milliseconds(settings.longest_term_lease_ms());
    options.unconfirmed_limit = std::chrono::seconds(settings.unconfirmed_limit_s());
    options.claim_jitter = milliseconds(incarnation % max_claim_jitter_ms);
    return options;
}

gang_options make_gang_options(const SchedulerSettings& settings)
{
    gang_options options;
    options.lease = milliseconds(settings.lease_ms());
    options.hold_lease = milliseconds(settings.hold_ms());
    options.start_timeout = milliseconds(settings.hold_ms() * 5 / 6);
    options.checkpoint_limit = milliseconds(settings.checkpoint_limit_ms());
    options.call_timeout = milliseconds(settings.worker_timeout_ms());
    options.ping_interval = milliseconds(settings.ping_interval_ms());
    options.adopted_lease_limit = add_clock_drift(std::chrono::seconds(settings.unconfirmed_limit_s()) + options.lease);
    options.job_attempts = settings.job_attempts();
    return options;
}

planner_options make_planner_options(const SchedulerSettings& settings)
{
    planner_options options;
    options.quarantine_failures = settings.quarantine_failures();
    options.quarantine_ms = std::uint64_t{settings.quarantine_s()} * 1000;
    options.backfill_grace_ms = std::uint64_t{settings.backfill_grace_s()} * 1000;
    options.has_backfill_reservation = settings.backfill_grace_s() < backfill_disabled_s;
    return options;
}

bool is_done(const std::future<apply_result>& outcome)
{
    return outcome.wait_for(std::chrono::seconds(0)) == std::future_status::ready;
}

// Waits for the outcome of a write. True when the record was read back and is in force.
bool is_in_force(std::future<apply_result>& outcome)
{
    try {
        return outcome.get().outcome == apply_outcome::applied;
    }
    catch (const error& failure) {
        count_retry(find_error_response(failure.kind()).name);
        return false;
    }
}

} // namespace

scheduler_loop::scheduler_loop(const SchedulerSettings& settings, std::string operator_address, replica& state,
                               std::function<std::vector<standby_scheduler>()> list_standbys,
                               renewal_caller call_standby)
    : settings(settings),
      operator_address(std::move(operator_address)),
      state(state),
      list_standbys(std::move(list_standbys)),
      election(state.incarnation(), make_term_options(settings, state.incarnation())),
      job_planner(make_placement_policy(settings.placement_policy()), make_planner_options(settings)),
      driver(make_gang_options(settings)),
      workers(settings.worker_threads(),
              [&settings] {
                  return make_http_worker_client(milliseconds(settings.worker_timeout_ms()),
                                                 settings.worker_source_address());
              }),
      relay(std::move(call_standby), this->workers)
{
}

scheduler_loop::~scheduler_loop()
{
    this->stop();
}

void scheduler_loop::start()
{
    this->decision_thread = std::thread([this] { this->run(); });
    this->snapshot_thread = std::thread([this] { this->run_snapshots(); });
    if (!this->settings.host_list_address().empty())
        this->host_list_thread = std::thread([this] { this->run_host_list(); });
}

void scheduler_loop::stop()
{
    this->stopping = true;
    for (std::thread* thread : {&this->decision_thread, &this->snapshot_thread, &this->host_list_thread}) {
        if (thread->joinable())
            thread->join();
    }
    this->relay.stop();
    this->workers.stop();
}

std::map<std::string, std::string> scheduler_loop::wait_reasons() const
{
    const std::lock_guard lock(this->published_mutex);
    return this->reasons;
}

worker_set scheduler_loop::unreachable_workers() const
{
    const std::lock_guard lock(this->published_mutex);
    return this->unreachable;
}

void scheduler_loop::run()
{
    std::uint64_t seen_changes = 0;
    while (!this->stopping) {
        seen_changes = this->state.wait_for_change(seen_changes, tick);
        if (!this->state.is_ready())
            continue;
        this->finish_term_write();
        this->handle_worker_results();
        const steady_time now = read_steady_clock();
        this->step_down_if_cut_off(now);
        this->update_term(now);
        this->send_due_orders(now);
        this->decide(now);
    }
}

void scheduler_loop::update_term(steady_time now)
{
    const term_view view = this->state.read([](const replicated_state& current) {
        return term_view{current.term(), current.holder(), current.renewal_offset(),
                         milliseconds(current.term_lease_ms())};
    });
    this->election.record_log_state(view, this->state.last_log_response_at(), now);
    const bool is_holder_now = this->election.is_holder();
    if (is_holder_now != this->holds_term) {
        this->holds_term = is_holder_now;
        log_event(is_holder_now ? "term_held" : "term_lost", {{"term", std::to_string(view.term)}});
        process_metrics().count(is_holder_now ? "wigeon_terms_held_total" : "wigeon_terms_lost_total");
    }
    const term_action action = this->election.decide(now);
    if (action == term_action::nothing)
        return;
    Record record;
    if (action == term_action::claim) {
        record.mutable_claim()->set_term(view.term + 1);
        record.mutable_claim()->set_address(this->operator_address);
        record.mutable_claim()->set_renewal_offset(view.renewal_offset);
        record.mutable_claim()->set_lease_ms(static_cast<std::uint64_t>(this->election.choose_lease().count()));
        process_metrics().count("wigeon_term_claims_total");
    }
    else {
        record.mutable_renewal()->set_term(view.term);
        record.mutable_renewal()->set_lease_ms(static_cast<std::uint64_t>(this->election.choose_lease().count()));
    }
    this->election.record_write_start(now);
    this->term_write = this->state.submit_later(std::move(record), now + term_write_timeout);
}

void scheduler_loop::finish_term_write()
{
    if (!this->term_write || !is_done(*this->term_write))
        return;
    this->election.record_write_result(is_in_force(*this->term_write), read_steady_clock());
    this->term_write.reset();
}

void scheduler_loop::handle_worker_results()
{
    while (auto result = this->workers.receive(milliseconds(0))) {
        if (result->is_dropped)
            this->driver.handle_dropped(result->orders);
        else
            this->driver.handle_response(result->orders, result->response, result->sent_at, result->answered_at,
                                         result->is_relayed);
    }
}

// A holder that reaches no worker steps down, so that a standby that may reach them can claim the term.
void scheduler_loop::step_down_if_cut_off(steady_time now)
{
    if (!this->election.may_act(now) || !this->driver.is_cut_off(now, cut_off_after) || this->list_standbys().empty())
        return;
    this->election.step_down(now);
    process_metrics().count("wigeon_terms_given_up_total");
    log_event("term_given_up", {{"term", std::to_string(this->election.term())}, {"cause", "no worker answers"}});
}

void scheduler_loop::send_due_orders(steady_time now)
{
    if (this->driven_term != this->election.term()) {
        this->driven_term = this->election.term();
        this->driver.begin_term(this->driven_term);
    }
    if (!this->election.may_renew_leases(now) || this->driver.is_fenced())
        return;
    this->update_assignments(now);
    const bool may_act = this->election.may_act(now);
    this->send_messages(this->state.read([&](const replicated_state& current) {
        return this->driver.make_orders(current, now, may_act, this->assignments);
    }),
                        now);
}

// Assigns to each worker the standby that renews for it.
void scheduler_loop::update_assignments(steady_time now)
{
    if (now - this->assigned_at < assignment_interval)
        return;
    this->assigned_at = now;
    std::vector<standby_scheduler> standbys = this->list_standbys();
    std::erase_if(standbys,
                  [&](const standby_scheduler& standby) { return this->relay.is_in_backoff(standby.address, now); });
    this->assignments = this->state.read([&](const replicated_state& current) {
        return assign_renewals(current.configuration(), this->state.incarnation(), standbys);
    });
}

void scheduler_loop::send_messages(std::vector<worker_message> messages, steady_time now)
{
    std::map<std::string, std::vector<worker_message>> relayed;
    for (worker_message& message : messages) {
        // The assignments may be older than the standby's last response.
        if (message.relay_address.empty() || !this->relay.may_send(message.relay_address, now))
            this->workers.send(std::move(message));
        else
            relayed[message.relay_address].push_back(std::move(message));
    }
    for (auto& [address, batch] : relayed)
        this->relay.send(address, std::move(batch));
}

bool scheduler_loop::is_decision_write_pending()
{
    if (!this->decision_write)
        return false;
    if (!is_done(this->decision_write->outcome))
        return true;
    if (is_in_force(this->decision_write->outcome))
        process_metrics().count("wigeon_decisions_total", this->decision_write->count);
    this->decision_write.reset();
    return false;
}

void scheduler_loop::decide(steady_time now)
{
    // Only one batch of decisions is in flight at a time: the next one is made on a state that includes it.
    if (this->is_decision_write_pending() || !this->election.may_act(now) || this->driver.is_fenced())
        return;
    std::vector<Decision> decisions = this->state.read([&](const replicated_state& current) {
        std::vector<Decision> due = this->driver.make_decisions(current, now);
        if (due.empty())
            due = this->plan_jobs(current, now);
        return due;
    });
    if (!decisions.empty())
        this->write_decisions(std::move(decisions), now);
}

std::vector<Decision> scheduler_loop::plan_jobs(const replicated_state& current, steady_time now)
{
    const milliseconds elapsed = elapsed_ms(this->planned_at, now);
    const bool is_due = elapsed >= max_plan_interval ||
                        (elapsed >= min_plan_interval && current.placement_changes() != this->planned_changes);
    if (!is_due)
        return {};
    this->planned_at = now;
    this->planned_changes = current.placement_changes();
    worker_set unreachable_now;
    for (std::string& worker : this->driver.list_unresponsive(now, unreachable_after))
        unreachable_now.insert(std::move(worker));
    worker_set unbindable;
    const milliseconds rebind_after(this->settings.rebind_after_ms());
    for (std::string& worker : this->driver.list_unresponsive(now, rebind_after))
        unbindable.insert(std::move(worker));
    {
        const std::lock_guard lock(this->published_mutex);
        this->unreachable = unreachable_now;
        unbindable.insert(this->leaving_workers.begin(), this->leaving_workers.end());
    }
    this->publish_gauges(current, unreachable_now);
    plan result = this->job_planner.make_plan(current, unreachable_now, unbindable, read_wall_clock_ms());
    const steady_time end = read_steady_clock();
    process_metrics().observe_ms("wigeon_plan_ms", std::chrono::duration<double, std::milli>(end - now).count());
    const std::lock_guard lock(this->published_mutex);
    this->reasons = std::move(result.wait_reasons);
    return std::move(result.decisions);
}

// Gauges of the fleet for operators; only the holder sets them.
void scheduler_loop::publish_gauges(const replicated_state& current, const worker_set& unreachable_now) const
{
    process_metrics().set_gauge("wigeon_unreachable_workers", static_cast<double>(unreachable_now.size()));
    process_metrics().set_gauge("wigeon_throttled_tasks", static_cast<double>(this->driver.count_throttled()));
    process_metrics().set_gauge("wigeon_quarantined_workers", static_cast<double>(current.quarantines().size()));
    for (const auto& [account, binding] : current.bindings())
        process_metrics().set_gauge("wigeon_unmet_guarantee_cells{account=\"" + account + "\"}",
                                    static_cast<double>(binding.unmet_cells()));
}

void scheduler_loop::write_decisions(std::vector<Decision> decisions, steady_time now)
{
    Record record;
    Decisions& body = *record.mutable_decisions();
    body.set_term(this->election.term());
    body.set_configuration_version(
        this->state.read([](const replicated_state& current) { return current.configuration().version(); }));
    for (Decision& decision : decisions) {
        if (decision.stop().used_memory_gigabytes() != 0)
            process_metrics().count("wigeon_jobs_outgrown_total");
        *body.add_decisions() = std::move(decision);
    }
    this->decision_write =
        pending_decisions{this->state.submit_later(std::move(record), now + decision_write_timeout), decisions.size()};
}

void scheduler_loop::run_host_list()
{
    const auto hosts = make_http_host_list(this->settings.host_list_address(), host_list_timeout);
    while (!this->stopping) {
        if (auto newest = hosts->read_leaving()) {
            const std::lock_guard lock(this->published_mutex);
            this->leaving_workers = std::move(*newest);
        }
        else {
            count_retry("host_list");
        }
        std::this_thread::sleep_for(host_list_interval);
    }
}

// The holder writes snapshots even when nothing changed, so that one is always within the log's retention.
void scheduler_loop::run_snapshots()
{
    steady_time next = read_steady_clock() + std::chrono::seconds(this->settings.snapshot_interval_s());
    while (!this->stopping) {
        std::this_thread::sleep_for(milliseconds(100));
        const steady_time now = read_steady_clock();
        if (now < next || !this->holds_term)
            continue;
        try {
            this->state.append_snapshot();
            next = now + std::chrono::seconds(this->settings.snapshot_interval_s());
        }
        catch (const log_call_error&) {
            count_retry("snapshot");
            next = now + snapshot_retry_interval;
        }
    }
}

} // namespace wigeon
