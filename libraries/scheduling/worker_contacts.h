// What the holder of the term knows of the ways to the workers: who was asked when, who is silent, and the workers'
// clocks. Pure: the present time is an argument.

#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/time.h"
#include "scheduling/worker_service.h"

namespace wigeon {

class worker_contacts {
public:
    // A worker that did not answer is asked again after `silent_interval`.
    explicit worker_contacts(milliseconds silent_interval) : silent_interval(silent_interval) {}

    void clear() { this->contacts.clear(); }

    void note_sent(const std::string& worker, steady_time now);
    void note_dropped(const std::string& worker) { this->contacts[worker].is_under_way = false; }

    // A relayed answer says nothing of the way from here to the worker.
    void note_answer(const std::string& worker, const worker_answer& answer, steady_time sent_at, steady_time now,
                     bool is_relayed);

    // True when no message is under way and a silent worker has had its pause.
    [[nodiscard]] bool may_send(const std::string& worker, steady_time now) const;

    // When the newest message was made; the beginning of time when there was none.
    [[nodiscard]] steady_time find_sent_at(const std::string& worker) const;

    [[nodiscard]] bool is_silent(const std::string& worker) const;

    // What the worker's clock shows at `then` at least, even if it runs slower, or nothing when it never answered.
    [[nodiscard]] std::optional<std::uint64_t> find_clock_ms(const std::string& worker, steady_time then) const;

    // Workers without an answer for at least this long, among those that were asked.
    [[nodiscard]] std::vector<std::string> list_silent(steady_time now, milliseconds limit) const;

    // True when several workers were called from here within `recent` and none answered for at least the limit: the
    // fault is then more likely on this side.
    [[nodiscard]] bool is_cut_off(steady_time now, milliseconds recent, milliseconds limit) const;

private:
    // Exchanges without an answer, in a row.
    struct silence {
        bool is_silent = false;
        steady_time since{}; // Start of the first of them; holds while is_silent.

        void note(bool is_answered, steady_time sent_at);
        [[nodiscard]] bool has_lasted(steady_time now, milliseconds limit) const
        {
            return this->is_silent && now - this->since >= limit;
        }
    };

    struct contact {
        bool is_under_way = false;
        steady_time sent_at{};       // When the newest message was made.
        std::uint64_t clock_ms = 0;  // The worker's clock in its newest answer; 0 when unknown.
        steady_time clock_read_at{}; // When that answer arrived.
        silence any_way;
        silence from_here;
        steady_time called_at{}; // When the newest exchange from here ended.
    };

    [[nodiscard]] const contact* find(const std::string& worker) const;

    const milliseconds silent_interval;
    std::map<std::string, contact> contacts; // By worker id.
};

} // namespace wigeon
