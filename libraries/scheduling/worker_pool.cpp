// Lanes and threads.

#include "scheduling/worker_pool.h"

#include "base/metrics.h"

namespace wigeon {

namespace {

constexpr std::size_t silent_lane_threads = 4;
constexpr milliseconds ring_wait{500};

} // namespace

worker_pool::worker_pool(std::size_t thread_count, const std::function<std::unique_ptr<worker_service>()>& make_service)
{
    for (std::size_t i = 0; i < thread_count + silent_lane_threads; ++i) {
        this->services.push_back(make_service());
        worker_service& service = *this->services.back();
        bounded_ring<worker_message>& own_lane = i < thread_count ? this->lane : this->silent_lane;
        this->threads.emplace_back([this, &own_lane, &service] { this->run(own_lane, service); });
    }
}

worker_pool::~worker_pool()
{
    this->stop();
}

void worker_pool::stop()
{
    this->lane.close();
    this->silent_lane.close();
    this->results.close();
    for (std::thread& thread : this->threads) {
        if (thread.joinable())
            thread.join();
    }
}

void worker_pool::send(worker_message message)
{
    bounded_ring<worker_message>& chosen = message.is_to_silent ? this->silent_lane : this->lane;
    if (chosen.try_push(message))
        return;
    count_refusal("worker_ring_full");
    worker_result result;
    result.orders = std::move(message.orders);
    result.is_dropped = true;
    this->results.push(std::move(result));
}

void worker_pool::run(bounded_ring<worker_message>& own_lane, worker_service& service)
{
    while (true) {
        auto message = own_lane.pop(ring_wait);
        if (!message) {
            if (own_lane.is_closed())
                return;
            continue;
        }
        worker_result result;
        result.sent_at = read_steady_clock();
        // The process may have been paused since the decision; another may hold the term by now.
        result.is_dropped = result.sent_at > message->not_after;
        if (result.is_dropped)
            count_refusal("stale_worker_orders");
        else
            result.answer = service.send(message->address, message->orders);
        result.answered_at = read_steady_clock();
        result.orders = std::move(message->orders);
        if (!this->results.push(std::move(result)))
            return;
    }
}

} // namespace wigeon
