// Polls executors, sends them orders, and passes their answers to the dispatcher.

#include "node/executor_sessions.h"

#include <algorithm>
#include <set>
#include <utility>
#include <vector>

#include "base/logging.h"
#include "base/metrics.h"
#include "base/turn_timer.h"

namespace wigeon {

namespace {

// A poll waits this long at the executor for a task to end. While tasks run, this must leave time for two more renewals
// of their leases.
constexpr milliseconds busy_poll_wait{1'000};
constexpr milliseconds idle_poll_wait{2'000};

// Delay after a failed poll; grows with the failures in a row up to the maximum.
constexpr milliseconds poll_retry_delay{250};
constexpr milliseconds max_poll_retry_delay{1'000};

// Delay of the next poll while ends are being written to the store, since each poll reports these ends again.
constexpr milliseconds unrecorded_ends_poll_delay{500};

// Interval of the renewals of a leader that is not polling yet. A lease lasts several times as long.
constexpr milliseconds lease_renewal_interval{1'000};

// Stops that one turn of the event loop sends, so that polls and heartbeats never wait long for it.
constexpr std::size_t max_stops_per_turn = 256;

// Added to the longest time of a stop: the margin that run_tracker requires, and a little for timers.
constexpr milliseconds stop_check_margin{60};

// Time from the decision to the answer of the executor after which a start that was accepted is logged.
constexpr milliseconds min_reported_start_time{1'000};

// A new leader starts to place tasks when this share of the listed executors has answered a poll.
constexpr std::size_t min_reached_percent = 90;

// An executor that has left the directory is polled until this many polls in a row have failed.
constexpr std::uint32_t max_unlisted_poll_failures = 3;

// Draining executors must get no new task from 2 s after their entry says so. Every heartbeat of an executor rewrites
// its entry, more often than every 2 s, so reads keep an interval instead of waiting for records.
constexpr read_timing directory_timing{milliseconds(0), milliseconds(400)};

executor_target make_target(const executor& known_executor)
{
    return {known_executor.entry.id, known_executor.entry.address, known_executor.entry.incarnation_ms};
}

} // namespace

// Applies the executors' directory entries to the dispatcher and opens their sessions.
class executor_sessions::directory_consumer : public topic_consumer {
public:
    explicit directory_consumer(executor_sessions& owner) : parent(owner) {}

    void apply(const stored_record& record, boot_time now) override
    {
        const std::string& id = record.content.key;
        if (!record.content.value) {
            this->entries_of_unknown_pools.erase(id);
            this->parent.job_dispatcher.remove_executor(id, now);
            return;
        }
        std::string problem;
        const auto entry = this->parent.decoder.decode_executor(id, *record.content.value, problem);
        if (!entry) {
            process_metrics().count("wigeon_documents_skipped_total");
            if (this->skipped.insert(id).second)
                log_event("executor_entry_skipped", {{"executor", id}, {"reason", problem}});
            return;
        }
        const executor* known_executor = this->parent.job_dispatcher.executors().find(id);
        if (known_executor == nullptr && !this->parent.job_dispatcher.is_known_pool(entry->pool)) {
            this->entries_of_unknown_pools.insert_or_assign(id, *entry);
            return;
        }
        this->entries_of_unknown_pools.erase(id);
        this->update(*entry, now);
    }

    // Applies the entries whose pools are known by now.
    void apply_entries_of_known_pools(boot_time now)
    {
        for (auto next = this->entries_of_unknown_pools.begin(); next != this->entries_of_unknown_pools.end();) {
            const auto current = next++;
            if (!this->parent.job_dispatcher.is_known_pool(current->second.pool))
                continue;
            const executor_entry entry = std::move(current->second);
            this->entries_of_unknown_pools.erase(current);
            this->update(entry, now);
        }
    }

    void finish_load(const std::map<std::string, std::uint64_t, std::less<>>& keys, boot_time now) override
    {
        std::erase_if(this->entries_of_unknown_pools,
                      [&keys](const auto& entry) { return !keys.contains(entry.first); });
        for (const auto& [id, known_executor] : this->parent.job_dispatcher.executors().all()) {
            if (known_executor.is_listed && !keys.contains(id))
                this->parent.job_dispatcher.remove_executor(id, now);
        }
    }

    void finish_read(std::size_t record_count, boot_time sent_at, boot_time now) override
    {
        static_cast<void>(sent_at);
        static_cast<void>(now);
        if (record_count > 0)
            this->parent.event_listener.handle_change();
    }

private:
    void update(const executor_entry& entry, boot_time now)
    {
        const executor* known_executor = this->parent.job_dispatcher.executors().find(entry.id);
        const bool was_draining = known_executor != nullptr && known_executor->entry.is_draining;
        this->parent.job_dispatcher.update_executor(entry, now);
        if (entry.is_draining && !was_draining)
            log_event("executor_draining", {{"executor", entry.id}});
        if (!this->parent.sessions.contains(entry.id)) {
            this->parent.sessions[entry.id].timer = std::make_unique<boost::asio::steady_timer>(this->parent.loop);
            // An executor's answers can't be interpreted before the jobs are loaded.
            if (this->parent.is_active)
                this->parent.poll(entry.id);
        }
    }

    executor_sessions& parent;
    // Not polled and not counted: they may name other programs.
    std::map<std::string, executor_entry> entries_of_unknown_pools;
    std::set<std::string> skipped; // Executors whose entries can't be decoded: logged once each, counted every time.
};

executor_sessions::executor_sessions(boost::asio::io_context& event_loop, const external_services& external,
                                     dispatcher& leader_dispatcher, std::uint64_t token, listener& change_listener)
    : loop(event_loop),
      scheduler(event_loop),
      executors(external.executors),
      job_dispatcher(leader_dispatcher),
      decoder(external.decoder),
      fencing_token(token),
      event_listener(change_listener),
      directory_topic_consumer(std::make_unique<directory_consumer>(*this)),
      directory(std::make_shared<topic_reader>(scheduler, external.store, external.topics.executors_topic,
                                               directory_timing, prompt_pace, *directory_topic_consumer))
{
}

executor_sessions::~executor_sessions() = default;

void executor_sessions::start()
{
    this->directory->start();
}

void executor_sessions::handle_pool_change(boot_time now)
{
    this->directory_topic_consumer->apply_entries_of_known_pools(now);
}

void executor_sessions::start_polling()
{
    this->is_active = true;
    for (const auto& [id, session] : this->sessions)
        this->poll_now(id);
}

void executor_sessions::renew_leases(boot_time now)
{
    std::vector<std::string> due;
    for (const auto& [id, session] : this->sessions) {
        if (!session.is_polling && now - session.leases_renewed_at >= lease_renewal_interval)
            due.push_back(id);
    }
    for (const std::string& id : due)
        this->renew_leases_of(id, now);
}

void executor_sessions::renew_leases_of(const std::string& id, boot_time now)
{
    const auto found = this->sessions.find(id);
    executor* known_executor = this->job_dispatcher.executors().find(id);
    if (this->is_stopped || found == this->sessions.end() || known_executor == nullptr)
        return;
    if (!this->event_listener.check_leadership(now))
        return;
    found->second.is_polling = true;
    found->second.leases_renewed_at = now;
    poll_request request;
    request.fencing_token = this->fencing_token;
    // The first answer tells the executor's clock.
    if (known_executor->is_reached && this->job_dispatcher.may_give_lease(id))
        request.lease_deadline = this->job_dispatcher.executors().extend_lease(*known_executor, now);
    this->executors.poll(make_target(*known_executor), request,
                         [self = this->shared_from_this(), id, now](const poll_result& result) {
                             self->handle_renewal_result(id, now, result);
                         });
}

void executor_sessions::handle_renewal_result(const std::string& id, boot_time sent_at, poll_result result)
{
    const auto found = this->sessions.find(id);
    if (this->is_stopped || found == this->sessions.end())
        return;
    found->second.is_polling = false;
    if (result.outcome == request_outcome::fenced) {
        this->handle_fenced(id);
        return;
    }
    const executor* known_executor = this->job_dispatcher.executors().find(id);
    const bool was_reached = known_executor != nullptr && known_executor->is_reached;
    const boot_time now = boot_clock::now();
    if (result.outcome == request_outcome::accepted) {
        // The tasks are not known yet. What the report says of them is read by the first poll.
        result.report.running.clear();
        result.report.ended.clear();
        result.report.may_omit_ends = true;
        this->job_dispatcher.handle_poll_report(id, result.report, sent_at, now);
    }
    if (this->is_active)
        this->schedule_poll(id, milliseconds(0));
    else if (result.outcome == request_outcome::accepted && !was_reached)
        this->renew_leases_of(id, now);
}

void executor_sessions::stop()
{
    this->is_stopped = true;
    this->is_active = false;
    this->directory->stop();
    for (auto& [id, session] : this->sessions)
        session.timer->cancel();
}

bool executor_sessions::are_most_reached() const
{
    std::size_t listed = 0;
    std::size_t reached = 0;
    for (const auto& [id, known_executor] : this->job_dispatcher.executors().all()) {
        listed += known_executor.is_listed ? 1 : 0;
        reached += known_executor.is_listed && known_executor.is_reached ? 1 : 0;
    }
    constexpr std::size_t whole_percent = 100;
    return listed > 0 && reached * whole_percent >= listed * min_reached_percent;
}

void executor_sessions::send_start(const start_order& order)
{
    const boot_time now = boot_clock::now();
    if (!this->is_active)
        return;
    executor* known_executor = this->job_dispatcher.executors().find(order.executor);
    const bool is_reached = known_executor != nullptr && known_executor->is_reached &&
                            known_executor->entry.incarnation_ms == order.incarnation_ms &&
                            this->job_dispatcher.may_give_lease(order.executor);
    if (!is_reached || !this->event_listener.may_send_orders(now)) {
        this->log_start("start_not_sent", order, is_reached ? "unconfirmed_term" : "executor_gone", now, now);
        this->job_dispatcher.handle_start_answer(order, start_answer::refused, now);
        return;
    }
    const milliseconds deadline = this->job_dispatcher.executors().extend_lease(*known_executor, now);
    const executor_target target{order.executor, known_executor->entry.address, order.incarnation_ms};
    this->executors.start(target, order, deadline, this->fencing_token,
                          [self = this->shared_from_this(), order, sent_at = now](const order_result& result) {
                              if (!self->is_active)
                                  return;
                              const boot_time answered_at = boot_clock::now();
                              process_metrics().observe_ms("wigeon_start_ms",
                                                           static_cast<double>((answered_at - sent_at).count()));
                              self->handle_start_result(order, result, sent_at, answered_at);
                          });
}

void executor_sessions::log_start(std::string_view event, const start_order& order, std::string_view reason,
                                  boot_time sent_at, boot_time now) const
{
    log_event(event, {{"job", order.reference.job},
                      {"task", order.task},
                      {"run", std::to_string(order.reference.run)},
                      {"executor", order.executor},
                      {"incarnation", std::to_string(order.incarnation_ms)},
                      {"token", std::to_string(this->fencing_token)},
                      {"decided_ms_before", std::to_string((sent_at - order.decided_at).count())},
                      {"answered_after_ms", std::to_string((now - sent_at).count())},
                      {"reason", std::string(reason)}});
}

void executor_sessions::handle_start_result(const start_order& order, const order_result& result, boot_time sent_at,
                                            boot_time now)
{
    start_answer answer = start_answer::refused;
    switch (result.outcome) {
    case request_outcome::accepted:
        if (now - order.decided_at > min_reported_start_time)
            this->log_start("start_was_slow", order, "", sent_at, now);
        this->job_dispatcher.handle_start_answer(order, start_answer::accepted, now);
        return;
    case request_outcome::fenced:
        this->handle_fenced(order.executor);
        return;
    case request_outcome::no_capacity:
        answer = start_answer::no_capacity;
        break;
    case request_outcome::ticket_refused:
        answer = start_answer::ticket_refused;
        break;
    case request_outcome::refused:
        break;
    case request_outcome::unreachable:
        // No new task is placed on the executor before it answers a poll.
        if (executor* unreachable_executor = this->job_dispatcher.executors().find(order.executor))
            executor_registry::handle_no_answer(*unreachable_executor, now);
        break;
    case request_outcome::unknown:
        answer = start_answer::unknown;
        break;
    }
    count_retry("start_" + result.reason);
    this->log_start("start_failed", order, result.reason, sent_at, now);
    this->job_dispatcher.handle_start_answer(order, answer, now);
    this->event_listener.handle_change();
}

void executor_sessions::send_stops(boot_time now)
{
    if (!this->is_active || !this->event_listener.may_send_orders(now))
        return;
    const std::vector<stop_order> orders = this->job_dispatcher.collect_stops(now, max_stops_per_turn);
    if (orders.size() == max_stops_per_turn)
        this->event_listener.handle_change(); // Leads to the next round, which sends the others.
    for (const stop_order& order : orders) {
        const executor* known_executor = this->job_dispatcher.executors().find(order.executor);
        if (known_executor == nullptr) {
            this->job_dispatcher.handle_stop_answer(order, false, now);
            continue;
        }
        this->executors.stop({order.executor, known_executor->entry.address}, order, this->fencing_token,
                             [self = this->shared_from_this(), order](const order_result& result) {
                                 if (!self->is_active)
                                     return;
                                 if (result.outcome == request_outcome::fenced) {
                                     self->handle_fenced(order.executor);
                                     return;
                                 }
                                 const bool is_acknowledged = is_stop_acknowledged(result.outcome);
                                 self->job_dispatcher.handle_stop_answer(order, is_acknowledged, boot_clock::now());
                                 if (is_acknowledged)
                                     self->schedule_stop_check(order);
                             });
    }
}

// Polls without waiting for an end once the stop must have taken effect. A poll that waits would report up to a second
// later that the stopped run is gone.
void executor_sessions::schedule_stop_check(const stop_order& order)
{
    const auto timer = std::make_shared<boost::asio::steady_timer>(this->loop);
    timer->expires_after(this->job_dispatcher.max_stop_time() + stop_check_margin);
    timer->async_wait([self = this->shared_from_this(), timer, order](const boost::system::error_code& reason) {
        if (reason || !self->is_active || !self->job_dispatcher.awaits_stop_confirmation(order))
            return;
        executor* known_executor = self->job_dispatcher.executors().find(order.executor);
        if (known_executor == nullptr || !known_executor->is_reached)
            return;
        poll_request request;
        request.fencing_token = self->fencing_token;
        request.end_to_acknowledge = known_executor->find_end_to_acknowledge();
        const boot_time now = boot_clock::now();
        self->executors.poll(make_target(*known_executor), request,
                             [self, id = order.executor, now](const poll_result& result) {
                                 if (!self->is_active || result.outcome != request_outcome::accepted)
                                     return;
                                 self->job_dispatcher.handle_poll_report(id, result.report, now, boot_clock::now());
                                 self->event_listener.handle_change();
                             });
    });
}

void executor_sessions::schedule_poll(const std::string& id, milliseconds delay)
{
    const auto found = this->sessions.find(id);
    if (found == this->sessions.end() || found->second.is_polling || this->is_stopped)
        return;
    boost::asio::steady_timer& timer = *found->second.timer;
    timer.expires_after(delay);
    timer.async_wait([self = this->shared_from_this(), id](const boost::system::error_code& reason) {
        if (!reason && !self->is_stopped)
            self->poll(id);
    });
}

void executor_sessions::poll(const std::string& id)
{
    const boot_time now = boot_clock::now();
    if (!this->event_listener.check_leadership(now))
        return;
    const auto found = this->sessions.find(id);
    executor* known_executor = this->job_dispatcher.executors().find(id);
    if (found == this->sessions.end() || found->second.is_polling || known_executor == nullptr)
        return;
    session& polled = found->second;
    if (!known_executor->is_listed && polled.consecutive_failures >= max_unlisted_poll_failures) {
        this->executors.close_connections(known_executor->entry.address);
        this->sessions.erase(found);
        return;
    }
    poll_request request;
    request.fencing_token = this->fencing_token;
    request.end_to_acknowledge = known_executor->find_end_to_acknowledge();
    const bool has_tasks = this->job_dispatcher.job_runs().has_tasks_on(id);
    if (known_executor->is_reached) {
        // Before the first answer, tasks that this leader has not seen yet keep the lease that the former leader gave
        // them.
        if (has_tasks && this->job_dispatcher.may_give_lease(id))
            request.lease_deadline = this->job_dispatcher.executors().extend_lease(*known_executor, now);
        // Ends that are not in the store yet are reported again at once, so a wait would have no effect.
        const bool has_unrecorded_ends = known_executor->last_end_seen > known_executor->last_end_recorded;
        request.wait = has_unrecorded_ends ? milliseconds(0) : has_tasks ? busy_poll_wait : idle_poll_wait;
    }
    polled.is_polling = true;
    this->executors.poll(make_target(*known_executor), request,
                         [self = this->shared_from_this(), id, now](const poll_result& result) {
                             self->handle_poll_result(id, now, result);
                         });
}

void executor_sessions::handle_poll_failure(const std::string& id, session& failed_session, const poll_result& result)
{
    if (failed_session.consecutive_failures == 0)
        log_event("executor_out_of_reach", {{"executor", id}, {"reason", result.reason}});
    ++failed_session.consecutive_failures;
    if (executor* known_executor = this->job_dispatcher.executors().find(id))
        executor_registry::handle_no_answer(*known_executor, boot_clock::now());
    process_metrics().count("wigeon_looks_failed_total");
    this->schedule_poll(id, std::min(poll_retry_delay * failed_session.consecutive_failures, max_poll_retry_delay));
}

void executor_sessions::handle_poll_result(const std::string& id, boot_time sent_at, const poll_result& result)
{
    const turn_timer timer("poll_result");
    if (this->is_stopped)
        return;
    const auto found = this->sessions.find(id);
    if (found == this->sessions.end())
        return;
    session& polled = found->second;
    polled.is_polling = false;
    if (result.outcome == request_outcome::fenced) {
        this->handle_fenced(id);
        return;
    }
    executor* known_executor = this->job_dispatcher.executors().find(id);
    if (result.outcome != request_outcome::accepted || known_executor == nullptr) {
        this->handle_poll_failure(id, polled, result);
        return;
    }
    if (polled.consecutive_failures > 0)
        log_event("executor_reached_again",
                  {{"executor", id}, {"failures", std::to_string(polled.consecutive_failures)}});
    polled.consecutive_failures = 0;
    const boot_time now = boot_clock::now();
    const bool was_reached = known_executor->is_reached;
    const std::uint64_t last_end_before = known_executor->last_end_seen;
    this->job_dispatcher.handle_poll_report(id, result.report, sent_at, now);
    for (const ended_task& ended : result.report.ended) {
        if (ended.sequence > last_end_before && ended.outcome != run_outcome::done)
            log_event("run_ended", {{"task", ended.task},
                                    {"run", std::to_string(ended.run)},
                                    {"executor", id},
                                    {"ending", std::string(to_string(ended.outcome))}});
    }
    const bool has_unrecorded_ends = known_executor->last_end_seen > known_executor->last_end_recorded;
    // A first poll that reports no new end is followed at once by one that renews leases. After new ends, the leader
    // polls the executor as soon as their append is confirmed.
    this->schedule_poll(id, has_unrecorded_ends ? unrecorded_ends_poll_delay : milliseconds(0));
    if (!was_reached || has_unrecorded_ends || known_executor->last_end_seen > last_end_before)
        this->event_listener.handle_change();
}

void executor_sessions::handle_fenced(const std::string& id)
{
    log_event("fenced", {{"executor", id}, {"token", std::to_string(this->fencing_token)}});
    this->event_listener.handle_fenced();
}

} // namespace wigeon
