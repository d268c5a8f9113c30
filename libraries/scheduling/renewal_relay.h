// Both ends of shared renewals: the holder's threads, which ask standbys, and the standby's side, which calls workers.

#pragma once

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "base/bounded_ring.h"
#include "replica/replica.h"
#include "scheduling/renewal_sharing.h"
#include "scheduling/worker_call_pool.h"

namespace wigeon {

// Asks the peer at an address; nothing when no answer came in time.
using renewal_caller = std::function<std::optional<RenewalAnswer>(const std::string&, const RenewalQuestion&)>;

// The holder's side.
class renewal_relay {
public:
    // Results are handed to `results` like those of direct calls.
    renewal_relay(renewal_caller call_standby, worker_call_pool& workers);
    ~renewal_relay();

    renewal_relay(const renewal_relay&) = delete;
    renewal_relay& operator=(const renewal_relay&) = delete;

    // Sends the messages, which only renew, through the standby at the address. If it does not answer, they count as
    // dropped: to renew once more does no harm.
    void send(const std::string& address, std::vector<worker_message> messages);

    // False while a question to the standby is open, so that one that hangs delays a single message a worker, and while
    // it is shunned.
    [[nodiscard]] bool may_send(const std::string& address, steady_time now) const;

    // True when the standby did not answer, or knew other tasks, a short time ago.
    [[nodiscard]] bool is_in_backoff(const std::string& address, steady_time now) const;

    void stop();

private:
    struct message_batch {
        std::string address;
        std::vector<WorkerOrders> messages;
        steady_time not_after{};
    };

    void run();
    void process(message_batch& batch);
    standby_health relay(message_batch& batch);
    void drop(message_batch& batch);

    const renewal_caller call_standby;
    worker_call_pool& workers;
    static constexpr std::size_t queue_capacity = 64;
    bounded_ring<std::shared_ptr<message_batch>> queue{queue_capacity};
    mutable std::mutex mutex;
    std::map<std::string, steady_time> backoff_until; // Guarded by mutex.
    std::set<std::string> in_flight;                  // Standbys with an open question. Guarded by mutex.
    std::vector<std::thread> threads;
};

// The standby's side.
class renewal_server {
public:
    renewal_server(const replica& state, const std::function<std::unique_ptr<worker_client>()>& make_client,
                   milliseconds call_timeout);

    // Renews at the workers and tells what they answered. For one caller at a time; others wait.
    RenewalAnswer renew(const RenewalQuestion& question);

    void stop() { this->workers.stop(); }

private:
    const replica& state;
    const milliseconds call_timeout;
    std::mutex mutex;
    worker_call_pool workers; // Guarded by mutex.
};

} // namespace wigeon
