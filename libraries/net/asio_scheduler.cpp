// Delayed calls on timers of the event loop.

#include "net/asio_scheduler.h"

#include <memory>
#include <utility>

#include <boost/asio/steady_timer.hpp>

namespace wigeon {

asio_scheduler::asio_scheduler(boost::asio::io_context& event_loop) : loop(event_loop), random(std::random_device{}())
{
}

void asio_scheduler::call_after(milliseconds delay, std::function<void()> action)
{
    const auto timer = std::make_shared<boost::asio::steady_timer>(this->loop, delay);
    timer->async_wait([timer, action = std::move(action)](const boost::system::error_code& reason) {
        if (!reason)
            action();
    });
}

double asio_scheduler::draw_fraction()
{
    return std::uniform_real_distribution<double>(0, 1)(this->random);
}

} // namespace wigeon
