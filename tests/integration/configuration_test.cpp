// Changes of the configuration with real processes: each change gets one verdict, comes into force at every process
// although the log or peers cannot be reached, and is never replaced by an older version.

#include <algorithm>
#include <array>
#include <csignal>
#include <thread>

#include <boost/test/unit_test.hpp>

#include "base/json.h"
#include "support/cluster.h"

namespace wigeon::test {

namespace {

constexpr milliseconds propagation_timeout{11'000};

std::string make_weight_patch(std::uint32_t weight)
{
    ConfigurationPatch patch;
    Account* account = patch.add_put_accounts();
    account->set_name("small");
    account->set_weight(weight);
    return format_json(patch);
}

bool is_in_force_everywhere(const cluster& system, std::uint64_t version, int entries, int schedulers)
{
    for (int i = 0; i < entries; ++i) {
        if (system.version_at("entry", i) < version)
            return false;
    }
    for (int i = 0; i < schedulers; ++i) {
        if (system.version_at("scheduler", i) < version)
            return false;
    }
    return true;
}

} // namespace

BOOST_AUTO_TEST_SUITE(configuration_story)

BOOST_AUTO_TEST_SUITE(operators)

BOOST_AUTO_TEST_CASE(who_race_get_one_acceptance_and_one_conflict)
{
    cluster system({.workers = 2, .executors = 1});
    system.publish(system.make_configuration());
    for (std::uint64_t version = 1; version <= 5; ++version) {
        std::array<command_result, 3> results;
        std::vector<std::thread> threads;
        for (std::size_t i = 0; i < results.size(); ++i) {
            threads.emplace_back([&, i] {
                results[i] =
                    system.publish_file("patch", make_weight_patch(static_cast<std::uint32_t>(i + 1)), version);
            });
        }
        for (std::thread& thread : threads)
            thread.join();
        int accepted = 0;
        for (const command_result& result : results) {
            accepted += result.exit_code == 0;
            if (result.exit_code != 0)
                BOOST_TEST(result.output.find("version_conflict") != std::string::npos, result.output);
        }
        BOOST_TEST(accepted == 1);
    }
    cluster::wait_until([&] { return is_in_force_everywhere(system, 6, 2, 2); }, propagation_timeout, "version 6");
}

BOOST_AUTO_TEST_CASE(get_one_verdict_though_the_logs_answer_is_lost)
{
    cluster system({.workers = 2, .executors = 1});
    system.publish(system.make_configuration());
    system.control_platform("drop_answers=3");
    const command_result result = system.publish_file("patch", make_weight_patch(7), 1);
    BOOST_TEST(result.exit_code == 0, result.output);
    BOOST_TEST(result.output.find(R"("version_in_force":2)") != std::string::npos, result.output);
    system.control_platform("drop_answers=0");
    std::this_thread::sleep_for(milliseconds(500));
    BOOST_TEST(system.version_at("entry", 0) == 2U);
}

BOOST_AUTO_TEST_CASE(are_told_what_is_wrong_with_a_document)
{
    cluster system({.entries = 1, .schedulers = 1, .workers = 2, .executors = 1});
    system.publish(system.make_configuration());
    const auto check_refused = [&](const std::string& json, const std::string& expected_text) {
        const command_result result = system.publish_file("patch", json, 1);
        BOOST_TEST(result.exit_code == 1, result.output);
        BOOST_TEST(result.output.find(expected_text) != std::string::npos, result.output);
    };
    check_refused(R"({"put_accounts": [{"name": "x", "weight": 0}]})", "accounts.weight");
    check_refused(R"({"put_accounts": [{"name": "a b", "weight": 1}]})", "accounts");
    check_refused(R"({"remove_workers": ["w9"]})", "w9");
    check_refused(R"({"unknown": 1})", "unknown");
    check_refused(R"({"put_accounts": [{"name": "x", "weight": 1, "guarantees": [{"cells": 9, "workers": 1,
        "accelerators": 8}]}]})",
                  "cells do not fit");
    BOOST_TEST(system.version_at("entry", 0) == 1U);
}

BOOST_AUTO_TEST_CASE(see_that_a_drained_worker_takes_no_new_work)
{
    cluster system({.workers = 2, .executors = 1});
    system.publish(system.make_configuration());
    BOOST_TEST(system.run_wigeonctl({"drain", "worker", "w0"}).exit_code == 0);
    cluster::wait_until([&] { return is_in_force_everywhere(system, 2, 2, 2); }, propagation_timeout, "version 2");
    const std::string address = system.operator_address("scheduler", system.find_holder());
    const std::string fleet = system.run_wigeonctl({"fleet", "--scheduler_address=" + address}).output;
    BOOST_TEST(fleet.find("\"usable_workers\":1") != std::string::npos, fleet);
    BOOST_TEST(fleet.find("\"free\":8") != std::string::npos, fleet);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_version_in_force)

BOOST_AUTO_TEST_CASE(reaches_a_host_that_is_cut_off_from_the_log)
{
    cluster system({.workers = 2, .executors = 1});
    system.publish(system.make_configuration());
    system.set_fault("log:entry0", "refuse");
    const steady_time begin = read_steady_clock();
    BOOST_TEST(system.publish_file("patch", make_weight_patch(3), 1).exit_code == 0);
    cluster::wait_until([&] { return is_in_force_everywhere(system, 2, 2, 2); }, propagation_timeout, "version 2");
    BOOST_TEST_MESSAGE("in force at the host that is cut off from the log after "
                       << elapsed_ms(begin, read_steady_clock()).count() << " ms");
    // The peer sends the missing records, not its whole state.
    BOOST_TEST(system.metric("entry", 0, "wigeon_records_from_peers_total") >= 1);
    BOOST_TEST(system.metric("entry", 0, "wigeon_states_installed_total{source=\"peer\"}") == 0);
}

BOOST_AUTO_TEST_CASE(reaches_a_host_whose_connections_to_the_log_went_silent)
{
    cluster system({.workers = 2, .executors = 1});
    system.publish(system.make_configuration());
    system.set_fault("log:entry0", "freeze");
    BOOST_TEST(system.publish_file("patch", make_weight_patch(3), 1).exit_code == 0);
    cluster::wait_until([&] { return is_in_force_everywhere(system, 2, 2, 2); }, propagation_timeout, "version 2");
}

BOOST_AUTO_TEST_CASE(is_not_lost_by_restarts_in_an_outage_of_the_log)
{
    cluster system({.workers = 2, .executors = 1});
    system.publish(system.make_configuration());
    BOOST_TEST(system.publish_file("patch", make_weight_patch(3), 1).exit_code == 0);
    cluster::wait_until([&] { return is_in_force_everywhere(system, 2, 2, 2); }, propagation_timeout, "version 2");
    system.set_fault("all:log", "refuse");
    system.entry(0).kill();
    system.scheduler(0).kill();
    system.start_entry(0);
    system.start_scheduler(0);
    cluster::wait_until([&] { return is_in_force_everywhere(system, 2, 2, 2); }, milliseconds(15'000),
                        "the restarted processes");
    BOOST_TEST(system.request(0, "served", "/run/1").status != 0);
    system.set_fault("all:log", "none");
}

BOOST_AUTO_TEST_CASE(is_not_replaced_by_an_older_one_on_a_host_that_is_cut_off_from_all)
{
    cluster system({.workers = 2, .executors = 1, .has_peer_proxy = true});
    system.publish(system.make_configuration());
    system.set_fault("log:entry0", "refuse");
    system.set_fault("peers:entry0", "refuse");
    BOOST_TEST(system.publish_file("patch", make_weight_patch(3), 1).exit_code == 0);
    system.entry(0).kill();
    system.start_entry(0);
    std::this_thread::sleep_for(milliseconds(2'000));
    // The restarted entry reaches neither the log nor a peer. It must refuse requests rather than serve them under a
    // version that may have been replaced.
    BOOST_TEST(system.request(0, "early", "/run/1").status == 503);
    system.set_fault("peers:entry0", "none");
    cluster::wait_until([&] { return system.version_at("entry", 0) == 2; }, propagation_timeout,
                        "version 2 from the peers");
}

BOOST_AUTO_TEST_CASE(survives_the_expiry_of_its_record)
{
    cluster system({.workers = 2, .executors = 1, .scheduler_flags = {"--snapshot_interval_s=1"}});
    system.publish(system.make_configuration());
    BOOST_TEST(system.publish_file("patch", make_weight_patch(3), 1).exit_code == 0);
    cluster::wait_until(
        [&] { return system.metric("scheduler", system.find_holder(), "wigeon_snapshots_written_total") >= 3; },
        milliseconds(10'000), "snapshots");
    system.entry(0).signal(SIGSTOP);
    std::this_thread::sleep_for(milliseconds(1'500));
    system.control_platform("keep=5");
    system.entry(0).signal(SIGCONT);
    system.entry(1).kill();
    system.start_entry(1);
    cluster::wait_until([&] { return is_in_force_everywhere(system, 2, 2, 2); }, propagation_timeout, "version 2");
    const command_result change = system.publish_file("patch", make_weight_patch(4), 2);
    BOOST_TEST(change.exit_code == 0);
    // wigeonctl writes no log lines, although it starts from a snapshot like a service.
    BOOST_TEST(std::count(change.output.begin(), change.output.end(), '\n') == 1, change.output);
    cluster::wait_until([&] { return is_in_force_everywhere(system, 3, 2, 2); }, propagation_timeout, "version 3");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(programs)

BOOST_AUTO_TEST_CASE(end_on_a_signal_though_the_platform_is_gone)
{
    for (int round = 0; round < 3; ++round) {
        cluster system({.workers = 1, .executors = 1, .entry_flags = {"--balancer_lag_ms=0"}});
        system.platform().kill();
        for (int i = 0; i < 2; ++i) {
            system.entry(i).signal(SIGTERM);
            system.scheduler(i).signal(SIGTERM);
        }
        for (int i = 0; i < 2; ++i) {
            BOOST_TEST(system.entry(i).wait() == 0);
            BOOST_TEST(system.scheduler(i).wait() == 0);
        }
    }
}

BOOST_AUTO_TEST_CASE(refuse_a_bad_setting_with_one_line_and_exit_code_2)
{
    cluster system({.entries = 1, .schedulers = 1, .workers = 1, .executors = 1});
    const auto check_refused = [&](const std::vector<std::string>& arguments, const std::string& expected_text) {
        const command_result result = system.run_wigeonctl(arguments);
        BOOST_TEST(result.exit_code == 2, result.output);
        BOOST_TEST(std::count(result.output.begin(), result.output.end(), '\n') == 1);
        BOOST_TEST(result.output.find(expected_text) != std::string::npos, result.output);
    };
    check_refused({"status", "--timeout_ms=5"}, "flag --timeout_ms: '5' is not in the allowed range 100 to 600000 ms");
    check_refused({"status", "--timeout_ms=soon"}, "flag --timeout_ms");
    check_refused({"status", "--output=prose"}, "flag --output: 'prose' is not one of table|json");
    check_refused({"status", "--no_such_flag=1"}, "flag --no_such_flag");
    check_refused({"status", "--timeout_ms"}, "the value is missing");
    check_refused({"dance"}, "unknown subcommand");
    BOOST_TEST(system.run_wigeonctl({"--help"}).output.find("--timeout_ms") != std::string::npos);
    BOOST_TEST(system.run_wigeonctl({"--version"}).output.find("wigeoncourse") != std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

} // namespace wigeon::test
