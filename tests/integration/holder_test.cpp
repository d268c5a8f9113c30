// Jobs while the holder of the term, its standbys or a zone fail.

#include <csignal>
#include <thread>

#include <boost/test/unit_test.hpp>

#include "support/cluster.h"
#include "support/gangs.h"
#include "support/timing.h"

namespace wigeon::test {

BOOST_AUTO_TEST_SUITE(jobs_story)

BOOST_AUTO_TEST_SUITE(a_holder_of_the_term)

BOOST_AUTO_TEST_CASE(that_reaches_no_worker_is_replaced_by_one_that_does)
{
    cluster system({.schedulers = 3, .workers = 4, .scheduler_flags = long_lease_flags});
    system.publish(system.make_configuration());
    system.submit(0, make_gang("large", "long", 2, 9'000));
    wait_for_state(system, "large/long", JOB_RUNNING, milliseconds(10'000));
    const int cut_off = system.find_holder();
    system.set_fault("all:worker", "refuse", cluster::source_of_scheduler(cut_off));
    system.submit(0, make_gang("small", "next", 2, 500));
    wait_for_state(system, "small/next", JOB_FINISHED, milliseconds(20'000));
    wait_for_state(system, "large/long", JOB_FINISHED, milliseconds(20'000));
    BOOST_TEST(system.find_holder() != cut_off);
    BOOST_TEST(system.read_job(0, "large/long").attempt() == 1U);
    BOOST_TEST(system.metric("scheduler", cut_off, "wigeon_terms_given_up_total") == 1);
    check_gangs(system.read_task_runs(), 2);
}

BOOST_AUTO_TEST_CASE(that_is_cut_off_from_its_peers_only_keeps_it)
{
    cluster system({.schedulers = 3, .workers = 4, .scheduler_flags = short_lease_flags, .has_peer_proxy = true});
    system.publish(system.make_configuration());
    const int holder = system.find_holder();
    const std::string term = system.status(holder, "term");
    system.set_fault("peers:scheduler" + std::to_string(holder), "refuse");
    cluster::wait_until([&] { return system.status((holder + 1) % 3, "live_schedulers") == "2"; }, milliseconds(10'000),
                        "the other schedulers to detect the loss of the holder");
    system.submit(0, make_gang("small", "next", 2, 500));
    wait_for_state(system, "small/next", JOB_FINISHED, milliseconds(20'000));
    BOOST_TEST(system.status(holder, "is_holder") == "true");
    BOOST_TEST(system.status(holder, "term") == term);
}

BOOST_AUTO_TEST_CASE(that_is_cut_off_from_the_log_only_is_followed_and_takes_nothing_back)
{
    cluster system({.schedulers = 3, .workers = 4, .scheduler_flags = long_lease_flags});
    system.publish(system.make_configuration());
    system.submit(0, make_gang("large", "long", 2, 9'000));
    wait_for_state(system, "large/long", JOB_RUNNING, milliseconds(10'000));
    const int cut_off = system.find_holder();
    const std::string log_of_holder = "log:scheduler" + std::to_string(cut_off);
    system.set_fault(log_of_holder, "refuse");
    system.submit(0, make_gang("small", "next", 2, 500));
    wait_for_state(system, "small/next", JOB_FINISHED, milliseconds(20'000));
    const std::string successor = system.status((cut_off + 1) % 3, "holder");
    // The former holder returns as a standby.
    system.set_fault(log_of_holder, "none");
    cluster::wait_until([&] { return system.status(cut_off, "holder") == successor; }, milliseconds(10'000),
                        "the former holder to read the log again");
    BOOST_TEST(system.status(cut_off, "is_holder") == "false");
    wait_for_state(system, "large/long", JOB_FINISHED, milliseconds(20'000));
    BOOST_TEST(system.read_job(0, "large/long").attempt() == 1U);
    check_gangs(system.read_task_runs(), 2);
}

BOOST_AUTO_TEST_CASE(shares_renewals_with_the_standbys_and_outlives_their_loss)
{
    cluster system({.schedulers = 3, .workers = 8, .scheduler_flags = short_lease_flags});
    system.publish(system.make_configuration());
    std::vector<std::string> ids;
    for (int i = 0; i < 4; ++i)
        ids.push_back(system.submit(i % 2, make_gang("large", "long" + std::to_string(i), 2, 10'000)));
    for (const std::string& id : ids)
        wait_for_state(system, id, JOB_RUNNING, milliseconds(10'000));
    const int holder = system.find_holder();
    const auto count_relayed = [&] { return system.metric("scheduler", holder, "wigeon_renewals_relayed_total"); };
    cluster::wait_until([&] { return count_relayed() >= 8; }, milliseconds(10'000), "relayed renewals");
    // One standby is paused for 2.5 s, the other is killed.
    system.scheduler((holder + 1) % 3).signal(SIGSTOP);
    std::this_thread::sleep_for(milliseconds(2'500));
    system.scheduler((holder + 1) % 3).signal(SIGCONT);
    system.scheduler((holder + 2) % 3).kill();
    for (const std::string& id : ids)
        wait_for_state(system, id, JOB_FINISHED, milliseconds(20'000));
    for (const std::string& id : ids)
        BOOST_TEST(system.read_job(0, id).attempt() == 1U, id);
    BOOST_TEST(system.metric("scheduler", holder, "wigeon_retries_total{reason=\"renewal_relay_unanswered\"}") >= 1);
    check_gangs(system.read_task_runs(), 2);
}

BOOST_AUTO_TEST_CASE(asks_a_standby_again_that_was_behind_when_a_gang_began)
{
    cluster system({.schedulers = 2, .workers = 8, .scheduler_flags = short_lease_flags});
    system.publish(system.make_configuration());
    const int holder = system.find_holder();
    const std::string log_of_standby = "log:scheduler" + std::to_string(1 - holder);
    system.set_fault(log_of_standby, "refuse");
    for (int i = 0; i < 4; ++i)
        system.submit(i % 2, make_gang("large", "long" + std::to_string(i), 2, 20'000));
    const auto read_metric = [&](const std::string& series) { return system.metric("scheduler", holder, series); };
    cluster::wait_until([&] { return read_metric("wigeon_retries_total{reason=\"renewal_relay_differs\"}") >= 1; },
                        milliseconds(10'000), "a standby that is behind");
    system.set_fault(log_of_standby, "none");
    const double before = read_metric("wigeon_renewals_relayed_total");
    cluster::wait_until([&] { return read_metric("wigeon_renewals_relayed_total") >= before + 8; }, milliseconds(7'000),
                        "relayed renewals");
}

BOOST_AUTO_TEST_CASE(that_dies_together_with_a_standby_and_an_entry_is_replaced_in_time)
{
    cluster system({.schedulers = 3, .workers = 4, .scheduler_flags = long_lease_flags});
    system.publish(system.make_configuration());
    system.submit(0, make_gang("large", "long", 2, 4'000));
    wait_for_state(system, "large/long", JOB_RUNNING, milliseconds(10'000));
    const int holder = system.find_holder();
    const steady_time begin = read_steady_clock();
    system.scheduler(holder).kill();
    system.scheduler((holder + 1) % 3).kill();
    system.entry(1).kill();
    system.submit(0, make_gang("small", "asked", 2, 500, "urgent"));
    cluster::wait_until([&] { return system.read_job(0, "small/asked").running_at_ms() != 0; }, milliseconds(15'000),
                        "the urgent job");
    check_time(elapsed_ms(begin, read_steady_clock()), urgent_start_limit);
    wait_for_state(system, "large/long", JOB_FINISHED, milliseconds(20'000));
    BOOST_TEST(system.read_job(0, "large/long").attempt() == 1U);
    check_gangs(system.read_task_runs(), 2);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_zone)

// Four racks of two workers in two zones. The workers of the second zone, an executor, an entry and the holder fail
// together, as if all were in that zone.
BOOST_AUTO_TEST_CASE(that_is_lost_leaves_the_other_working_and_its_unmet_guarantees_reported)
{
    std::vector<std::string> flags = short_lease_flags;
    flags.emplace_back("--rebind_after_ms=1500");
    cluster system({.schedulers = 3, .workers = 8, .scheduler_flags = flags, .racks_per_zone = 2});
    system.publish(with_guarantee(system.make_configuration(), "small", 3));
    std::vector<std::string> ids;
    for (int i = 0; i < 4; ++i)
        ids.push_back(system.submit(0, make_gang("large", "g" + std::to_string(i), 2, 6'000)));
    for (const std::string& id : ids)
        wait_for_state(system, id, JOB_RUNNING, milliseconds(10'000));
    const int holder = system.find_holder();
    for (int i = 4; i < 8; ++i) {
        system.set_fault("worker" + std::to_string(i), "refuse");
        system.control_worker(i, "restart=1");
    }
    system.set_fault("executor1", "refuse");
    system.scheduler(holder).kill();
    system.entry(1).kill();
    // One of the three guaranteed cells no longer fits and is reported as unmet.
    const auto count_unmet = [&] {
        const int successor = system.find_holder();
        return successor < 0 ? 0
                             : system.metric("scheduler", successor, "wigeon_unmet_guarantee_cells{account=\"small\"}");
    };
    cluster::wait_until([&] { return count_unmet() == 1; }, milliseconds(20'000), "the unmet cell to be reported");
    for (int i = 0; i < 10; ++i) {
        const http_reply reply = system.request(0, "r" + std::to_string(i), "/run/1", {{"Wigeon-Idempotent", "true"}});
        BOOST_TEST(reply.status == 200, reply.body);
    }
    // The two remaining cells are reclaimed while the other account borrows them.
    for (int i = 0; i < 2; ++i)
        system.submit(0, make_gang("small", "asked" + std::to_string(i), 2, 500, "urgent"));
    for (int i = 0; i < 2; ++i)
        wait_for_state(system, "small/asked" + std::to_string(i), JOB_FINISHED, milliseconds(20'000));
    for (int i = 4; i < 8; ++i)
        system.set_fault("worker" + std::to_string(i), "none");
    for (const std::string& id : ids)
        wait_for_state(system, id, JOB_FINISHED, milliseconds(60'000));
    cluster::wait_until([&] { return count_unmet() == 0; }, milliseconds(20'000), "the cell to be bound again");
    check_gangs(system.read_task_runs(), 2);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

} // namespace wigeon::test
