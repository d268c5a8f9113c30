// Lease expiry as tracked by gang_driver: an order that a worker may still execute counts, not only answered ones.

#include "scheduling/gang_driver.h"

#include "support/property.h"

namespace wigeon::test {

namespace {

const steady_time start{std::chrono::hours(1)};

// One job in the given state with one task on the only worker.
replicated_state make_state(JobState job_state)
{
    SystemState state;
    state.set_term(1);
    state.mutable_configuration()->add_workers()->set_id("w0");
    Job& job = *state.add_jobs();
    job.set_id("a/j");
    job.set_attempt(1);
    job.set_state(job_state);
    job.add_placements()->set_worker("w0");
    return replicated_state(state);
}

// A response of the worker that reports all ordered tasks as running.
worker_response make_running_response(const WorkerOrders& orders)
{
    worker_response response;
    response.outcome = call_outcome::answered;
    response.reports.set_clock_ms(1'000);
    for (const TaskOrder& order : orders.orders()) {
        TaskReport& report = *response.reports.add_reports();
        report.set_job(order.job());
        report.set_attempt(order.attempt());
        report.set_task(order.task());
        report.set_state(TASK_RUNNING);
    }
    return response;
}

} // namespace

BOOST_AUTO_TEST_SUITE(gang_driver_story)

BOOST_AUTO_TEST_CASE(a_renewal_without_an_answer_counts_though_a_later_answer_came_first)
{
    const gang_options options;
    gang_driver driver(options);
    driver.begin_term(1);
    const replicated_state running = make_state(JOB_RUNNING);
    steady_time now = start;
    const auto send = [&] {
        std::vector<worker_message> messages = driver.make_orders(running, now, true);
        BOOST_REQUIRE(messages.size() == 1U);
        return messages.front().orders;
    };
    const WorkerOrders first = send();
    driver.handle_response(first, make_running_response(first), now, now);
    now += options.lease / 2;
    const WorkerOrders renewal = send();
    BOOST_REQUIRE(renewal.orders(0).action() == TASK_RENEW);
    // The worker may execute this renewal until its deadline; the caller times out earlier and asks for the state.
    const steady_time renewed_until = now + milliseconds(500) + options.call_timeout + options.lease * 51 / 50;
    driver.handle_response(renewal, {}, now, now + milliseconds(100));
    now += options.unresponsive_interval;
    const WorkerOrders state_query = send();
    driver.handle_response(state_query, make_running_response(state_query), now, now);
    // From here on the worker is unreachable.
    const replicated_state stopping = make_state(JOB_STOPPING);
    driver.make_orders(stopping, now, true);
    BOOST_TEST(driver.make_decisions(stopping, renewed_until - milliseconds(1)).empty());
    BOOST_TEST(driver.make_decisions(stopping, renewed_until + options.retry_interval * 2).size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace wigeon::test
