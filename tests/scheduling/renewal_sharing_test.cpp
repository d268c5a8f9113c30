// Renewals through standbys: the request to a standby expands to exactly the messages that the holder would send.

#include <set>

#include "scheduling/renewal_sharing.h"
#include "support/property.h"

namespace wigeon::test {

namespace {

// Jobs with two tasks each, job i on workers i % workers and (i + 1) % workers.
replicated_state make_running(int jobs, int workers, JobState state_of_last = JOB_RUNNING)
{
    SystemState state;
    state.set_term(4);
    for (int i = 0; i < workers; ++i)
        state.mutable_configuration()->add_workers()->set_id("w" + std::to_string(i));
    for (int i = 0; i < jobs; ++i) {
        Job& job = *state.add_jobs();
        job.set_id("a/j" + std::to_string(i));
        job.set_attempt(1);
        job.set_state(i + 1 == jobs ? state_of_last : JOB_RUNNING);
        for (int task = 0; task < 2; ++task)
            job.add_placements()->set_worker("w" + std::to_string((i + task) % workers));
    }
    return replicated_state(state);
}

// What the holder would send to the worker.
WorkerOrders make_renewal(const replicated_state& state, const std::string& worker)
{
    WorkerOrders message;
    message.set_worker(worker);
    message.set_term(state.term());
    message.set_not_after_ms(77);
    for (const auto& [id, job] : state.jobs()) {
        for (int task = 0; task < job.placements_size(); ++task) {
            if (job.placements(task).worker() != worker)
                continue;
            TaskOrder& order = *message.add_orders();
            order.set_job(id);
            order.set_attempt(job.attempt());
            order.set_task(static_cast<std::uint32_t>(task));
            order.set_action(TASK_RENEW);
            order.set_lease_ms(15'000);
        }
    }
    return message;
}

} // namespace

BOOST_AUTO_TEST_SUITE(renewal_story)

BOOST_AUTO_TEST_CASE(a_standby_sends_what_the_holder_would)
{
    const replicated_state state = make_running(9, 4);
    const std::vector<WorkerOrders> messages = {make_renewal(state, "w0"), make_renewal(state, "w3")};
    const std::vector<WorkerOrders> expanded = expand_renewals(state, make_renewal_request(messages));
    BOOST_REQUIRE(expanded.size() == 2U);
    for (std::size_t i = 0; i < expanded.size(); ++i)
        BOOST_TEST(expanded[i].SerializeAsString() == messages[i].SerializeAsString());
}

BOOST_AUTO_TEST_CASE(a_standby_that_knows_other_tasks_or_another_term_sends_nothing)
{
    const replicated_state state = make_running(5, 2);
    const std::vector<WorkerOrders> messages = {make_renewal(state, "w0"), make_renewal(state, "w1")};
    const RenewalQuestion request = make_renewal_request(messages);
    // In the standby's state the last job is being stopped, so the tasks of both its workers differ.
    for (const WorkerOrders& message : expand_renewals(make_running(5, 2, JOB_STOPPING), request))
        BOOST_TEST(message.worker().empty());
    RenewalQuestion outdated = request;
    outdated.set_term(3);
    for (const WorkerOrders& message : expand_renewals(state, outdated))
        BOOST_TEST(message.worker().empty());
}

BOOST_AUTO_TEST_CASE(a_worker_answer_survives_the_short_form)
{
    check_property("states of tasks survive the short form", [] {
        const replicated_state state = make_running(6, 1);
        const WorkerOrders message = make_renewal(state, "w0");
        worker_response response;
        response.outcome = call_outcome::answered;
        response.reports.set_clock_ms(5);
        std::map<std::string, TaskState> expected;
        for (const TaskOrder& order : message.orders()) {
            TaskReport& report = *response.reports.add_reports();
            report.set_job(order.job());
            report.set_attempt(order.attempt());
            report.set_task(order.task());
            report.set_state(static_cast<TaskState>(*rc::gen::inRange(0, 6)));
            expected[order.job() + std::to_string(order.task())] = report.state();
        }
        const worker_response read = read_renewal_report(message, make_renewal_report(state, message, response));
        RC_ASSERT(read.outcome == call_outcome::answered);
        RC_ASSERT(read.reports.clock_ms() == 5U);
        RC_ASSERT(read.reports.reports_size() == message.orders_size());
        for (const TaskReport& report : read.reports.reports())
            RC_ASSERT(report.state() == expected.at(report.job() + std::to_string(report.task())));
    });
}

BOOST_AUTO_TEST_CASE(an_answer_without_reports_does_not_count_as_renewed)
{
    const replicated_state state = make_running(2, 1);
    const WorkerOrders message = make_renewal(state, "w0");
    worker_response late;
    late.outcome = call_outcome::answered;
    BOOST_TEST(
        (read_renewal_report(message, make_renewal_report(state, message, late)).outcome == call_outcome::uncertain));
}

BOOST_AUTO_TEST_CASE(similar_worker_names_are_divided_among_all_schedulers)
{
    check_property("for any two incarnations", [](std::uint64_t holder, std::uint64_t standby) {
        RC_PRE(holder != standby);
        Configuration configuration;
        for (int i = 0; i < 50; ++i)
            configuration.add_workers()->set_id("w" + std::to_string(i));
        const standby_scheduler scheduler{standby, "standby"};
        const std::size_t assigned = assign_renewals(configuration, holder, {&scheduler, 1}).size();
        RC_ASSERT(assigned >= 10U);
        RC_ASSERT(assigned <= 40U);
    });
}

BOOST_AUTO_TEST_CASE(a_standby_is_judged_by_what_it_reached)
{
    const auto assess = [](const std::vector<RenewalOutcome>& outcomes) {
        RenewalAnswer response;
        for (const RenewalOutcome outcome : outcomes)
            response.add_reports()->set_outcome(outcome);
        return assess_standby(response, 2);
    };
    BOOST_TEST((assess_standby(std::nullopt, 2) == standby_health::unanswered));
    BOOST_TEST((assess({RENEWAL_ANSWERED}) == standby_health::unanswered));
    BOOST_TEST((assess({RENEWAL_ANSWERED, RENEWAL_NOT_SENT}) == standby_health::stale));
    BOOST_TEST((assess({RENEWAL_REFUSED, RENEWAL_UNCERTAIN}) == standby_health::cut_off));
    BOOST_TEST((assess({RENEWAL_ANSWERED, RENEWAL_UNCERTAIN}) == standby_health::healthy));
    // A standby with stale state catches up long before the backoff of an unreachable one ends.
    BOOST_TEST(find_backoff(standby_health::stale).count() <= 1'000);
    BOOST_TEST(find_backoff(standby_health::cut_off).count() >= 5'000);
}

BOOST_AUTO_TEST_CASE(workers_are_divided_evenly_and_only_those_of_a_lost_standby_change_hands)
{
    Configuration configuration;
    for (int i = 0; i < 600; ++i)
        configuration.add_workers()->set_id("w" + std::to_string(i));
    std::vector<standby_scheduler> standbys;
    for (std::uint64_t i = 1; i <= 5; ++i)
        standbys.push_back({i * 7919, "h" + std::to_string(i)});
    const renewal_assignments before = assign_renewals(configuration, 1, standbys);
    std::map<std::string, int> sizes;
    for (const auto& [worker, address] : before)
        ++sizes[address];
    sizes["holder"] = 600 - static_cast<int>(before.size());
    for (const auto& [address, size] : sizes)
        BOOST_TEST((size > 60 && size < 150), address << ": " << size);
    standbys.pop_back();
    const renewal_assignments after = assign_renewals(configuration, 1, standbys);
    for (const auto& [worker, address] : before) {
        const auto found = after.find(worker);
        BOOST_TEST((address == "h5" || (found != after.end() && found->second == address)), worker);
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace wigeon::test
