// This process's copy of the replicated state: one thread tails the log and applies it, another appends records.
// Both survive an outage of the log; a copy that fell behind the log's retention is restored from a snapshot.

#pragma once

#include <atomic>
#include <functional>
#include <future>
#include <shared_mutex>
#include <string>
#include <thread>

#include "base/time.h"
#include "outside/log_service.h"
#include "replica/record_appender.h"
#include "replica/record_history.h"
#include "state/replicated_state.h"
#include "wigeon.pb.h"

namespace wigeon {

struct replica_options {
    std::string log_address;
    milliseconds log_timeout{1500};
    milliseconds append_window{5};
    // Between two reads while nobody waits for a record: the renewals of the term alone are no reason to read.
    milliseconds idle_read_delay{0};
};

class replica {
public:
    static constexpr std::string_view main_stream = "wigeon";
    static constexpr std::string_view snapshot_stream = "wigeon-snapshots";

    explicit replica(replica_options options);
    ~replica();

    replica(const replica&) = delete;
    replica& operator=(const replica&) = delete;

    [[nodiscard]] std::uint64_t incarnation() const { return this->author; }

    // `peer_state` returns a peer's state that is newer than the given offset, or an empty answer.
    void start(std::function<StateAnswer(std::uint64_t)> fetch_peer_state);
    void stop();

    // True once the state covers all that the log held when this process first read it, or, in an outage of the
    // log, all that the peers knew.
    [[nodiscard]] bool is_ready() const { return this->ready; }

    // When the newest answer of the log service arrived.
    [[nodiscard]] steady_time last_log_answer_at() const;

    // Appends the record and waits until it was read back. Author, sequence and time are filled in.
    // Throws error(log_unavailable) when the record certainly has no effect and never will, and
    // error(log_uncertain) when its outcome is not known at the deadline.
    apply_result submit(Record record, steady_time deadline);

    // The same without waiting. The future's error is as with submit().
    std::future<apply_result> submit_later(Record record, steady_time deadline);

    // Runs `reader` on the state while no record is applied.
    template <typename Reader>
    auto read(Reader&& reader) const
    {
        const std::shared_lock lock(this->state_mutex);
        return reader(this->state);
    }

    // Waits until a record was applied after `seen` changes, or until the limit. Returns the number of changes.
    std::uint64_t wait_for_change(std::uint64_t seen, milliseconds timeout) const;

    // Reads the log without pauses for a while, because somebody waits for what it says.
    void expedite_reads();

    // Waits until the log was read once more, or until the limit.
    void wait_for_read(milliseconds timeout);

    // Takes the state over when it is newer than this process's own; an older one never replaces a newer.
    bool install(const SystemState& newer, std::string_view source);

    // What a peer needs that has all records below the offset: the later ones, or the state when some of them are no
    // longer kept, or nothing.
    [[nodiscard]] StateAnswer make_state_response(std::uint64_t offset) const;

    // Takes over what a peer answered. Returns false when that is not newer than the own state.
    bool apply_state_response(const StateAnswer& response);

    // Appends a snapshot of the state to the stream of snapshots. Throws log_call_error.
    void append_snapshot();

private:
    void run_tail();
    void delay_next_read();
    bool restore(log_service& log);
    void apply_page(const LogPage& page);
    [[nodiscard]] std::uint64_t choose_record_time() const;
    void notify_change();

    const replica_options options;
    const std::uint64_t author;
    record_appender appender;
    std::function<StateAnswer(std::uint64_t)> fetch_peer_state;

    mutable std::shared_mutex state_mutex;
    replicated_state state; // Guarded by state_mutex.
    static constexpr std::size_t max_history_bytes = std::size_t{256} << 10U;
    record_history history{max_history_bytes}; // Guarded by state_mutex.

    mutable std::mutex change_mutex;
    mutable std::condition_variable changed;
    std::uint64_t changes = 0;     // Guarded by change_mutex.
    steady_time log_answered_at{}; // Guarded by change_mutex.
    steady_time expedite_until{};  // Guarded by change_mutex.

    std::uint64_t ready_offset = 0; // Owned by the tailing thread.

    std::atomic<bool> ready = false;
    std::atomic<bool> stopping = false;
    std::thread tail_thread;
};

} // namespace wigeon
