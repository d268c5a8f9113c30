// Jobs with real schedulers and stand-in workers behind the fault-injecting proxy. The workers record when each task
// ran; the checks use these records.

#include <algorithm>
#include <csignal>
#include <random>
#include <set>
#include <thread>

#include <boost/test/unit_test.hpp>

#include "base/json.h"
#include "state/job_rules.h"
#include "support/cluster.h"
#include "support/gangs.h"
#include "support/timing.h"

namespace wigeon::test {

BOOST_AUTO_TEST_SUITE(jobs_story)

BOOST_AUTO_TEST_SUITE(an_account_with_a_guarantee)

BOOST_AUTO_TEST_CASE(gets_it_back_within_the_urgent_bound_when_others_borrow_everything)
{
    cluster system({.workers = 8, .scheduler_flags = short_lease_flags});
    system.publish(with_guarantee(system.make_configuration(), "small", 2));
    for (int i = 0; i < 4; ++i)
        system.submit(0, make_gang("large", "borrow" + std::to_string(i), 2, 60'000));
    for (int i = 0; i < 4; ++i)
        wait_for_state(system, "large/borrow" + std::to_string(i), JOB_RUNNING, milliseconds(10'000));
    // The borrowers' checkpoints take 60 s, far longer than --checkpoint_limit_ms.
    for (int i = 0; i < 8; ++i)
        system.control_worker(i, "checkpoint_ms=60000");
    const steady_time begin = read_steady_clock();
    for (int i = 0; i < 2; ++i)
        system.submit(1, make_gang("small", "asked" + std::to_string(i), 2, 500, "urgent"));
    for (int i = 0; i < 2; ++i)
        cluster::wait_until([&] { return system.read_job(0, "small/asked" + std::to_string(i)).running_at_ms() != 0; },
                            milliseconds(10'000), "the guaranteed job");
    const auto elapsed = elapsed_ms(begin, read_steady_clock());
    check_time(elapsed, urgent_start_limit);
    BOOST_TEST_MESSAGE("reclaim of two racks took " << elapsed.count() << " ms");
    check_gangs(system.read_task_runs(), 2);
}

BOOST_AUTO_TEST_CASE(gets_it_back_though_the_answers_of_the_workers_are_lost)
{
    cluster system({.workers = 4, .scheduler_flags = short_lease_flags});
    system.publish(with_guarantee(system.make_configuration(), "small", 1));
    for (int i = 0; i < 2; ++i)
        system.submit(0, make_gang("large", "borrow" + std::to_string(i), 2, 60'000));
    for (int i = 0; i < 2; ++i)
        wait_for_state(system, "large/borrow" + std::to_string(i), JOB_RUNNING, milliseconds(10'000));
    system.set_fault("all:worker", "drop_answer");
    const steady_time begin = read_steady_clock();
    system.submit(0, make_gang("small", "asked", 2, 500, "urgent"));
    std::this_thread::sleep_for(milliseconds(700));
    system.set_fault("all:worker", "none");
    cluster::wait_until([&] { return system.read_job(0, "small/asked").running_at_ms() != 0; }, milliseconds(10'000),
                        "the guaranteed job");
    const auto elapsed = elapsed_ms(begin, read_steady_clock());
    check_time(elapsed, urgent_start_limit);
    BOOST_TEST_MESSAGE("reclaim with lost answers took " << elapsed.count() << " ms");
    wait_for_state(system, "small/asked", JOB_FINISHED, milliseconds(10'000));
    BOOST_TEST(system.read_job(0, "small/asked").attempt() == 1U);
    check_gangs(system.read_task_runs(), 2);
}

BOOST_AUTO_TEST_CASE(gets_it_back_though_the_holder_dies_at_that_moment)
{
    cluster system({.schedulers = 3, .workers = 4, .scheduler_flags = short_lease_flags});
    system.publish(with_guarantee(system.make_configuration(), "small", 1));
    for (int i = 0; i < 2; ++i)
        system.submit(0, make_gang("large", "borrow" + std::to_string(i), 2, 60'000));
    for (int i = 0; i < 2; ++i)
        wait_for_state(system, "large/borrow" + std::to_string(i), JOB_RUNNING, milliseconds(10'000));
    const steady_time begin = read_steady_clock();
    system.scheduler(system.find_holder()).kill();
    system.submit(0, make_gang("small", "asked", 2, 500, "urgent"));
    cluster::wait_until([&] { return system.read_job(0, "small/asked").running_at_ms() != 0; }, milliseconds(10'000),
                        "the guaranteed job");
    const auto elapsed = elapsed_ms(begin, read_steady_clock());
    check_time(elapsed, urgent_start_limit);
    BOOST_TEST_MESSAGE("reclaim after a crash of the holder took " << elapsed.count() << " ms");
    check_gangs(system.read_task_runs(), 2);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_gang)

BOOST_AUTO_TEST_CASE(never_runs_partially_and_ends_exactly_once_through_deaths_and_cuts)
{
    cluster system({.schedulers = 3, .workers = 8, .scheduler_flags = short_lease_flags});
    system.publish(system.make_configuration());
    std::vector<std::string> ids;
    for (int i = 0; i < 24; ++i)
        ids.push_back(system.submit(i % 2, make_gang(i % 2 == 0 ? "large" : "small", "g" + std::to_string(i), 2, 700)));
    std::mt19937 random(20261204);
    const auto all_ended = [&] {
        return std::all_of(ids.begin(), ids.end(),
                           [&](const std::string& id) { return is_ended(system.read_job(0, id).state()); });
    };
    const std::vector<std::string> faults = {"cut", "drop_answer", "freeze", "refuse", "freeze_answers"};
    for (int i = 0; i < 30 && !all_ended(); ++i) {
        const std::string worker = "worker" + std::to_string(random() % 8);
        switch (random() % 4) {
        case 0:
            system.control_worker(static_cast<int>(random() % 8), "restart=1");
            break;
        case 1:
            if (const int holder = system.find_holder(); holder >= 0) {
                system.scheduler(holder).kill();
                system.start_scheduler(holder);
            }
            break;
        default:
            system.set_fault(worker, faults[random() % faults.size()]);
            std::this_thread::sleep_for(milliseconds(300));
            system.set_fault(worker, "none");
        }
        std::this_thread::sleep_for(milliseconds(200));
    }
    cluster::wait_until(all_ended, milliseconds(60'000), "all gangs to end");
    for (const std::string& id : ids)
        BOOST_TEST(system.read_job(0, id).state() == JOB_FINISHED, id << ": " << system.read_job(0, id).reason());
    const std::uint64_t longest_ms = check_gangs(system.read_task_runs(), 2);
    BOOST_TEST_MESSAGE("longest partial run: " << longest_ms << " ms, limit " << max_partial_run_ms << " ms");
}

BOOST_AUTO_TEST_CASE(is_not_started_anew_while_a_worker_out_of_reach_may_still_run_it)
{
    cluster system({.workers = 4, .scheduler_flags = make_scheduler_flags(3'000)});
    system.publish(system.make_configuration());
    system.submit(0, make_gang("large", "long", 2, 6'000));
    wait_for_state(system, "large/long", JOB_RUNNING, milliseconds(10'000));
    const Job running = system.read_job(0, "large/long");
    system.set_fault("worker" + running.placements(0).worker().substr(1), "refuse");
    // The loss of the other task makes the scheduler stop the gang, while the task out of reach still runs.
    system.control_worker(std::stoi(running.placements(1).worker().substr(1)), "restart=1");
    wait_for_state(system, "large/long", JOB_FINISHED, milliseconds(30'000));
    BOOST_TEST(system.read_job(0, "large/long").attempt() == 2U);
    check_gangs(system.read_task_runs(), 2);
}

BOOST_AUTO_TEST_CASE(goes_on_under_a_paused_holder_and_its_successor)
{
    cluster system({.schedulers = 3, .workers = 4, .scheduler_flags = long_lease_flags});
    system.publish(system.make_configuration());
    system.submit(0, make_gang("large", "long", 2, 9'000));
    wait_for_state(system, "large/long", JOB_RUNNING, milliseconds(10'000));
    const int paused = system.find_holder();
    system.scheduler(paused).signal(SIGSTOP);
    cluster::wait_until(
        [&] {
            const int holder = system.find_holder();
            return holder >= 0 && holder != paused;
        },
        milliseconds(10'000), "a successor");
    system.submit(0, make_gang("small", "next", 2, 2'000));
    wait_for_state(system, "small/next", JOB_RUNNING, milliseconds(10'000));
    system.scheduler(paused).signal(SIGCONT);
    wait_for_state(system, "small/next", JOB_FINISHED, milliseconds(10'000));
    wait_for_state(system, "large/long", JOB_FINISHED, milliseconds(20'000));
    BOOST_TEST(system.read_job(0, "large/long").attempt() == 1U);
    BOOST_TEST(system.read_job(0, "small/next").attempt() == 1U);
    BOOST_TEST(system.status(paused, "is_holder") == "false");
    check_gangs(system.read_task_runs(), 2);
}

BOOST_AUTO_TEST_CASE(runs_on_through_an_outage_of_the_log)
{
    cluster system({.workers = 4, .scheduler_flags = short_lease_flags});
    system.publish(system.make_configuration());
    system.submit(0, make_gang("large", "long", 2, 12'000));
    wait_for_state(system, "large/long", JOB_RUNNING, milliseconds(10'000));
    // The outage of the log is longer than several task leases.
    system.control_platform("down=1");
    std::this_thread::sleep_for(milliseconds(8'000));
    const http_reply refused = system.post(0, "/v1/jobs", format_json(make_gang("small", "blocked", 1, 100)));
    BOOST_TEST(refused.status >= 500);
    system.control_platform("down=0");
    wait_for_state(system, "large/long", JOB_FINISHED, milliseconds(20'000));
    BOOST_TEST(system.read_job(0, "large/long").attempt() == 1U);
    check_gangs(system.read_task_runs(), 2);
}

BOOST_AUTO_TEST_CASE(starts_on_a_log_that_takes_seconds_for_each_read)
{
    cluster system({.workers = 4, .scheduler_flags = short_lease_flags});
    system.publish(system.make_configuration());
    system.control_platform("slow_read_ms=2000");
    std::this_thread::sleep_for(milliseconds(4'000));
    system.submit(0, make_gang("large", "slow", 2, 500));
    wait_for_state(system, "large/slow", JOB_FINISHED, milliseconds(60'000));
    check_gangs(system.read_task_runs(), 2);
}

BOOST_AUTO_TEST_CASE(starts_on_a_log_that_takes_seconds_for_each_append)
{
    cluster system({.workers = 4, .scheduler_flags = short_lease_flags});
    system.publish(system.make_configuration());
    system.control_platform("slow_ms=2000");
    const std::string term = system.status(0, "term");
    system.submit(0, make_gang("large", "slow", 2, 500));
    wait_for_state(system, "large/slow", JOB_FINISHED, milliseconds(60'000));
    BOOST_TEST(std::stoull(system.status(0, "term")) <= std::stoull(term) + 1);
    check_gangs(system.read_task_runs(), 2);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_job)

BOOST_AUTO_TEST_CASE(submitted_twice_runs_once_and_ends_once)
{
    cluster system({.workers = 2, .scheduler_flags = short_lease_flags});
    system.publish(system.make_configuration());
    system.control_platform("drop_answers=2");
    for (int i = 0; i < 4; ++i)
        system.submit(i % 2, make_gang("small", "once", 2, 100));
    wait_for_state(system, "small/once", JOB_FINISHED, milliseconds(15'000));
    BOOST_TEST(system.read_task_runs().size() == 2U);
}

BOOST_AUTO_TEST_CASE(is_answered_in_time_though_the_responses_of_the_log_are_lost)
{
    cluster system({.entries = 1, .workers = 2, .scheduler_flags = short_lease_flags});
    system.publish(system.make_configuration());
    system.set_fault("log:entry0", "drop_answer");
    constexpr int count = 12;
    std::vector<http_reply> replies(count);
    std::vector<std::thread> threads;
    const steady_time begin = read_steady_clock();
    for (int i = 0; i < count; ++i) {
        threads.emplace_back([&, i] {
            std::this_thread::sleep_for(milliseconds(100 * i));
            replies[static_cast<std::size_t>(i)] =
                system.post(0, "/v1/jobs", format_json(make_gang("small", "s" + std::to_string(i), 1, 50)), {},
                            milliseconds(20'000));
        });
    }
    for (std::thread& thread : threads)
        thread.join();
    BOOST_TEST_MESSAGE("the last response arrived after " << elapsed_ms(begin, read_steady_clock()).count() << " ms");
    system.set_fault("log:entry0", "none");
    // A job that was refused with log_unavailable must not exist. After another response the job may exist; the
    // caller can query its state.
    run_barrier_job(system);
    for (int i = 0; i < count; ++i) {
        const http_reply& reply = replies[static_cast<std::size_t>(i)];
        BOOST_TEST(reply.status != 0, "s" << i << " got no answer");
        const bool is_refused = reply.body.find("log_unavailable") != std::string::npos;
        if (is_refused)
            BOOST_TEST(system.read_job(0, "small/s" + std::to_string(i)).state() == JOB_UNKNOWN);
    }
}

BOOST_AUTO_TEST_CASE(that_is_cancelled_in_bulk_ends_without_a_start)
{
    cluster system({.workers = 2, .scheduler_flags = short_lease_flags});
    system.publish(system.make_configuration());
    system.submit(0, make_gang("small", "blocker", 2, 30'000));
    wait_for_state(system, "small/blocker", JOB_RUNNING, milliseconds(10'000));
    constexpr int job_count = 1'000;
    constexpr int submitters = 8;
    std::vector<std::thread> threads;
    for (int s = 0; s < submitters; ++s) {
        threads.emplace_back([&, s] {
            for (int i = s; i < job_count; i += submitters)
                system.submit(i % 2, make_gang("small", "w" + std::to_string(i), 2, 100));
        });
    }
    for (std::thread& thread : threads)
        thread.join();
    CancelJobs cancellation;
    for (int i = 0; i < job_count; ++i)
        cancellation.add_jobs("small/w" + std::to_string(i));
    const steady_time begin = read_steady_clock();
    BOOST_TEST(system.post(1, "/v1/jobs/cancel", format_json(cancellation)).status == 202);
    BOOST_TEST(system.post(0, "/v1/jobs/cancel", R"({"jobs": ["small/blocker"]})").status == 202);
    wait_for_state(system, "small/blocker", JOB_CANCELLED, milliseconds(10'000));
    for (const std::string& id : cancellation.jobs())
        wait_for_state(system, id, JOB_CANCELLED, milliseconds(10'000));
    BOOST_TEST_MESSAGE("1,000 jobs were read back as cancelled after " << elapsed_ms(begin, read_steady_clock()).count()
                                                                       << " ms");
    BOOST_TEST(system.read_task_runs().size() == 2U);
}

BOOST_AUTO_TEST_CASE(that_uses_far_more_than_declared_is_throttled_or_placed_anew_and_harms_no_neighbour)
{
    // Each worker has 8 accelerators, 130 cores and 250 GB; each job gets half of a worker.
    cluster system({.workers = 2, .scheduler_flags = short_lease_flags});
    system.publish(system.make_configuration());
    const auto submit = [&](const std::string& key, const std::string& command) {
        JobRequest job = make_gang("small", key, 1, 0);
        job.set_accelerators_per_task(4);
        job.set_memory_gigabytes_per_task(20);
        job.set_command(command);
        return system.submit(0, job);
    };
    const std::string busy = submit("busy", "run 6000 cores 120 memory 60");
    wait_for_state(system, busy, JOB_RUNNING, milliseconds(10'000));
    const std::string greedy = submit("greedy", "run 4000 cores 10 memory 200");
    wait_for_state(system, busy, JOB_FINISHED, milliseconds(20'000));
    wait_for_state(system, greedy, JOB_FINISHED, milliseconds(20'000));
    BOOST_TEST(system.read_job(0, busy).attempt() == 1U);
    BOOST_TEST(system.read_job(0, greedy).attempt() == 2U);
    BOOST_TEST(system.read_job(0, greedy).request().memory_gigabytes_per_task() == 200U);
    // A resubmission of the original request still refers to the same job.
    BOOST_TEST(submit("greedy", "run 4000 cores 10 memory 200") == greedy);
    for (const task_run& run : system.read_task_runs()) {
        if (run.job == busy)
            BOOST_TEST(run.cores == 65U);
    }
    check_gangs(system.read_task_runs(), 1);
}

BOOST_AUTO_TEST_CASE(that_fails_everywhere_ends_as_failed_and_a_bad_worker_is_quarantined)
{
    cluster system({.workers = 4, .scheduler_flags = short_lease_flags});
    system.publish(system.make_configuration());
    JobRequest bad = make_gang("small", "bad", 1, 0);
    bad.set_command("fail");
    system.submit(0, bad);
    wait_for_state(system, "small/bad", JOB_FAILED, milliseconds(20'000));
    BOOST_TEST(system.read_job(0, "small/bad").reason().find("a task failed on") != std::string::npos);
    system.control_worker(0, "fail_all=1");
    int affected_jobs = 0;
    for (int i = 0; i < 20; ++i) {
        const std::string id = system.submit(0, make_gang("large", "job" + std::to_string(i), 1, 50));
        wait_for_state(system, id, JOB_FINISHED, milliseconds(20'000));
        affected_jobs += static_cast<int>(system.read_job(0, id).failed_workers_size() > 0);
    }
    BOOST_TEST(affected_jobs >= 1);
    BOOST_TEST(affected_jobs <= 3);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

} // namespace wigeon::test
