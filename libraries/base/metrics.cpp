// Stores the metrics that /metrics prints.

#include "base/metrics.h"

#include <sstream>

namespace wigeon {

namespace {

// Five bins per decade from 0.1 ms to 1000 s.
constexpr unsigned latency_bin_count = 35;
constexpr double lowest_ms = 0.1;
constexpr double highest_ms = 1e6;

} // namespace

void metrics::count(std::string_view series, std::uint64_t amount)
{
    const std::lock_guard lock(this->mutex);
    auto found = this->counters.find(series);
    if (found == this->counters.end()) {
        if (this->counters.size() >= series_limit) {
            ++this->dropped_series;
            return;
        }
        found = this->counters.emplace(std::string(series), 0).first;
    }
    found->second += amount;
}

void metrics::set_gauge(std::string_view series, double value)
{
    const std::lock_guard lock(this->mutex);
    this->gauges.insert_or_assign(std::string(series), value);
}

void metrics::remove_gauge(std::string_view series)
{
    const std::lock_guard lock(this->mutex);
    if (const auto found = this->gauges.find(series); found != this->gauges.end())
        this->gauges.erase(found);
}

void metrics::observe_ms(std::string_view name, double value_ms)
{
    const std::lock_guard lock(this->mutex);
    auto found = this->latencies.find(name);
    if (found == this->latencies.end()) {
        latency fresh{boost::histogram::make_histogram(axis(latency_bin_count, lowest_ms, highest_ms)), 0, 0};
        found = this->latencies.emplace(std::string(name), std::move(fresh)).first;
    }
    found->second.bins(value_ms);
    found->second.sum_ms += value_ms;
    ++found->second.count;
}

std::uint64_t metrics::read_count(std::string_view series) const
{
    const std::lock_guard lock(this->mutex);
    const auto found = this->counters.find(series);
    return found == this->counters.end() ? 0 : found->second;
}

std::string metrics::format() const
{
    const std::lock_guard lock(this->mutex);
    std::ostringstream text;
    for (const auto& [series, value] : this->counters)
        text << series << ' ' << value << '\n';
    for (const auto& [series, value] : this->gauges)
        text << series << ' ' << value << '\n';
    for (const auto& [name, entry] : this->latencies) {
        const auto& bin_axis = entry.bins.axis();
        double cumulative = entry.bins.at(-1);
        for (int bin = 0; bin < bin_axis.size(); ++bin) {
            cumulative += entry.bins.at(bin);
            text << name << "_bucket{le=\"" << bin_axis.bin(bin).upper() << "\"} " << cumulative << '\n';
        }
        text << name << "_bucket{le=\"+Inf\"} " << entry.count << '\n';
        text << name << "_sum " << entry.sum_ms << '\n';
        text << name << "_count " << entry.count << '\n';
    }
    text << "wigeon_metric_series_dropped_total " << this->dropped_series << '\n';
    return text.str();
}

metrics& process_metrics()
{
    static metrics instance;
    return instance;
}

void count_refusal(std::string_view reason)
{
    process_metrics().count("wigeon_refusals_total{reason=\"" + std::string(reason) + "\"}");
}

void count_retry(std::string_view reason)
{
    process_metrics().count("wigeon_retries_total{reason=\"" + std::string(reason) + "\"}");
}

} // namespace wigeon
