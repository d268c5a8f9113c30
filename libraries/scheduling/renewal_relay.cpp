// Threads that ask standbys to renew, and the calls that a standby makes.

#include "scheduling/renewal_relay.h"

#include "base/metrics.h"
#include "state/configuration.h"

namespace wigeon {

namespace {

constexpr std::size_t relay_threads = 3;
constexpr std::size_t server_threads = 4;
constexpr milliseconds ring_wait{500};

const char* name_verdict(renewal_verdict verdict)
{
    switch (verdict) {
    case renewal_verdict::behind:
        return "renewal_relay_differs";
    case renewal_verdict::cut_off:
        return "renewal_relay_cut_off";
    default:
        return "renewal_relay_unanswered";
    }
}

} // namespace

renewal_relay::renewal_relay(renewal_caller ask, worker_pool& results) : ask(std::move(ask)), results(results)
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
    this->ring.close();
    for (std::thread& thread : this->threads) {
        if (thread.joinable())
            thread.join();
    }
}

bool renewal_relay::is_shunned(const std::string& address, steady_time now) const
{
    const std::lock_guard lock(this->mutex);
    const auto found = this->shunned_until.find(address);
    return found != this->shunned_until.end() && now < found->second;
}

bool renewal_relay::may_ask(const std::string& address, steady_time now) const
{
    if (this->is_shunned(address, now))
        return false;
    const std::lock_guard lock(this->mutex);
    return !this->asked.contains(address);
}

void renewal_relay::send(const std::string& address, std::vector<worker_message> messages)
{
    auto work = std::make_shared<batch>();
    work->address = address;
    for (worker_message& message : messages) {
        work->not_after = message.not_after;
        work->messages.push_back(std::move(message.orders));
    }
    {
        const std::lock_guard lock(this->mutex);
        this->asked.insert(address);
    }
    if (this->ring.try_push(work))
        return;
    count_refusal("renewal_ring_full");
    this->drop(*work);
}

void renewal_relay::run()
{
    while (true) {
        auto work = this->ring.pop(ring_wait);
        if (work)
            this->carry_out(**work);
        else if (this->ring.is_closed())
            return;
    }
}

void renewal_relay::drop(batch& work)
{
    {
        const std::lock_guard lock(this->mutex);
        this->asked.erase(work.address);
    }
    for (WorkerOrders& message : work.messages) {
        worker_result result;
        result.orders = std::move(message);
        result.is_dropped = true;
        this->results.add_result(std::move(result));
    }
}

void renewal_relay::carry_out(batch& work)
{
    if (read_steady_clock() > work.not_after) {
        count_refusal("stale_worker_orders");
        this->drop(work);
        return;
    }
    const renewal_verdict verdict = this->ask_standby(work);
    const std::lock_guard lock(this->mutex);
    this->asked.erase(work.address);
    if (verdict == renewal_verdict::trusted)
        return;
    count_retry(name_verdict(verdict));
    this->shunned_until[work.address] = read_steady_clock() + find_shun_time(verdict);
}

renewal_verdict renewal_relay::ask_standby(batch& work)
{
    const steady_time sent_at = read_steady_clock();
    const std::optional<RenewalAnswer> answer = this->ask(work.address, make_renewal_question(work.messages));
    const renewal_verdict verdict = judge_renewals(answer, work.messages.size());
    if (verdict == renewal_verdict::unanswered) {
        this->drop(work);
        return verdict;
    }
    const steady_time answered_at = read_steady_clock();
    std::size_t answered = 0;
    for (std::size_t i = 0; i < work.messages.size(); ++i) {
        const RenewalReport& report = answer->reports(static_cast<int>(i));
        worker_result result;
        result.is_relayed = true;
        result.sent_at = sent_at;
        result.answered_at = answered_at;
        result.is_dropped = report.outcome() == RENEWAL_NOT_SENT;
        result.answer = read_renewal_report(work.messages[i], report);
        result.orders = std::move(work.messages[i]);
        answered += report.outcome() == RENEWAL_ANSWERED ? 1 : 0;
        this->results.add_result(std::move(result));
    }
    process_metrics().count("wigeon_renewals_relayed_total", answered);
    return verdict;
}

renewal_server::renewal_server(const replica& state,
                               const std::function<std::unique_ptr<worker_service>()>& make_service,
                               milliseconds call_limit)
    : state(state), call_limit(call_limit), workers(server_threads, make_service)
{
}

RenewalAnswer renewal_server::renew(const RenewalQuestion& question)
{
    const std::lock_guard lock(this->mutex);
    const steady_time begin = read_steady_clock();
    std::vector<WorkerOrders> messages;
    std::map<std::string, std::string> addresses;
    this->state.read([&](const replicated_state& current) {
        messages = expand_renewals(current, question);
        for (const Worker& worker : current.configuration().workers())
            addresses.emplace(worker.id(), worker.address());
    });
    RenewalAnswer answer;
    std::map<std::string, RenewalReport*> waiting;
    for (WorkerOrders& message : messages) {
        RenewalReport& report = *answer.add_reports();
        const auto address = addresses.find(message.worker());
        if (address == addresses.end())
            continue;
        report.set_outcome(RENEWAL_UNCERTAIN);
        waiting.emplace(message.worker(), &report);
    }
    for (WorkerOrders& message : messages) {
        const auto address = addresses.find(message.worker());
        if (address != addresses.end())
            this->workers.send({address->second, std::move(message), begin + this->call_limit, false});
    }
    while (!waiting.empty()) {
        const milliseconds left = elapsed_ms(read_steady_clock(), begin + this->call_limit * 2);
        auto result = left.count() > 0 ? this->workers.receive(left) : std::nullopt;
        if (!result)
            break;
        // A result of an earlier question may come late.
        const auto found = waiting.find(result->orders.worker());
        if (found == waiting.end() || result->sent_at < begin)
            continue;
        if (!result->is_dropped) {
            *found->second = this->state.read([&](const replicated_state& current) {
                return make_renewal_report(current, result->orders, result->answer);
            });
        }
        waiting.erase(found);
    }
    return answer;
}

} // namespace wigeon
