// Tasks that use more than their share of a worker.

#include "scheduling/task_usage.h"

#include "scheduling/gang_decisions.h"
#include "scheduling/gang_driver.h"
#include "support/property.h"

namespace wigeon::test {

namespace {

const steady_time start{std::chrono::hours(1)};

// Two jobs, each with four of the eight accelerators of one worker, so that its share is 64 cores and 128 GB.
replicated_state make_state(JobState job_state = JOB_RUNNING)
{
    SystemState state;
    state.set_term(1);
    Worker& worker = *state.mutable_configuration()->add_workers();
    worker.set_id("w0");
    worker.set_accelerators(8);
    worker.set_cores(128);
    worker.set_memory_gigabytes(256);
    for (const char* id : {"a/greedy", "a/modest"}) {
        Job& job = *state.add_jobs();
        job.set_id(id);
        job.mutable_request()->set_tasks(1);
        job.mutable_request()->set_accelerators_per_task(4);
        job.set_attempt(1);
        job.set_state(job_state);
        job.add_placements()->set_worker("w0");
        job.mutable_placements(0)->set_accelerators(4);
    }
    return replicated_state(state);
}

struct usage {
    std::uint32_t cores = 0;
    std::uint32_t memory = 0;
};

// A gang_driver after the worker reported the usage of both jobs in its responses to renewals.
class used_worker {
public:
    explicit used_worker(usage greedy, usage modest) : driver(gang_options{})
    {
        this->driver.begin_term(1);
        for (int i = 0; i < 2; ++i) {
            this->now += milliseconds(20'000);
            for (const worker_message& message : this->driver.make_orders(this->state, this->now, true))
                this->respond(message.orders, greedy, modest);
        }
    }

    std::map<std::string, std::uint32_t> read_limits()
    {
        std::map<std::string, std::uint32_t> limits;
        for (const worker_message& message :
             this->driver.make_orders(this->state, this->now + milliseconds(20'000), true)) {
            for (const TaskOrder& order : message.orders.orders())
                limits[order.job()] = order.cores_limit();
        }
        return limits;
    }

    std::vector<Decision> decide() { return this->driver.make_decisions(this->state, this->now); }

private:
    void respond(const WorkerOrders& orders, usage greedy, usage modest)
    {
        worker_response response;
        response.outcome = call_outcome::answered;
        response.reports.set_worker("w0");
        response.reports.set_clock_ms(1'000);
        response.reports.set_used_memory_gigabytes(greedy.memory + modest.memory);
        for (const TaskOrder& order : orders.orders()) {
            const usage used = order.job() == "a/greedy" ? greedy : modest;
            TaskReport& report = *response.reports.add_reports();
            report.set_job(order.job());
            report.set_attempt(order.attempt());
            report.set_state(TASK_RUNNING);
            report.set_used_cores(used.cores);
            report.set_used_memory_gigabytes(used.memory);
        }
        this->driver.handle_response(orders, response, this->now, this->now);
    }

    const replicated_state state = make_state();
    gang_driver driver;
    steady_time now = start;
};

} // namespace

BOOST_AUTO_TEST_SUITE(usage_story)

BOOST_AUTO_TEST_SUITE(a_task_beyond_its_cores)

BOOST_AUTO_TEST_CASE(is_throttled_to_its_part_and_its_neighbour_is_not)
{
    used_worker worker({100, 10}, {64, 10});
    std::map<std::string, std::uint32_t> limits = worker.read_limits();
    BOOST_TEST(limits.size() == 2U);
    BOOST_TEST(limits["a/greedy"] == 64U);
    BOOST_TEST(limits["a/modest"] == 0U);
    BOOST_TEST(worker.decide().empty());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_task_beyond_its_memory)

BOOST_AUTO_TEST_CASE(is_stopped_only_when_the_worker_is_full)
{
    BOOST_TEST(used_worker({1, 200}, {1, 56}).decide().empty());
    const std::vector<Decision> decisions = used_worker({1, 200}, {1, 57}).decide();
    BOOST_REQUIRE(decisions.size() == 1U);
    BOOST_TEST(decisions.front().stop().job() == "a/greedy");
    BOOST_TEST(decisions.front().stop().used_memory_gigabytes() == 200U);
}

BOOST_AUTO_TEST_CASE(is_the_one_furthest_beyond_its_part_whatever_the_usage)
{
    check_property("the task with the largest excess is evicted, and none within its share", [] {
        WorkerReports reports;
        std::uint32_t sum = 0;
        const int tasks = *rc::gen::inRange(1, 9);
        for (int i = 0; i < tasks; ++i) {
            TaskReport& report = *reports.add_reports();
            report.set_state(*rc::gen::inRange(0, 4) == 0 ? TASK_FINISHED : TASK_RUNNING);
            report.set_used_memory_gigabytes(*rc::gen::inRange<std::uint32_t>(0, 100));
            sum += report.used_memory_gigabytes();
        }
        reports.set_used_memory_gigabytes(sum);
        const resource_share share{16, 32, 256};
        const TaskReport* found = find_eviction_candidate(reports, [&](const TaskReport&) { return share; });
        std::uint32_t largest = 0;
        for (const TaskReport& report : reports.reports()) {
            if (report.state() == TASK_RUNNING)
                largest = std::max(largest, report.used_memory_gigabytes());
        }
        const bool must_evict = sum > 256 && largest > 32;
        RC_ASSERT((found != nullptr) == must_evict);
        if (found != nullptr)
            RC_ASSERT(found->used_memory_gigabytes() == largest);
    });
}

BOOST_AUTO_TEST_CASE(ends_with_its_job_when_no_worker_can_hold_it)
{
    const replicated_state state = make_state();
    Job job = *state.find_job("a/greedy");
    job.set_reason("outgrew its memory: a task used 300 GB on a full worker");
    Decision requeue;
    requeue.mutable_requeue()->set_job(job.id());
    job.mutable_request()->set_memory_gigabytes_per_task(200);
    BOOST_TEST(end_if_oversized(requeue, job, state.configuration()).has_requeue());
    job.mutable_request()->set_memory_gigabytes_per_task(300);
    BOOST_TEST(end_if_oversized(requeue, job, state.configuration()).end().state() == JOB_FAILED);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

} // namespace wigeon::test
