// Appends this process's records to the log: in batches, each settled before the next, so that the sequences of an
// author reach the log in order. What was promised to the submitter of a record is kept here until the record is read
// back.

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
    milliseconds batch_window{5}; // For which records are gathered into one batch.
};

class record_appender {
public:
    // `choose_time` gives the time of the records of a batch, in ms of the wall clock.
    record_appender(appender_options options, std::uint64_t author, std::function<std::uint64_t()> choose_time);
    ~record_appender();

    record_appender(const record_appender&) = delete;
    record_appender& operator=(const record_appender&) = delete;

    void start();
    void stop();

    // Author, sequence and time are filled in. The future has what the log made of the record once it was read back;
    // error(log_unavailable) when the record certainly has no effect and never will; error(log_uncertain) when that is
    // not known one call after the deadline.
    std::future<apply_result> submit(Record record, steady_time deadline);

    // A record of this author was read from the log.
    void resolve(const apply_result& result);

    // Answers those whose deadline passed while their record is neither read back nor voided.
    void expire(steady_time now);

private:
    struct pending_append {
        Record record;
        steady_time deadline;
        std::promise<apply_result> outcome;
        bool is_sent = false; // An attempt left this process, so that the record may be in the log.
        bool is_void = false; // The record was replaced by a void one of the same sequence.
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
    std::map<std::uint64_t, pending_pointer> unconfirmed; // By sequence: appended, but not read back yet.
    std::uint64_t last_sequence = 0;                      // Owned by the thread.
    // Taken from the ring, without a sequence yet; at most ring_capacity. Owned by the thread.
    std::vector<pending_pointer> backlog;

    std::atomic<bool> stopping = false;
    std::thread thread;
};

} // namespace wigeon
