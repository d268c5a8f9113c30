// Threads that call standbys, and the calls that a standby makes to workers.

#include "scheduling/renewal_relay.h"

#include "base/metrics.h"
#include "state/configuration.h"

namespace wigeon {

namespace {

constexpr std::size_t relay_threads = 3;
constexpr std::size_t server_threads = 4;
constexpr milliseconds pop_timeout{500};

const char* find_retry_reason(standby_health health)
{
    switch (health) {
    case standby_health::stale:
        return "renewal_relay_differs";
    case standby_health::cut_off:
        return "renewal_relay_cut_off";
    default:
        return "renewal_relay_unanswered";
    }
}

} // namespace

renewal_relay::renewal_relay(renewal_caller call_standby, worker_call_pool& workers)
    : call_standby(std::move(call_standby)), workers(workers)
{
    for (std::size_t i = 0; i < relay_threads; ++i)
        this->threads.emplace_back([this] { this->run(); });
}

renewal_relay::~renewal_relay()
{
    this->stop();
}

void renewal_relay::stop()
{
    this->queue.close();
    for (std::thread& thread : this->threads) {
        if (thread.joinable())
            thread.join();
    }
}

bool renewal_relay::is_in_backoff(const std::string& address, steady_time now) const
{
    const std::lock_guard lock(this->mutex);
    const auto found = this->backoff_until.find(address);
    return found != this->backoff_until.end() && now < found->second;
}

bool renewal_relay::may_send(const std::string& address, steady_time now) const
{
    if (this->is_in_backoff(address, now))
        return false;
    const std::lock_guard lock(this->mutex);
    return !this->in_flight.contains(address);
}

void renewal_relay::send(const std::string& address, std::vector<worker_message> messages)
{
    auto batch = std::make_shared<message_batch>();
    batch->address = address;
    for (worker_message& message : messages) {
        batch->not_after = message.not_after;
        batch->messages.push_back(std::move(message.orders));
    }
    {
        const std::lock_guard lock(this->mutex);
        this->in_flight.insert(address);
    }
    if (this->queue.try_push(batch))
        return;
    count_refusal("renewal_ring_full");
    this->drop(*batch);
}

void renewal_relay::run()
{
    while (true) {
        auto batch = this->queue.pop(pop_timeout);
        if (batch)
            this->process(**batch);
        else if (this->queue.is_closed())
            return;
    }
}

void renewal_relay::drop(message_batch& batch)
{
    {
        const std::lock_guard lock(this->mutex);
        this->in_flight.erase(batch.address);
    }
    for (WorkerOrders& message : batch.messages) {
        worker_result result;
        result.orders = std::move(message);
        result.is_dropped = true;
        this->workers.add_result(std::move(result));
    }
}

void renewal_relay::process(message_batch& batch)
{
    if (read_steady_clock() > batch.not_after) {
        count_refusal("stale_worker_orders");
        this->drop(batch);
        return;
    }
    const standby_health health = this->relay(batch);
    const std::lock_guard lock(this->mutex);
    this->in_flight.erase(batch.address);
    if (health == standby_health::healthy)
        return;
    count_retry(find_retry_reason(health));
    this->backoff_until[batch.address] = read_steady_clock() + find_backoff(health);
}

standby_health renewal_relay::relay(message_batch& batch)
{
    const steady_time sent_at = read_steady_clock();
    const std::optional<RenewalAnswer> response =
        this->call_standby(batch.address, make_renewal_request(batch.messages));
    const standby_health health = assess_standby(response, batch.messages.size());
    if (health == standby_health::unanswered) {
        this->drop(batch);
        return health;
    }
    const steady_time answered_at = read_steady_clock();
    std::size_t answered_count = 0;
    for (std::size_t i = 0; i < batch.messages.size(); ++i) {
        const RenewalReport& report = response->reports(static_cast<int>(i));
        worker_result result;
        result.is_relayed = true;
        result.sent_at = sent_at;
        result.answered_at = answered_at;
        result.is_dropped = report.outcome() == RENEWAL_NOT_SENT;
        result.response = read_renewal_report(batch.messages[i], report);
        result.orders = std::move(batch.messages[i]);
        answered_count += report.outcome() == RENEWAL_ANSWERED ? 1 : 0;
        this->workers.add_result(std::move(result));
    }
    process_metrics().count("wigeon_renewals_relayed_total", answered_count);
    return health;
}

renewal_server::renewal_server(const replica& state, const std::function<std::unique_ptr<worker_client>()>& make_client,
                               milliseconds call_timeout)
    : state(state), call_timeout(call_timeout), workers(server_threads, make_client)
{
}

RenewalAnswer renewal_server::renew(const RenewalQuestion& request)
{
    const std::lock_guard lock(this->mutex);
    const steady_time started_at = read_steady_clock();
    std::vector<WorkerOrders> messages;
    std::map<std::string, std::string> addresses;
    this->state.read([&](const replicated_state& current) {
        messages = expand_renewals(current, request);
        for (const Worker& worker : current.configuration().workers())
            addresses.emplace(worker.id(), worker.address());
    });
    RenewalAnswer response;
    std::map<std::string, RenewalReport*> pending_reports;
    for (WorkerOrders& message : messages) {
        RenewalReport& report = *response.add_reports();
        const auto address = addresses.find(message.worker());
        if (address == addresses.end())
            continue;
        report.set_outcome(RENEWAL_UNCERTAIN);
        pending_reports.emplace(message.worker(), &report);
    }
    for (WorkerOrders& message : messages) {
        const auto address = addresses.find(message.worker());
        if (address != addresses.end())
            this->workers.send({address->second, std::move(message), started_at + this->call_timeout, false});
    }
    while (!pending_reports.empty()) {
        const milliseconds remaining = elapsed_ms(read_steady_clock(), started_at + this->call_timeout * 2);
        auto result = remaining.count() > 0 ? this->workers.receive(remaining) : std::nullopt;
        if (!result)
            break;
        // A result of an earlier request may arrive late.
        const auto found = pending_reports.find(result->orders.worker());
        if (found == pending_reports.end() || result->sent_at < started_at)
            continue;
        if (!result->is_dropped) {
            *found->second = this->state.read([&](const replicated_state& current) {
                return make_renewal_report(current, result->orders, result->response);
            });
        }
        pending_reports.erase(found);
    }
    return response;
}

} // namespace wigeon
