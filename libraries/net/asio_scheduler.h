// The scheduler of a process: real time on a Boost.Asio event loop.

#pragma once

#include <random>

#include <boost/asio/io_context.hpp>

#include "base/event_scheduler.h"

namespace wigeon {

class asio_scheduler : public event_scheduler {
public:
    explicit asio_scheduler(boost::asio::io_context& event_loop);

    [[nodiscard]] boot_time now() const override { return boot_clock::now(); }
    void call_after(milliseconds delay, std::function<void()> action) override;
    double draw_fraction() override;

private:
    boost::asio::io_context& loop;
    std::minstd_rand random; // Seeded differently in each process.
};

} // namespace wigeon
