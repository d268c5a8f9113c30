// wigeon-load: an open-loop load generator. Sends requests at fixed rates, whether or not earlier ones were answered,
// and reports what callers saw. Latency counts from the time at which a request was due, so that it includes the
// queueing in a stalled system.

#include <algorithm>
#include <atomic>
#include <cstdio>
#include <iostream>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <thread>

#include <boost/histogram.hpp>
#include <httplib.h>

#include "base/bounded_ring.h"
#include "base/error_kind.h"
#include "base/json.h"
#include "base/network.h"
#include "base/settings.h"
#include "base/time.h"
#include "wigeon.pb.h"

namespace wigeon {

namespace {

using latency_axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
using latency_histogram = decltype(boost::histogram::make_histogram(latency_axis(1, 1.0, 2.0)));

// Fifty bins per decade from 0.05 ms to 500 s give quantiles with an error below 5%.
constexpr unsigned bin_count = 350;
constexpr double lowest_ms = 0.05;
constexpr double highest_ms = 500'000;
constexpr std::size_t ring_capacity = 65'536;

struct stream {
    std::string account;
    std::string job_class;
    double rate = 0; // Requests per second.
    std::string path;
};

struct stream_result {
    latency_histogram latencies = boost::histogram::make_histogram(latency_axis(bin_count, lowest_ms, highest_ms));
    std::uint64_t offered = 0;
    std::uint64_t answered = 0;                    // Status below 400.
    std::map<std::string, std::uint64_t> refusals; // By "status_" and the status, or "no_answer".
};

struct scheduled_request {
    std::size_t stream = 0;
    std::uint64_t number = 0;
    steady_time scheduled_at{};
    bool is_measured = false;
};

std::vector<stream> parse_streams(std::string_view text)
{
    std::vector<stream> streams;
    for (const std::string& item : split_list(text, ',')) {
        const std::vector<std::string> parts = split_list(item, ':');
        if (parts.size() != 4 || parts[2].find_first_not_of("0123456789.") != std::string::npos)
            throw error(error_kind::malformed_request, "streams: '" + item + "' is not account:class:rate:path");
        streams.push_back({parts[0], parts[1], std::stod(parts[2]), parts[3]});
    }
    return streams;
}

double compute_quantile(const latency_histogram& latencies, double quantile)
{
    double total = 0;
    for (const double count : boost::histogram::indexed(latencies))
        total += count;
    double cumulative = 0;
    for (const auto& bin : boost::histogram::indexed(latencies)) {
        cumulative += *bin;
        if (total > 0 && cumulative >= quantile * total)
            return bin.bin().upper();
    }
    return 0;
}

class load_generator {
public:
    explicit load_generator(const LoadSettings& settings)
        : settings(settings),
          streams(parse_streams(settings.streams())),
          entries(split_list(settings.entries(), ',')),
          results(this->streams.size())
    {
    }

    void run()
    {
        // Each stream has its own senders, so that the queue of an overloaded stream does not delay the others.
        std::vector<std::thread> senders;
        for (std::size_t i = 0; i < this->streams.size(); ++i)
            this->queues.push_back(std::make_unique<bounded_ring<scheduled_request>>(ring_capacity));
        for (std::size_t i = 0; i < this->streams.size(); ++i) {
            for (std::uint32_t j = 0; j < this->settings.threads(); ++j)
                senders.emplace_back([this, i, j] { this->run_sender(*this->queues[i], j); });
        }
        this->dispatch();
        for (const auto& ring : this->queues)
            ring->close();
        for (std::thread& sender : senders)
            sender.join();
    }

    void print() const
    {
        if (this->settings.output() == "json")
            this->print_json();
        else
            this->print_table();
    }

private:
    // Generates the Poisson arrivals of all streams in chronological order.
    void dispatch()
    {
        std::mt19937_64 random(this->settings.seed());
        const steady_time begin = read_steady_clock();
        const double end_s = this->settings.duration_s() + this->settings.warmup_s();
        std::vector<double> next_s(this->streams.size());
        const auto advance = [&](std::size_t i) {
            next_s[i] += std::exponential_distribution<double>(this->streams[i].rate)(random);
        };
        for (std::size_t i = 0; i < this->streams.size(); ++i)
            advance(i);
        for (std::uint64_t number = 0;; ++number) {
            const auto stream_index =
                static_cast<std::size_t>(std::min_element(next_s.begin(), next_s.end()) - next_s.begin());
            const double arrival_s = next_s[stream_index];
            if (arrival_s >= end_s)
                return;
            const steady_time arrival = begin + std::chrono::duration_cast<std::chrono::steady_clock::duration>(
                                                    std::chrono::duration<double>(arrival_s));
            std::this_thread::sleep_until(arrival);
            const bool is_measured = arrival_s >= this->settings.warmup_s();
            if (is_measured)
                ++this->results[stream_index].offered;
            if (!this->queues[stream_index]->try_push({stream_index, number, arrival, is_measured}))
                ++this->dropped;
            advance(stream_index);
        }
    }

    void run_sender(bounded_ring<scheduled_request>& queue, std::uint32_t sender_index)
    {
        std::map<std::size_t, std::unique_ptr<httplib::Client>> clients;
        while (true) {
            const auto request = queue.pop(milliseconds(200));
            if (!request) {
                if (queue.is_closed())
                    return;
                continue;
            }
            const std::size_t entry_index = (sender_index + request->number) % this->entries.size();
            std::unique_ptr<httplib::Client>& client = clients[entry_index];
            if (client == nullptr) {
                const host_port address = parse_address(this->entries[entry_index]);
                client = std::make_unique<httplib::Client>(address.host, address.port);
                client->set_keep_alive(true);
                client->set_tcp_nodelay(true);
                client->set_read_timeout(milliseconds(this->settings.deadline_ms() + 5'000));
            }
            this->send(*client, *request);
        }
    }

    void send(httplib::Client& client, const scheduled_request& request)
    {
        const stream& source = this->streams[request.stream];
        const httplib::Headers headers = {{"Wigeon-Account", source.account},
                                          {"Wigeon-Class", source.job_class},
                                          {"Wigeon-Deadline-Ms", std::to_string(this->settings.deadline_ms())},
                                          {"Wigeon-Idempotent", this->settings.idempotent()},
                                          {"Wigeon-Request-Id", "load-" + std::to_string(request.number)}};
        const auto response = client.Post(source.path, headers, "load", "text/plain");
        const double latency_ms =
            std::chrono::duration<double, std::milli>(read_steady_clock() - request.scheduled_at).count();
        if (!request.is_measured)
            return;
        const std::lock_guard lock(this->mutex);
        stream_result& result = this->results[request.stream];
        if (response && response->status < 400) {
            ++result.answered;
            result.latencies(latency_ms);
            return;
        }
        std::string reason = "no_answer";
        if (response)
            reason = "status_" + std::to_string(response->status);
        ++result.refusals[reason];
    }

    // Jain's fairness index: 1 when every stream has the same share of its offered requests answered.
    double compute_fairness() const
    {
        double sum = 0;
        double squares = 0;
        for (const stream_result& result : this->results) {
            const double share =
                result.offered == 0 ? 0 : static_cast<double>(result.answered) / static_cast<double>(result.offered);
            sum += share;
            squares += share * share;
        }
        return squares > 0 ? sum * sum / (static_cast<double>(this->results.size()) * squares) : 0;
    }

    void print_table() const
    {
        std::printf("%-12s %-10s %9s %9s %9s %9s %9s  %s\n", "account", "class", "offered/s", "answer/s", "share",
                    "p50 ms", "p99 ms", "refused");
        for (std::size_t i = 0; i < this->streams.size(); ++i) {
            const stream_result& result = this->results[i];
            std::string refused;
            for (const auto& [reason, count] : result.refusals)
                refused += reason + "=" + std::to_string(count) + " ";
            const double seconds = this->settings.duration_s();
            std::printf(
                "%-12s %-10s %9.1f %9.1f %9.3f %9.2f %9.2f  %s\n", this->streams[i].account.c_str(),
                this->streams[i].job_class.c_str(), static_cast<double>(result.offered) / seconds,
                static_cast<double>(result.answered) / seconds,
                static_cast<double>(result.answered) / static_cast<double>(std::max<std::uint64_t>(result.offered, 1)),
                compute_quantile(result.latencies, 0.5), compute_quantile(result.latencies, 0.99), refused.c_str());
        }
        std::printf("Jain's index of the shares: %.3f; not sent for want of a thread: %lu\n", this->compute_fairness(),
                    static_cast<unsigned long>(this->dropped));
    }

    void print_json() const
    {
        std::string rows;
        for (std::size_t i = 0; i < this->streams.size(); ++i) {
            const stream_result& result = this->results[i];
            json_object row;
            row.add("account", this->streams[i].account);
            row.add("class", this->streams[i].job_class);
            row.add("offered", result.offered);
            row.add("answered", result.answered);
            row.add("p50_us", static_cast<std::uint64_t>(compute_quantile(result.latencies, 0.5) * 1000));
            row.add("p99_us", static_cast<std::uint64_t>(compute_quantile(result.latencies, 0.99) * 1000));
            for (const auto& [reason, count] : result.refusals)
                row.add(reason, count);
            rows += (rows.empty() ? "" : ",") + row.to_string();
        }
        std::printf("{\"streams\":[%s],\"jain\":%.4f,\"unsent\":%lu}\n", rows.c_str(), this->compute_fairness(),
                    static_cast<unsigned long>(this->dropped));
    }

    const LoadSettings settings;
    const std::vector<stream> streams;
    const std::vector<std::string> entries;
    std::vector<std::unique_ptr<bounded_ring<scheduled_request>>> queues; // By stream.
    std::mutex mutex;
    std::vector<stream_result> results; // Guarded by mutex, except `offered`, which only the dispatching thread uses.
    std::uint64_t dropped = 0;
};

} // namespace

} // namespace wigeon

int main(int argc, char** argv)
{
    wigeon::LoadSettings settings;
    wigeon::load_settings("wigeon-load: open-loop load and a report of what callers saw", settings, argc, argv);
    try {
        wigeon::load_generator generator(settings);
        generator.run();
        generator.print();
        return 0;
    }
    catch (const std::exception& failure) {
        std::cerr << "wigeon-load: " << failure.what() << '\n';
        return 1;
    }
}
