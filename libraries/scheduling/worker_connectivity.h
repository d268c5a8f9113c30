// Tracks the connectivity of the holder of the term to the workers: when each was called, which are unresponsive, and
// the workers' clocks. No I/O; the current time is an argument.

#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/time.h"
#include "scheduling/worker_client.h"

namespace wigeon {

class worker_connectivity {
public:
    // An unresponsive worker is called again after `retry_interval`.
    explicit worker_connectivity(milliseconds retry_interval) : retry_interval(retry_interval) {}

    void clear() { this->statuses.clear(); }

    void record_sent(const std::string& worker, steady_time now);
    void clear_in_flight(const std::string& worker) { this->statuses[worker].is_in_flight = false; }

    // A relayed response does not show whether this scheduler reaches the worker.
    void record_response(const std::string& worker, const worker_response& response, steady_time sent_at,
                         steady_time now, bool is_relayed);

    // True when no message is in flight and, for an unresponsive worker, the retry interval has passed.
    [[nodiscard]] bool may_send(const std::string& worker, steady_time now) const;

    // Returns when the newest message was made; steady_time{} if there was none.
    [[nodiscard]] steady_time find_sent_at(const std::string& worker) const;

    [[nodiscard]] bool is_unresponsive(const std::string& worker) const;

    // Returns a lower bound of the worker's clock at `then`, in milliseconds, which holds even if that clock runs
    // slower; nothing if the worker never answered.
    [[nodiscard]] std::optional<std::uint64_t> find_clock_ms(const std::string& worker, steady_time then) const;

    // Returns the workers that were called and have not answered for at least `duration`.
    [[nodiscard]] std::vector<std::string> list_unresponsive(steady_time now, milliseconds duration) const;

    // True when several workers were called directly within `call_window` and none has answered for at least
    // `duration`: the fault is then more likely on this side.
    [[nodiscard]] bool is_cut_off(steady_time now, milliseconds call_window, milliseconds duration) const;

private:
    // Tracks consecutive calls without a response.
    struct response_status {
        bool is_unresponsive = false;
        steady_time unresponsive_since{}; // Start of the first unanswered call; valid while is_unresponsive.

        void record(bool is_answered, steady_time sent_at);
        [[nodiscard]] bool is_unresponsive_for(steady_time now, milliseconds duration) const
        {
            return this->is_unresponsive && now - this->unresponsive_since >= duration;
        }
    };

    struct worker_status {
        bool is_in_flight = false;
        steady_time sent_at{};       // When the newest message was made.
        std::uint64_t clock_ms = 0;  // The worker's clock in its newest response; 0 when unknown.
        steady_time clock_read_at{}; // When that response arrived.
        response_status any_path;
        response_status direct_path;
        steady_time last_direct_call_at{}; // When the newest direct call ended.
    };

    [[nodiscard]] const worker_status* find(const std::string& worker) const;

    const milliseconds retry_interval;
    std::map<std::string, worker_status> statuses; // By worker id.
};

} // namespace wigeon
