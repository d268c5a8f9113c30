// Requests while executors and entries leave, requests beyond the capacity of the executors, and malformed requests.

#include <atomic>
#include <csignal>
#include <sstream>
#include <thread>

#include <boost/test/unit_test.hpp>

#include "support/callers.h"
#include "support/cluster.h"

namespace wigeon::test {

BOOST_AUTO_TEST_SUITE(requests_story)

BOOST_AUTO_TEST_SUITE(leaving)

BOOST_AUTO_TEST_CASE(an_executor_gets_no_new_work_after_a_few_seconds)
{
    cluster system({.executors = 2});
    system.publish(system.make_configuration());
    reply_collector collector;
    run_callers(system, collector, 4, 20, "/run/1");
    BOOST_TEST(system.count_received(0) > 0);
    system.set_host_leaving("e0", true);
    std::this_thread::sleep_for(milliseconds(5'000));
    const int before = system.count_received(0);
    run_callers(system, collector, 4, 40, "/run/1");
    BOOST_TEST(system.count_received(0) == before);
}

BOOST_AUTO_TEST_CASE(an_entry_finishes_its_requests_in_flight)
{
    cluster system({.executors = 2});
    system.publish(system.make_configuration());
    reply_collector collector;
    std::vector<std::thread> threads;
    for (int i = 0; i < 4; ++i) {
        threads.emplace_back([&, i] {
            const std::string id = "slow-" + std::to_string(i);
            collector.record(id, system.request(0, id, "/run/4000"));
        });
    }
    cluster::wait_until([&] { return system.read_request_runs().size() == 4; }, milliseconds(5'000), "the requests");
    system.entry(0).signal(SIGTERM);
    BOOST_TEST(system.entry(0).wait() == 0);
    for (std::thread& thread : threads)
        thread.join();
    BOOST_TEST(count_status(collector, 200) == 4);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(overload)

BOOST_AUTO_TEST_CASE(by_one_account_leaves_another_its_share)
{
    cluster system({.executors = 1, .slots = 8});
    system.publish(system.make_configuration());
    std::atomic<bool> is_done = false;
    std::vector<std::thread> flood;
    for (int i = 0; i < 40; ++i) {
        flood.emplace_back([&, i] {
            for (int j = 0; !is_done; ++j)
                system.request(i % 2, "f" + std::to_string(i) + "-" + std::to_string(j), "/run/50",
                               {{"Wigeon-Account", "large"}, {"Wigeon-Class", "urgent"}});
        });
    }
    std::this_thread::sleep_for(milliseconds(500));
    reply_collector collector;
    run_callers(system, collector, 2, 30, "/run/50", {{"Wigeon-Deadline-Ms", "2000"}});
    is_done = true;
    for (std::thread& thread : flood)
        thread.join();
    BOOST_TEST(count_status(collector, 200) == 60);
}

// The entries' shares of an executor's slots must never add up to more than its slots, also while entries crash and
// restart.
BOOST_AUTO_TEST_CASE(never_exceeds_the_slots_while_entries_die_and_join)
{
    constexpr int slots = 8;
    cluster system({.entries = 3, .executors = 2, .slots = slots});
    system.publish(system.make_configuration());
    std::atomic<bool> is_done = false;
    std::atomic<int> served = 0;
    std::vector<std::thread> callers;
    for (int i = 0; i < 36; ++i) {
        callers.emplace_back([&, i] {
            for (int j = 0; !is_done; ++j) {
                const std::string id = "o" + std::to_string(i) + "-" + std::to_string(j);
                if (system.request(i % 3, id, "/run/200", {{"Wigeon-Deadline-Ms", "2000"}}).status == 200)
                    ++served;
                else
                    std::this_thread::sleep_for(milliseconds(50));
            }
        });
    }
    for (int round = 0; round < 2; ++round) {
        std::this_thread::sleep_for(milliseconds(1'000));
        system.entry(round).kill();
        // This is longer than the other entries take to detect the loss and to take over the lost entry's share.
        std::this_thread::sleep_for(milliseconds(4'500));
        system.start_entry(round);
        std::this_thread::sleep_for(milliseconds(4'000));
    }
    is_done = true;
    for (std::thread& thread : callers)
        thread.join();
    std::istringstream text(system.read_executor_loads());
    int executors = 0;
    for (int in_use = 0, max_in_use = 0, over_limit_count = 0, received_count = 0;
         text >> in_use >> max_in_use >> over_limit_count >> received_count; ++executors) {
        BOOST_TEST(max_in_use <= slots);
        BOOST_TEST(over_limit_count == 0);
    }
    BOOST_TEST(executors == 2);
    BOOST_TEST(served > 400);
}

BOOST_AUTO_TEST_CASE(is_not_multiplied_by_retries)
{
    cluster system({.entries = 1, .executors = 2});
    system.publish(system.make_configuration());
    system.control_executor("all", "refuse=1");
    reply_collector collector;
    std::vector<std::thread> threads;
    for (int i = 0; i < 4; ++i) {
        threads.emplace_back([&, i] {
            for (int j = 0; j < 100; ++j) {
                const std::string id = "s" + std::to_string(i) + "-" + std::to_string(j);
                collector.record(id, system.request(0, id, "/run/1",
                                                    {{"Wigeon-Idempotent", "true"}, {"Wigeon-Deadline-Ms", "300"}}));
            }
        });
    }
    for (std::thread& thread : threads)
        thread.join();
    int received = 0;
    std::istringstream text(system.read_executor_loads());
    for (int in_use = 0, max_in_use = 0, over_limit_count = 0, received_count = 0;
         text >> in_use >> max_in_use >> over_limit_count >> received_count;)
        received += received_count;
    // At most 1.1 times the callers' 400 requests, and the two retries that the budget of an idle entry holds.
    BOOST_TEST(received <= 442);
    BOOST_TEST(received > 0);
    BOOST_TEST(count_status(collector, 200) == 0);
    system.control_executor("all", "refuse=0");
    cluster::wait_until([&] { return system.request(0, "recovered", "/run/1").status == 200; }, milliseconds(5'000),
                        "the recovery");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(malformed_input)

BOOST_AUTO_TEST_CASE(is_refused_with_the_field_named)
{
    cluster system({.entries = 1, .schedulers = 1});
    system.publish(system.make_configuration());
    const auto submit = [&](const std::string& body) { return system.post(0, "/v1/jobs", body); };
    const auto check_refused = [](const http_reply& reply, int status, const std::string& expected_text) {
        BOOST_TEST(reply.status == status, reply.body);
        BOOST_TEST(reply.body.find(expected_text) != std::string::npos, reply.body);
    };
    check_refused(submit("{"), 400, "malformed_request");
    check_refused(submit(R"({"surprise": 1})"), 400, "surprise");
    check_refused(submit(R"({"account": "small", "job_class": "batch", "tasks": -2})"), 400, "tasks");
    check_refused(submit(R"({"account": "small", "job_class": "batch", "key": "k"})"), 400, "tasks");
    check_refused(submit(R"({"account": "nobody", "job_class": "batch", "tasks": 1})"), 403, "nobody");
    check_refused(submit(R"({"account": "small", "job_class": "none", "tasks": 1})"), 400, "job_class");
    check_refused(submit(R"({"account": "small", "job_class": "batch", "tasks": 99, "accelerators_per_task": 8})"), 422,
                  "largest gang of this shape is 4");
    check_refused(submit(std::string(2'000'000, 'x')), 413, "body_too_large");
    check_refused(system.request(0, "x", "/run/1", {{"Wigeon-Deadline-Ms", "soon"}}), 400, "Wigeon-Deadline-Ms");
    check_refused(system.request(0, "x", "/run/1", {{"Wigeon-Class", "none"}}), 400, "Wigeon-Class");
    check_refused(system.request(0, "x", "/run/1", {{"Wigeon-Idempotent", "maybe"}}), 400, "Wigeon-Idempotent");
    check_refused(system.request(0, "x", "/run/1", {{"Idempotency-Key", std::string(200, 'k')}}), 400,
                  "Idempotency-Key");
    BOOST_TEST(system.request(0, "x", "/run/1", {{"X-Large", std::string(20'000, 'h')}}).status >= 400);
    BOOST_TEST(system.request(0, "fine", "/run/1").status == 200);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

} // namespace wigeon::test
