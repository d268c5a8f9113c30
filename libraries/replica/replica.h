// This process's copy of the replicated state: one thread tails the log and applies its records, another appends
// records. Both continue after an outage of the log. A copy that fell behind the log's retention is restored from a
// snapshot or from a peer.

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
    // Delay between two reads while no caller waits for a record. Without it, each renewal of the term would cause a
    // read, although renewals alone need none.
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

    // `fetch_peer_state` returns a peer's state or records beyond the given offset, or an empty response.
    void start(std::function<StateAnswer(std::uint64_t)> fetch_peer_state);
    void stop();

    // Returns true once the state covers all records that the log held when this process first read it or, during an
    // outage of the log, once a peer's state is installed.
    [[nodiscard]] bool is_ready() const { return this->ready; }

    // Returns when the newest response to a read of the log arrived.
    [[nodiscard]] steady_time last_log_response_at() const;

    // Appends the record and waits until it is read back. Author, sequence and time are filled in. Throws
    // error(log_unavailable) when the record certainly has no effect and never will, and error(log_uncertain) when its
    // outcome is not known one log_timeout after the deadline.
    apply_result submit(Record record, steady_time deadline);

    // The same without waiting. The future holds the result or the error of submit().
    std::future<apply_result> submit_later(Record record, steady_time deadline);

    // Runs `reader` on the state under a shared lock; no record is applied meanwhile.
    template <typename Reader>
    auto read(Reader&& reader) const
    {
        const std::shared_lock lock(this->state_mutex);
        return reader(this->state);
    }

    // Waits until the number of changes differs from `seen`, or for the timeout. A change is an applied page or an
    // installed state. Returns the number of changes.
    std::uint64_t wait_for_change(std::uint64_t seen, milliseconds timeout) const;

    // Makes reads of the log skip idle_read_delay for a while, because a caller waits for new records.
    void expedite_reads();

    // Waits until a read of the log succeeds, or for the timeout.
    void wait_for_read(milliseconds timeout);

    // Replaces the state if `newer` is ahead and its configuration is not older. Returns false otherwise. `source`
    // names the origin in metrics and the event log.
    bool install(const SystemState& newer, std::string_view source);

    // Returns what a peer misses that has all records below the offset: the later records, or the state when some of
    // them are no longer kept, or nothing.
    [[nodiscard]] StateAnswer make_state_response(std::uint64_t offset) const;

    // Installs the state or applies the records of a peer's response. Returns false when they do not advance the state.
    bool apply_state_response(const StateAnswer& response);

    // Appends a snapshot of the state to the snapshot stream. Throws log_call_error.
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
    std::uint64_t changes = 0;      // Guarded by change_mutex.
    steady_time log_responded_at{}; // Guarded by change_mutex.
    steady_time expedite_until{};   // Guarded by change_mutex.

    std::uint64_t ready_offset = 0; // Used only by the tailing thread.

    std::atomic<bool> ready = false;
    std::atomic<bool> stopping = false;
    std::thread tail_thread;
};

} // namespace wigeon
