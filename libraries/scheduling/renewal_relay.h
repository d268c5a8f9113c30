// Renews leases through standbys: renewal_relay is the holder's side, which calls standbys, and renewal_server the
// standby's side, which calls workers.

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

// Sends a request to the peer at an address; returns nothing when no response came in time.
using renewal_caller = std::function<std::optional<RenewalAnswer>(const std::string&, const RenewalQuestion&)>;

// Sends the holder's renewals to standbys, on threads of its own.
class renewal_relay {
public:
    // Results are added to those of `workers`, like the results of direct calls.
    renewal_relay(renewal_caller call_standby, worker_call_pool& workers);
    ~renewal_relay();

    renewal_relay(const renewal_relay&) = delete;
    renewal_relay& operator=(const renewal_relay&) = delete;

    // Sends the messages through the standby at the address. All their orders must be renewals. If the standby does not
    // respond, the messages count as dropped, since repeating a renewal does no harm.
    void send(const std::string& address, std::vector<worker_message> messages);

    // False while a request to the standby is in flight, so that a hanging standby delays only one message per worker,
    // and while the standby is in backoff.
    [[nodiscard]] bool may_send(const std::string& address, steady_time now) const;

    // True for a while after the standby did not respond, had different tasks in its state, or reached no worker.
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
    std::set<std::string> in_flight; // Addresses of standbys with a request in flight. Guarded by mutex.
    std::vector<std::thread> threads;
};

// Executes renewals for the holder on a standby.
class renewal_server {
public:
    renewal_server(const replica& state, const std::function<std::unique_ptr<worker_client>()>& make_client,
                   milliseconds call_timeout);

    // Sends the renewals to the workers and returns their responses. Serves one caller at a time; others wait.
    RenewalAnswer renew(const RenewalQuestion& request);

    void stop() { this->workers.stop(); }

private:
    const replica& state;
    const milliseconds call_timeout;
    std::mutex mutex;
    worker_call_pool workers; // Guarded by mutex.
};

} // namespace wigeon
