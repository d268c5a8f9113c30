// Counters, gauges and latency histograms of one process, formatted in the Prometheus text format.
// Label values come from closed lists or from the configuration, never from callers.

#pragma once

#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <string_view>

#include <boost/histogram.hpp>

namespace wigeon {

class metrics {
public:
    // `series` is a full series name such as `wigeon_refusals_total{reason="queue_full"}`.
    void count(std::string_view series, std::uint64_t amount = 1);
    void set_gauge(std::string_view series, double value);
    // Does nothing if there is no such gauge.
    void remove_gauge(std::string_view series);
    void observe_ms(std::string_view name, double value_ms);

    [[nodiscard]] std::uint64_t read_count(std::string_view series) const;
    [[nodiscard]] std::string format() const;

private:
    using axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
    using histogram = decltype(boost::histogram::make_histogram(axis(1, 1.0, 2.0)));

    struct latency {
        histogram bins;
        double sum_ms = 0;
        std::uint64_t count = 0;
    };

    // Bounds the number of counters, and so the memory that a faulty label could take. Counts of further series are
    // dropped, and these drops are counted.
    static constexpr std::size_t series_limit = 4096;

    mutable std::mutex mutex;
    std::map<std::string, std::uint64_t, std::less<>> counters;
    std::map<std::string, double, std::less<>> gauges;
    std::map<std::string, latency, std::less<>> latencies;
    std::uint64_t dropped_series = 0;
};

// The metrics registry of this process.
metrics& process_metrics();

// Counts a refusal or retry under the name of its reason.
void count_refusal(std::string_view reason);
void count_retry(std::string_view reason);

} // namespace wigeon
