// What the holder of the term knows of the ways to the workers: who was asked when, who is silent, and the workers'
// clocks. Pure: the present time is an argument.

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
    // A worker that did not answer is asked again after `silent_interval`.
    explicit worker_connectivity(milliseconds retry_interval) : retry_interval(retry_interval) {}

    void clear() { this->statuses.clear(); }

    void record_sent(const std::string& worker, steady_time now);
    void clear_in_flight(const std::string& worker) { this->statuses[worker].is_in_flight = false; }

    // A relayed answer says nothing of the way from here to the worker.
    void record_answer(const std::string& worker, const worker_answer& answer, steady_time sent_at, steady_time now,
                       bool is_relayed);

    // True when no message is under way and a silent worker has had its pause.
    [[nodiscard]] bool may_send(const std::string& worker, steady_time now) const;

    // When the newest message was made; the beginning of time when there was none.
    [[nodiscard]] steady_time find_sent_at(const std::string& worker) const;

    [[nodiscard]] bool is_unresponsive(const std::string& worker) const;

    // What the worker's clock shows at `then` at least, even if it runs slower, or nothing when it never answered.
    [[nodiscard]] std::optional<std::uint64_t> find_clock_ms(const std::string& worker, steady_time then) const;

    // Workers without an answer for at least this long, among those that were asked.
    [[nodiscard]] std::vector<std::string> list_unresponsive(steady_time now, milliseconds duration) const;

    // True when several workers were called from here within `recent` and none answered for at least the limit: the
    // fault is then more likely on this side.
    [[nodiscard]] bool is_cut_off(steady_time now, milliseconds call_window, milliseconds duration) const;

private:
    // Exchanges without an answer, in a row.
    struct response_status {
        bool is_unresponsive = false;
        steady_time unresponsive_since{}; // Start of the first of them; holds while is_silent.

        void record(bool is_answered, steady_time sent_at);
        [[nodiscard]] bool is_unresponsive_for(steady_time now, milliseconds duration) const
        {
            return this->is_unresponsive && now - this->unresponsive_since >= duration;
        }
    };

    struct worker_status {
        bool is_in_flight = false;
        steady_time sent_at{};       // When the newest message was made.
        std::uint64_t clock_ms = 0;  // The worker's clock in its newest answer; 0 when unknown.
        steady_time clock_read_at{}; // When that answer arrived.
        response_status any_path;
        response_status direct_path;
        steady_time last_direct_call_at{}; // When the newest exchange from here ended.
    };

    [[nodiscard]] const worker_status* find(const std::string& worker) const;

    const milliseconds retry_interval;
    std::map<std::string, worker_status> statuses; // By worker id.
};

} // namespace wigeon
