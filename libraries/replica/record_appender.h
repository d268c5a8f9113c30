// Appends this process's records to the log in batches. Each batch is settled before the next is sent, so that the
// sequence numbers of an author reach the log in order. Keeps the promise of each submitted record until the record is
// read back from the log or counts as failed.

#pragma once

#include <atomic>
#include <functional>
#include <future>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "base/adaptive_timeout.h"
#include "base/bounded_ring.h"
#include "base/time.h"
#include "outside/log_service.h"
#include "state/replicated_state.h"
#include "wigeon.pb.h"

namespace wigeon {

struct appender_options {
    std::string log_address;
    std::string stream;
    milliseconds log_timeout{1500};
    milliseconds max_log_timeout{10'000};
    milliseconds batch_window{5}; // How long records are collected into one batch.
};

class record_appender {
public:
    // `choose_time` returns the time for the records of a batch, in milliseconds since the Unix epoch.
    record_appender(appender_options options, std::uint64_t author, std::function<std::uint64_t()> choose_time);
    ~record_appender();

    record_appender(const record_appender&) = delete;
    record_appender& operator=(const record_appender&) = delete;

    void start();
    void stop();

    // Queues the record; author, sequence and time are filled in. The future holds the result of applying the record
    // once it was read back; error(log_unavailable) when the record certainly has no effect and never will;
    // error(log_uncertain) when neither is known one log_timeout after the deadline.
    std::future<apply_result> submit(Record record, steady_time deadline);

    // Fulfils the promise of a record of this author that was read from the log.
    void resolve(const apply_result& result);

    // Fails, with error(log_uncertain), the records that are still unconfirmed one log_timeout after their deadline.
    void expire(steady_time now);

private:
    struct pending_append {
        Record record;
        steady_time deadline;
        std::promise<apply_result> outcome;
        bool is_sent = false; // An append was sent, so the record may be in the log.
        bool is_void = false; // The record was replaced by a void record of the same sequence.
    };
    using pending_pointer = std::shared_ptr<pending_append>;

    void run();
    std::vector<pending_pointer> collect_batch();
    bool move_to_backlog(milliseconds timeout);
    void expire_backlog();
    bool append_batch(log_service& log, adaptive_timeout& timeout, std::vector<pending_pointer>& batch);
    void drop_resolved(std::vector<pending_pointer>& batch);
    void drop_or_void_expired(std::vector<pending_pointer>& batch);

    const appender_options options;
    const std::uint64_t author;
    const std::function<std::uint64_t()> choose_time;

    static constexpr std::size_t queue_capacity = 4096;
    bounded_ring<pending_pointer> queue{queue_capacity};
    std::mutex unconfirmed_mutex;
    // By sequence: being appended, or appended and not read back yet. Guarded by unconfirmed_mutex.
    std::map<std::uint64_t, pending_pointer> unconfirmed;
    std::uint64_t last_sequence = 0; // Used only by `thread` while it runs.
    // Taken from the queue, without a sequence yet; at most queue_capacity. Used only by `thread` while it runs.
    std::vector<pending_pointer> backlog;

    std::atomic<bool> stopping = false;
    std::thread thread;
};

} // namespace wigeon
