// The holder's side of shared renewals, with a standby that is a function of the test.

#include "scheduling/renewal_relay.h"

#include <condition_variable>

#include <boost/test/unit_test.hpp>

namespace wigeon::test {

namespace {

class unused_worker_service : public worker_service {
public:
    worker_answer send(const std::string& /*address*/, const WorkerOrders& /*orders*/) override { return {}; }
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
    bool may_go_on = false;
    const auto hang = [&](const std::string&, const RenewalQuestion&) -> std::optional<RenewalAnswer> {
        std::unique_lock lock(mutex);
        changed.wait(lock, [&] { return may_go_on; });
        return std::nullopt;
    };
    worker_pool results(1, [] { return std::make_unique<unused_worker_service>(); });
    renewal_relay relay(hang, results);
    BOOST_TEST(relay.may_ask("standby", read_steady_clock()));
    relay.send("standby", make_messages());
    BOOST_TEST(!relay.may_ask("standby", read_steady_clock()));
    BOOST_TEST(relay.may_ask("other", read_steady_clock()));
    {
        const std::lock_guard lock(mutex);
        may_go_on = true;
    }
    changed.notify_all();
    const auto result = results.receive(milliseconds(10'000));
    BOOST_REQUIRE(result.has_value());
    BOOST_TEST(result->is_dropped);
    relay.stop();
    // The question is settled, and the standby is shunned for a while.
    const steady_time settled = read_steady_clock();
    BOOST_TEST(!relay.may_ask("standby", settled));
    BOOST_TEST(relay.may_ask("standby", settled + std::chrono::hours(1)));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace wigeon::test
