// Queues with an advisor: which executors a request lists, and where the work is placed.

#include <algorithm>

#include <boost/test/unit_test.hpp>

#include "dispatch/dispatcher.h"

namespace wigeon {

namespace {

constexpr dispatch_limits limits{milliseconds(6'000), milliseconds(200), milliseconds(5'000)};
constexpr milliseconds validity{3'000};

// Four executors of 8 accelerators, two queues with an advisor (priorities 0 and 2), and one without.
struct advised_fixture {
    boot_time now{milliseconds(1'000'000)};
    dispatcher dispatch{limits, this->now};
    std::vector<start_order> starts; // Of the last round.

    advised_fixture()
    {
        fleet_policy policy;
        for (const std::uint32_t priority : {0U, 2U}) {
            queue_policy queue;
            queue.name = "q" + std::to_string(priority);
            queue.pool = "pool";
            queue.priority = priority;
            queue.advice = advisor_latency{milliseconds(10), milliseconds(2)};
            policy.queues.push_back(queue);
        }
        queue_policy plain;
        plain.name = "plain";
        plain.pool = "pool";
        plain.priority = 2;
        policy.queues.push_back(plain);
        policy.accounts.push_back({"account", {}, 32});
        this->dispatch.set_policy(policy);
        for (int row = 0; row < 4; ++row) {
            executor_entry entry;
            entry.id = "e" + std::to_string(row);
            entry.pool = "pool";
            entry.capacity = {64'000, 128'000, 8};
            this->dispatch.update_executor(entry, this->now);
            poll_report report;
            report.clock = milliseconds(10'000);
            this->dispatch.handle_poll_report(entry.id, report, this->now, this->now);
        }
    }

    void add(const std::string& id, const std::string& queue, std::uint32_t tasks, std::uint32_t accelerators)
    {
        records::Submission submission;
        submission.set_queue(queue);
        submission.set_account("account");
        records::Step& step = *submission.add_steps();
        step.set_count(tasks);
        step.set_accelerators(accelerators);
        step.set_estimate_ms(8'000);
        step.set_checkpointing(true);
        this->dispatch.add_job(id, submission, {}, 0, this->now);
    }

    std::optional<advice_request> decide()
    {
        this->now += milliseconds(50);
        this->dispatch.decide(0, this->now);
        this->starts = this->dispatch.confirm_changes(this->dispatch.collect_changes(), this->now);
        for (const start_order& order : this->starts)
            this->dispatch.handle_start_answer(order, start_answer::accepted, this->now);
        return this->dispatch.take_advice_request(this->now);
    }

    void allow(const advice_request& request, const std::vector<std::string>& executors)
    {
        advice_response response;
        response.valid_for = validity;
        for (const std::string& executor : executors)
            response.tickets.push_back({executor, "ticket of " + executor});
        this->dispatch.handle_advice_response(request, response, this->now, this->now);
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(advice_story)

BOOST_FIXTURE_TEST_CASE(work_waits_until_the_advisor_has_named_executors, advised_fixture)
{
    this->add("job", "q2", 3, 8);
    const auto request = this->decide();
    BOOST_REQUIRE(request.has_value());
    BOOST_TEST(request->step == "job.0.0");
    BOOST_TEST(request->executors.size() == 4U);
    BOOST_TEST(request->decision_time.count() == 18);
    BOOST_TEST(this->starts.empty());
    BOOST_TEST(!this->decide().has_value()); // One request at a time.
    this->allow(*request, {"e1", "e3"});
    BOOST_TEST(!this->decide().has_value()); // The others were denied, which is final.
    BOOST_REQUIRE(this->starts.size() == 2U);
    for (const start_order& order : this->starts) {
        BOOST_TEST((order.executor == "e1" || order.executor == "e3"));
        BOOST_TEST(order.ticket == "ticket of " + order.executor);
    }
}

BOOST_FIXTURE_TEST_CASE(queues_without_an_advisor_are_not_touched, advised_fixture)
{
    this->add("job", "q2", 1, 8);
    this->add("other", "plain", 3, 8);
    BOOST_TEST(this->decide().has_value());
    BOOST_TEST(this->starts.size() == 3U);
    BOOST_TEST(this->starts[0].ticket.empty());
}

BOOST_FIXTURE_TEST_CASE(a_ticket_that_ends_before_a_start_arrives_is_asked_for_anew, advised_fixture)
{
    this->add("job", "q2", 1, 8);
    const auto request = this->decide();
    BOOST_REQUIRE(request.has_value());
    this->allow(*request, {"e1"});
    this->now += validity - milliseconds(300);
    const auto again = this->decide();
    BOOST_TEST(this->starts.empty());
    BOOST_REQUIRE(again.has_value());
    BOOST_REQUIRE(again->executors.size() == 1U);
    BOOST_TEST(again->executors[0] == "e1");
}

BOOST_FIXTURE_TEST_CASE(a_refused_ticket_is_not_used_again, advised_fixture)
{
    this->add("job", "q2", 1, 8);
    const auto request = this->decide();
    this->allow(*request, {"e1"});
    this->dispatch.decide(0, this->now);
    const auto orders = this->dispatch.confirm_changes(this->dispatch.collect_changes(), this->now);
    BOOST_REQUIRE(orders.size() == 1U);
    this->dispatch.handle_start_answer(orders[0], start_answer::ticket_refused, this->now);
    BOOST_TEST(this->decide().has_value());
    BOOST_TEST(this->starts.empty());
}

BOOST_FIXTURE_TEST_CASE(a_question_without_an_answer_is_put_again_after_a_pause, advised_fixture)
{
    this->add("job", "q2", 1, 8);
    const auto request = this->decide();
    this->dispatch.handle_advice_response(*request, std::nullopt, this->now, this->now);
    BOOST_TEST(!this->decide().has_value());
    this->now += milliseconds(100);
    BOOST_TEST(this->decide().has_value());
}

BOOST_FIXTURE_TEST_CASE(urgent_work_may_get_the_place_of_others_on_executors_that_it_is_allowed, advised_fixture)
{
    this->add("plain", "plain", 4, 8);
    this->decide();
    BOOST_TEST(this->starts.size() == 4U);
    this->add("batch", "q2", 1, 8);
    BOOST_TEST(!this->decide().has_value()); // No executor has free accelerators to ask about.
    this->add("urgent", "q0", 1, 8);
    const auto request = this->decide();
    BOOST_REQUIRE(request.has_value());
    BOOST_TEST(request->step == "urgent.0.0");
    this->allow(*request, {"e2"});
    this->decide();
    const auto stops = this->dispatch.collect_stops(this->now);
    BOOST_REQUIRE(stops.size() == 1U);
    BOOST_TEST(stops[0].executor == "e2");
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace wigeon
