// Looks at executors, sends them orders, and tells the dispatcher what they answer.

#include "node/executor_contacts.h"

#include <algorithm>
#include <set>
#include <utility>

#include "base/logging.h"
#include "base/metrics.h"

namespace wigeon {

namespace {

// A look waits this long for an end. While tasks run it must leave time to renew their leases twice more.
constexpr milliseconds busy_look_wait{1'000};
constexpr milliseconds idle_look_wait{2'000};

// After a failed look; grows up to the longest pause while the executor stays out of reach.
constexpr milliseconds failed_look_pause{250};
constexpr milliseconds longest_look_pause{1'000};

// Ends that are shown again while they are on their way to the store are not asked for faster than this.
constexpr milliseconds noted_look_pause{500};

// Beside the longest time of a stop; as much as the ledger asks for, and a little for timers.
constexpr milliseconds denial_margin{60};

// Work is placed when this share of the executors has been looked at.
constexpr std::size_t known_share_percent = 90;

// Executors that have left the directory are looked at until they have been silent for this long.
constexpr std::uint32_t unlisted_look_failures = 3;

// Executors that drain get no new work 2 s after they said so; entries change more often than that with every beat.
constexpr reading_pace directory_pace{milliseconds(0), milliseconds(400)};

} // namespace

// Takes the executors' entries in the directory.
class executor_contacts::directory_consumer : public topic_consumer {
public:
    explicit directory_consumer(executor_contacts& owner) : contacts(owner) {}

    void apply(const stored_record& record, boot_time now) override
    {
        const std::string& id = record.content.key;
        if (!record.content.value) {
            this->contacts.work.remove_executor(id, now);
            return;
        }
        std::string problem;
        const auto entry = this->contacts.decoder.decode_executor(id, *record.content.value, problem);
        if (!entry) {
            process_metrics().count("wigeon_documents_skipped_total");
            if (this->skipped.insert(id).second)
                log_change("executor_entry_skipped", {{"executor", id}, {"reason", problem}});
            return;
        }
        const executor* known = this->contacts.work.executors().find(id);
        const bool was_draining = known != nullptr && known->entry.is_draining;
        this->contacts.work.update_executor(*entry, now);
        if (entry->is_draining && !was_draining)
            log_change("executor_draining", {{"executor", id}});
        if (!this->contacts.links.contains(id)) {
            this->contacts.links[id].timer = std::make_unique<boost::asio::steady_timer>(this->contacts.loop);
            // What an executor says means nothing before the jobs are known.
            if (this->contacts.is_active)
                this->contacts.look(id);
        }
    }

    void finish_pages(const std::map<std::string, std::uint64_t, std::less<>>& keys, boot_time now) override
    {
        for (const auto& [id, host] : this->contacts.work.executors().all()) {
            if (host.is_listed && !keys.contains(id))
                this->contacts.work.remove_executor(id, now);
        }
    }

    void finish_read(std::size_t record_count, boot_time sent_at, boot_time now) override
    {
        static_cast<void>(sent_at);
        static_cast<void>(now);
        if (record_count > 0)
            this->contacts.owner.take_news();
    }

private:
    executor_contacts& contacts;
    std::set<std::string> skipped; // Logged once; each time is counted.
};

executor_contacts::executor_contacts(boost::asio::io_context& event_loop, const node_connections& outside,
                                     dispatcher& dispatcher_told, std::uint64_t token, listener& contact_owner)
    : loop(event_loop),
      executors(outside.executors),
      work(dispatcher_told),
      decoder(outside.decoder),
      fencing_token(token),
      owner(contact_owner),
      directory_taker(std::make_unique<directory_consumer>(*this)),
      directory(std::make_shared<topic_reader>(event_loop, outside.store, outside.topics.executors_topic,
                                               directory_pace, *directory_taker))
{
}

executor_contacts::~executor_contacts() = default;

void executor_contacts::start()
{
    this->directory->start();
}

void executor_contacts::begin_looks()
{
    this->is_active = true;
    for (const auto& [id, link] : this->links)
        this->look_soon(id);
}

void executor_contacts::stop()
{
    this->is_stopped = true;
    this->is_active = false;
    this->directory->stop();
    for (auto& [id, link] : this->links)
        link.timer->cancel();
}

bool executor_contacts::are_most_known() const
{
    std::size_t listed = 0;
    std::size_t reached = 0;
    for (const auto& [id, host] : this->work.executors().all()) {
        listed += host.is_listed ? 1 : 0;
        reached += host.is_listed && host.is_reached ? 1 : 0;
    }
    constexpr std::size_t whole_percent = 100;
    return listed > 0 && reached * whole_percent >= listed * known_share_percent;
}

void executor_contacts::send_start(const start_order& order)
{
    executor* host = this->work.executors().find(order.executor);
    if (host == nullptr || !host->is_reached) {
        this->work.handle_start_answer(order, start_answer::refused, boot_clock::now());
        return;
    }
    const boot_time now = boot_clock::now();
    const milliseconds deadline = this->work.executors().extend_lease(*host, now);
    const executor_target target{order.executor, host->entry.address};
    this->executors.start(target, order, deadline, this->fencing_token,
                          [self = this->shared_from_this(), order, sent_at = now](const order_result& result) {
                              if (!self->is_active)
                                  return;
                              const boot_time answered = boot_clock::now();
                              process_metrics().observe_ms("wigeon_start_ms",
                                                           static_cast<double>((answered - sent_at).count()));
                              self->take_start_result(order, result, answered);
                          });
}

void executor_contacts::take_start_result(const start_order& order, const order_result& result, boot_time now)
{
    start_answer answer = start_answer::refused;
    switch (result.answer) {
    case executor_verdict::accepted:
        this->work.handle_start_answer(order, start_answer::accepted, now);
        return;
    case executor_verdict::fenced:
        this->take_fence(order.executor);
        return;
    case executor_verdict::no_room:
        answer = start_answer::refused_for_capacity;
        break;
    case executor_verdict::ticket_refused:
        answer = start_answer::refused_ticket;
        break;
    case executor_verdict::refused:
        break;
    case executor_verdict::unreachable:
        // Not to be chosen again before it answers a look.
        if (executor* silent = this->work.executors().find(order.executor))
            silent->last_poll_sent_at.reset();
        break;
    case executor_verdict::unknown:
        answer = start_answer::unknown;
        break;
    }
    count_retry("start_" + result.reason);
    log_change("start_failed", {{"job", order.reference.job},
                                {"task", order.task},
                                {"run", std::to_string(order.reference.run)},
                                {"executor", order.executor},
                                {"reason", result.reason}});
    this->work.handle_start_answer(order, answer, now);
    this->owner.take_news();
}

void executor_contacts::send_stops(boot_time now)
{
    if (!this->is_active)
        return;
    for (const stop_order& order : this->work.collect_stops(now)) {
        const executor* host = this->work.executors().find(order.executor);
        if (host == nullptr) {
            this->work.handle_stop_answer(order, false, now);
            continue;
        }
        this->executors.stop({order.executor, host->entry.address}, order, this->fencing_token,
                             [self = this->shared_from_this(), order](const order_result& result) {
                                 if (!self->is_active)
                                     return;
                                 if (result.answer == executor_verdict::fenced) {
                                     self->take_fence(order.executor);
                                     return;
                                 }
                                 const bool is_known = is_stop_acknowledged(result.answer);
                                 self->work.handle_stop_answer(order, is_known, boot_clock::now());
                                 if (is_known)
                                     self->schedule_denial(order);
                             });
    }
}

// A look that waits for an end would tell a second later that the stopped run is not there.
void executor_contacts::schedule_denial(const stop_order& order)
{
    const auto timer = std::make_shared<boost::asio::steady_timer>(this->loop);
    timer->expires_after(this->work.max_stop_time() + denial_margin);
    timer->async_wait([self = this->shared_from_this(), timer, order](const boost::system::error_code& reason) {
        if (reason || !self->is_active || !self->work.awaits_stop_confirmation(order))
            return;
        executor* host = self->work.executors().find(order.executor);
        if (host == nullptr || !host->is_reached)
            return;
        look_request request;
        request.fencing_token = self->fencing_token;
        request.last_end_noted = host->find_end_to_acknowledge();
        const boot_time now = boot_clock::now();
        self->executors.look({order.executor, host->entry.address}, request,
                             [self, id = order.executor, now](const look_result& result) {
                                 if (!self->is_active || result.answer != executor_verdict::accepted)
                                     return;
                                 self->work.handle_poll_report(id, result.report, now, boot_clock::now());
                                 self->owner.take_news();
                             });
    });
}

void executor_contacts::schedule_look(const std::string& id, milliseconds pause)
{
    const auto found = this->links.find(id);
    if (found == this->links.end() || found->second.is_looking || this->is_stopped)
        return;
    boost::asio::steady_timer& timer = *found->second.timer;
    timer.expires_after(pause);
    timer.async_wait([self = this->shared_from_this(), id](const boost::system::error_code& reason) {
        if (!reason && !self->is_stopped)
            self->look(id);
    });
}

void executor_contacts::look(const std::string& id)
{
    const auto found = this->links.find(id);
    executor* host = this->work.executors().find(id);
    if (found == this->links.end() || found->second.is_looking || host == nullptr)
        return;
    link& looked = found->second;
    if (!host->is_listed && looked.failures_in_row >= unlisted_look_failures) {
        this->executors.forget(host->entry.address);
        this->links.erase(found);
        return;
    }
    const boot_time now = boot_clock::now();
    look_request request;
    request.fencing_token = this->fencing_token;
    request.last_end_noted = host->find_end_to_acknowledge();
    const bool has_members = this->work.runs().has_tasks_on(id);
    if (host->is_reached) {
        // What this leader has not seen yet keeps the lease that the former leader gave it.
        if (has_members)
            request.lease_deadline = this->work.executors().extend_lease(*host, now);
        // Ends that are on their way to the store would be listed again at once.
        const bool is_noting = host->last_end_seen > host->last_end_recorded;
        request.wait = is_noting ? milliseconds(0) : has_members ? busy_look_wait : idle_look_wait;
    }
    looked.is_looking = true;
    this->executors.look(
        {id, host->entry.address}, request,
        [self = this->shared_from_this(), id, now](const look_result& result) { self->take_look(id, now, result); });
}

void executor_contacts::take_failed_look(const std::string& id, link& failed, const look_result& result)
{
    if (failed.failures_in_row == 0)
        log_change("executor_out_of_reach", {{"executor", id}, {"reason", result.reason}});
    ++failed.failures_in_row;
    if (executor* host = this->work.executors().find(id))
        host->last_poll_sent_at.reset();
    process_metrics().count("wigeon_looks_failed_total");
    this->schedule_look(id, std::min(failed_look_pause * failed.failures_in_row, longest_look_pause));
}

void executor_contacts::take_look(const std::string& id, boot_time sent_at, const look_result& result)
{
    if (this->is_stopped)
        return;
    const auto found = this->links.find(id);
    if (found == this->links.end())
        return;
    link& looked = found->second;
    looked.is_looking = false;
    if (result.answer == executor_verdict::fenced) {
        this->take_fence(id);
        return;
    }
    executor* host = this->work.executors().find(id);
    if (result.answer != executor_verdict::accepted || host == nullptr) {
        this->take_failed_look(id, looked, result);
        return;
    }
    if (looked.failures_in_row > 0)
        log_change("executor_reached_again", {{"executor", id}, {"failures", std::to_string(looked.failures_in_row)}});
    looked.failures_in_row = 0;
    const boot_time now = boot_clock::now();
    const bool was_reached = host->is_reached;
    const std::uint64_t ends_before = host->last_end_seen;
    this->work.handle_poll_report(id, result.report, sent_at, now);
    for (const ended_task& ended : result.report.ended) {
        if (ended.sequence > ends_before && ended.outcome != run_outcome::done)
            log_change("run_ended", {{"task", ended.task},
                                     {"run", std::to_string(ended.run)},
                                     {"executor", id},
                                     {"ending", std::string(to_string(ended.outcome))}});
    }
    const bool is_noting = host->last_end_seen > host->last_end_recorded;
    // A first look without anything new is followed by one that renews; the append of ends calls for the next one
    // itself.
    this->schedule_look(id, is_noting ? noted_look_pause : milliseconds(0));
    if (!was_reached || is_noting || host->last_end_seen > ends_before)
        this->owner.take_news();
}

void executor_contacts::take_fence(const std::string& id)
{
    log_change("fenced", {{"executor", id}, {"token", std::to_string(this->fencing_token)}});
    this->owner.take_fence();
}

} // namespace wigeon
