// renewal_relay with a function of the test in place of the standby.

#include "scheduling/renewal_relay.h"

#include <condition_variable>

#include <boost/test/unit_test.hpp>

namespace wigeon::test {

namespace {

class unused_worker_client : public worker_client {
public:
    worker_response send(const std::string& /*address*/, const WorkerOrders& /*orders*/) override { return {}; }
};

std::vector<worker_message> make_messages()
{
    worker_message message;
    message.orders.set_worker("w0");
    message.not_after = read_steady_clock() + std::chrono::hours(1);
    return {message};
}

} // namespace

BOOST_AUTO_TEST_SUITE(renewal_story)

BOOST_AUTO_TEST_CASE(a_standby_that_hangs_holds_one_question_and_its_workers_are_due_at_once)
{
    std::mutex mutex;
    std::condition_variable changed;
    bool may_return = false;
    const auto hang = [&](const std::string&, const RenewalQuestion&) -> std::optional<RenewalAnswer> {
        std::unique_lock lock(mutex);
        changed.wait(lock, [&] { return may_return; });
        return std::nullopt;
    };
    worker_call_pool workers(1, [] { return std::make_unique<unused_worker_client>(); });
    renewal_relay relay(hang, workers);
    BOOST_TEST(relay.may_send("standby", read_steady_clock()));
    relay.send("standby", make_messages());
    BOOST_TEST(!relay.may_send("standby", read_steady_clock()));
    BOOST_TEST(relay.may_send("other", read_steady_clock()));
    {
        const std::lock_guard lock(mutex);
        may_return = true;
    }
    changed.notify_all();
    const auto result = workers.receive(milliseconds(10'000));
    BOOST_REQUIRE(result.has_value());
    BOOST_TEST(result->is_dropped);
    relay.stop();
    // The request has ended, and the standby is in backoff.
    const steady_time settled = read_steady_clock();
    BOOST_TEST(!relay.may_send("standby", settled));
    BOOST_TEST(relay.may_send("standby", settled + std::chrono::hours(1)));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace wigeon::test
