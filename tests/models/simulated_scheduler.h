// A scheduler in simulated time: many readers and writers run in one process, and seconds pass in milliseconds.

#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <random>
#include <utility>

#include "base/event_scheduler.h"

namespace wigeon {

class simulated_scheduler : public event_scheduler {
public:
    explicit simulated_scheduler(std::uint64_t seed) : random(seed) {}

    [[nodiscard]] boot_time now() const override { return this->time; }

    void call_after(milliseconds delay, std::function<void()> action) override
    {
        this->calls.emplace(std::pair(this->time + delay, ++this->call_count), std::move(action));
    }

    double draw_fraction() override { return std::uniform_real_distribution<double>(0, 1)(this->random); }

    // Makes all calls that are due within `duration`, in the order of their times.
    void run_for(milliseconds duration)
    {
        const boot_time end = this->time + duration;
        while (!this->calls.empty() && this->calls.begin()->first.first <= end) {
            auto next = this->calls.extract(this->calls.begin());
            this->time = std::max(this->time, next.key().first);
            next.mapped()();
        }
        this->time = end;
    }

private:
    boot_time time{milliseconds(1'000'000)};
    std::uint64_t call_count = 0;
    std::map<std::pair<boot_time, std::uint64_t>, std::function<void()>> calls; // By time, then in the order of calls.
    std::mt19937_64 random;
};

} // namespace wigeon
