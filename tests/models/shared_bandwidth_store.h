// Offers store_model in simulated time through the record_store interface. All reads share one bandwidth and are served
// in the order of their arrival. A read whose answer comes after its timeout fails, but the store still spends its
// bandwidth on it.

#pragma once

#include <cstddef>
#include <functional>
#include <string>
#include <vector>

#include "models/simulated_scheduler.h"
#include "models/store_model.h"
#include "store/record_store.h"

namespace wigeon {

class shared_bandwidth_store : public record_store {
public:
    shared_bandwidth_store(simulated_scheduler& event_loop, double bytes_per_ms);

    void set_bandwidth(double bytes_per_ms);

    [[nodiscard]] append_limits limits() const override { return this->model.limits; }
    void append(std::string_view topic, std::span<const keyed_record> records, const append_condition& condition,
                std::function<void(append_result)> done) override;
    void append_unkeyed(std::string_view topic, std::string_view record, const append_condition& condition,
                        std::function<void(append_result)> done) override;
    void read(std::string_view topic, std::uint64_t from, const read_bounds& bounds,
              std::function<void(read_result)> done) override;
    void read_unkeyed(std::string_view topic, std::uint64_t from, std::function<void(read_result)> done) override;
    void read_newest(std::string_view topic, std::string_view after, milliseconds timeout,
                     std::function<void(newest_page)> done) override;

    store_model model;
    std::size_t bytes_read = 0; // In answers that came in time.
    std::size_t reads_failed = 0;

private:
    struct waiting_read {
        std::string topic;
        std::uint64_t from = 0;
        read_bounds bounds;
        std::function<void(read_result)> done;
        boot_time wait_end;
    };

    void serve_read(const waiting_read& request);

    // Calls one of the two: `answer` when the bytes have been sent, or `fail` when that is later than the timeout.
    void send(std::size_t bytes, milliseconds timeout, std::function<void()> answer, std::function<void()> fail);
    void drain_backlog();

    simulated_scheduler& scheduler;
    double bandwidth; // Bytes per ms.
    double backlog_bytes = 0;
    boot_time drained_at;
    std::vector<waiting_read> waiting;
};

} // namespace wigeon
