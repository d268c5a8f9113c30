// Queues and threads for calls to workers.

#include "scheduling/worker_call_pool.h"

#include "base/metrics.h"

namespace wigeon {

namespace {

constexpr std::size_t unresponsive_queue_threads = 4;
constexpr milliseconds pop_timeout{500};

} // namespace

worker_call_pool::worker_call_pool(std::size_t thread_count,
                                   const std::function<std::unique_ptr<worker_client>()>& make_client)
{
    for (std::size_t i = 0; i < thread_count + unresponsive_queue_threads; ++i) {
        this->clients.push_back(make_client());
        worker_client& client = *this->clients.back();
        bounded_ring<worker_message>& assigned_queue = i < thread_count ? this->queue : this->unresponsive_queue;
        this->threads.emplace_back([this, &assigned_queue, &client] { this->run(assigned_queue, client); });
    }
}

worker_call_pool::~worker_call_pool()
{
    this->stop();
}

void worker_call_pool::stop()
{
    this->queue.close();
    this->unresponsive_queue.close();
    this->results.close();
    for (std::thread& thread : this->threads) {
        if (thread.joinable())
            thread.join();
    }
}

void worker_call_pool::send(worker_message message)
{
    bounded_ring<worker_message>& target_queue = message.is_to_unresponsive ? this->unresponsive_queue : this->queue;
    if (target_queue.try_push(message))
        return;
    count_refusal("worker_ring_full");
    worker_result result;
    result.orders = std::move(message.orders);
    result.is_dropped = true;
    this->results.push(std::move(result));
}

void worker_call_pool::run(bounded_ring<worker_message>& assigned_queue, worker_client& client)
{
    while (true) {
        auto message = assigned_queue.pop(pop_timeout);
        if (!message) {
            if (assigned_queue.is_closed())
                return;
            continue;
        }
        worker_result result;
        result.sent_at = read_steady_clock();
        // The process may have been paused since the decision; another scheduler may hold the term by now.
        result.is_dropped = result.sent_at > message->not_after;
        if (result.is_dropped)
            count_refusal("stale_worker_orders");
        else
            result.response = client.send(message->address, message->orders);
        result.answered_at = read_steady_clock();
        result.orders = std::move(message->orders);
        if (!this->results.push(std::move(result)))
            return;
    }
}

} // namespace wigeon
