// Threads that send messages to workers. Unresponsive workers have a queue and threads of their own, so that a failed
// rack does not delay the orders of the others.

#pragma once

#include <functional>
#include <memory>
#include <thread>
#include <vector>

#include "base/bounded_ring.h"
#include "scheduling/gang_driver.h"
#include "scheduling/worker_client.h"

namespace wigeon {

struct worker_result {
    WorkerOrders orders;
    worker_response response;
    steady_time sent_at{};
    steady_time answered_at{};
    bool is_dropped = false; // Not sent, as it was too old or the queue was full, or relayed without a response.
    bool is_relayed = false; // Another scheduler called the worker.
};

class worker_call_pool {
public:
    worker_call_pool(std::size_t thread_count, const std::function<std::unique_ptr<worker_client>()>& make_client);
    ~worker_call_pool();

    worker_call_pool(const worker_call_pool&) = delete;
    worker_call_pool& operator=(const worker_call_pool&) = delete;

    void send(worker_message message);

    // Returns a finished exchange, or nothing when none ends within the timeout.
    std::optional<worker_result> receive(milliseconds timeout) { return this->results.pop(timeout); }

    // Adds the result of an exchange that another component made.
    void add_result(worker_result result) { this->results.push(std::move(result)); }

    void stop();

private:
    void run(bounded_ring<worker_message>& queue, worker_client& client);

    static constexpr std::size_t queue_capacity = 8192;
    bounded_ring<worker_message> queue{queue_capacity};
    bounded_ring<worker_message> unresponsive_queue{queue_capacity};
    bounded_ring<worker_result> results{queue_capacity};
    std::vector<std::unique_ptr<worker_client>> clients;
    std::vector<std::thread> threads;
};

} // namespace wigeon
