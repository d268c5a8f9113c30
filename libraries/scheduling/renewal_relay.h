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
#include "scheduling/worker_pool.h"

namespace wigeon {

// Asks the peer at an address; nothing when no answer came in time.
using renewal_caller = std::function<std::optional<RenewalAnswer>(const std::string&, const RenewalQuestion&)>;

// The holder's side.
class renewal_relay {
public:
    // Results are handed to `results` like those of direct calls.
    renewal_relay(renewal_caller ask, worker_pool& results);
    ~renewal_relay();

    renewal_relay(const renewal_relay&) = delete;
    renewal_relay& operator=(const renewal_relay&) = delete;

    // Sends the messages, which only renew, through the standby at the address. If it does not answer, they count as
    // dropped: to renew once more does no harm.
    void send(const std::string& address, std::vector<worker_message> messages);

    // False while a question to the standby is open, so that one that hangs delays a single message a worker, and while
    // it is shunned.
    [[nodiscard]] bool may_ask(const std::string& address, steady_time now) const;

    // True when the standby did not answer, or knew other tasks, a short time ago.
    [[nodiscard]] bool is_shunned(const std::string& address, steady_time now) const;

    void stop();

private:
    struct batch {
        std::string address;
        std::vector<WorkerOrders> messages;
        steady_time not_after{};
    };

    void run();
    void carry_out(batch& work);
    renewal_verdict ask_standby(batch& work);
    void drop(batch& work);

    const renewal_caller ask;
    worker_pool& results;
    static constexpr std::size_t ring_capacity = 64;
    bounded_ring<std::shared_ptr<batch>> ring{ring_capacity};
    mutable std::mutex mutex;
    std::map<std::string, steady_time> shunned_until; // Guarded by mutex.
    std::set<std::string> asked;                      // Standbys with an open question. Guarded by mutex.
    std::vector<std::thread> threads;
};

// The standby's side.
class renewal_server {
public:
    renewal_server(const replica& state, const std::function<std::unique_ptr<worker_service>()>& make_service,
                   milliseconds call_limit);

    // Renews at the workers and tells what they answered. For one caller at a time; others wait.
    RenewalAnswer renew(const RenewalQuestion& question);

    void stop() { this->workers.stop(); }

private:
    const replica& state;
    const milliseconds call_limit;
    std::mutex mutex;
    worker_pool workers; // Guarded by mutex.
};

} // namespace wigeon
