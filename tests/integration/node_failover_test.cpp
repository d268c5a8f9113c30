// Leaders of wigeon-node that are replaced again and again above a large fleet, as in a rolling restart or in a series
// of crashes: killed, told to stop, paused, or cut off from the store together with some executors. Meanwhile callers
// submit jobs whose tasks outlast several leaders and cancel some of them, and executors restart. For a while now and
// then, some appends and orders get no answer and are carried out seconds later.
//
// WIGEON_FAILOVER_SEEDS lists the seeds ("1,2,3"), WIGEON_FAILOVER_SECONDS is the time for which faults are injected
// with each seed, WIGEON_FAILOVER_NODES and WIGEON_FAILOVER_EXECUTORS are the size of the system; with
// WIGEON_FAILOVER_PARTITIONS=0 no leader is cut off.

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <random>
#include <thread>

#include <boost/test/unit_test.hpp>

#include "base/address.h"
#include "support/node_cluster.h"

namespace wigeon::test {

namespace {

constexpr milliseconds recovery_timeout{90'000};
constexpr milliseconds step_time{250};
constexpr int status_accepted = 200;

std::string read_environment(const char* name, const char* fallback)
{
    const char* value = std::getenv(name);
    return value == nullptr ? fallback : value;
}

class failover_run {
public:
    failover_run(std::uint64_t seed, int nodes, int executors, bool cuts_leaders_off)
        : random(seed),
          late_random(seed),
          has_partitions(cuts_leaders_off),
          node_count(nodes),
          executor_count(executors),
          system({.nodes = nodes, .executors = executors, .has_proxy = true, .keeps_connections = true}),
          next_fault_at(boot_clock::now() + milliseconds(3'000))
    {
    }

    void run(milliseconds duration)
    {
        const auto deadline = boot_clock::now() + duration;
        while (boot_clock::now() < deadline) {
            const boot_time now = boot_clock::now();
            this->end_faults(now);
            if (now >= this->next_fault_at)
                this->inject_fault(now);
            this->toggle_late_effects();
            this->submit_job();
            this->cancel_job_that_is_not_due();
            if (this->draw(4) == 0)
                this->cancel_job();
            std::this_thread::sleep_for(step_time);
        }
        this->end_faults(boot_time::max());
        this->system.set_store_fault("none");
        this->system.set_late_orders(0);
    }

    void check()
    {
        for (const std::string& job : this->accepted)
            BOOST_TEST(this->system.wait_for_state(job, "batch", "completed", recovery_timeout),
                       "job " << job << " was accepted but did not complete");
        std::this_thread::sleep_until(this->last_due + step_time);
        const node_cluster::fleet_report report = this->system.read_report();
        for (const std::string& job : this->cancelled_in_time)
            BOOST_TEST(report.started_jobs.find(job) == std::string::npos,
                       "job " << job << " ran after its cancellation");
        BOOST_TEST(report.violations == 0U, report.violations << " violations, first: " << report.first_violation);
        BOOST_TEST_MESSAGE(this->accepted.size()
                           << " jobs, " << report.starts << " starts, " << report.done << " tasks done");
    }

private:
    std::uint32_t draw(std::uint32_t limit)
    {
        return std::uniform_int_distribution<std::uint32_t>(0, limit - 1)(this->random);
    }

    int draw_index(int count) { return static_cast<int>(this->draw(static_cast<std::uint32_t>(count))); }

    // Drawn apart from the faults, so that the seeds play the same ones as before.
    std::uint32_t draw_late(std::uint32_t limit)
    {
        return std::uniform_int_distribution<std::uint32_t>(0, limit - 1)(this->late_random);
    }

    void toggle_late_effects()
    {
        constexpr std::uint32_t toggle_one_in = 12;
        constexpr int late_percent = 30;
        if (this->draw_late(toggle_one_in) == 0) {
            this->has_late_appends = !this->has_late_appends;
            this->report_fault("percentage of late appends", this->has_late_appends ? late_percent : 0);
            this->system.set_store_fault(this->has_late_appends ? "late:" + std::to_string(late_percent) : "none");
        }
        if (this->draw_late(toggle_one_in) == 0) {
            this->has_late_orders = !this->has_late_orders;
            this->report_fault("percentage of late orders", this->has_late_orders ? late_percent : 0);
            this->system.set_late_orders(this->has_late_orders ? late_percent : 0);
        }
    }

    // Submits a job that is due later and cancels it at another node, whatever the answer to the submission was. Once
    // the cancellation is acknowledged, the job must not start.
    void cancel_job_that_is_not_due()
    {
        constexpr std::uint32_t cancel_one_in = 6;
        constexpr milliseconds due_after{10'000};
        constexpr milliseconds cancellation_limit{3'000};
        if (this->draw_late(cancel_one_in) != 0)
            return;
        const std::string digits = std::to_string(++this->last_cancelled_job);
        const std::string job = "c" + std::string(15 - digits.size(), '0') + digits;
        const int node = static_cast<int>(this->draw_late(static_cast<std::uint32_t>(this->node_count)));
        if (node == this->paused_node)
            return;
        const auto due = boot_clock::now() + due_after;
        this->system.submit_for_later(node, job, "batch", R"({"count":1,"cpu":1000,"mem-mb":100,"estimate-ms":500})",
                                      due_after);
        const bool is_acknowledged = this->system.cancel_until_acknowledged(node + 1, job, "batch");
        if (is_acknowledged && boot_clock::now() + cancellation_limit < due)
            this->cancelled_in_time.push_back(job);
        this->last_due = std::max(this->last_due, due);
    }

    void inject_fault(boot_time now)
    {
        this->next_fault_at = now + milliseconds(500 + this->draw(4'000));
        constexpr std::uint32_t first_partition_kind = 3;
        constexpr std::uint32_t restart_kind = 5;
        std::uint32_t kind = this->draw(restart_kind + 1);
        if (!this->has_partitions && kind >= first_partition_kind && kind < restart_kind)
            kind -= first_partition_kind;
        if (kind == restart_kind) {
            const int executor = this->draw_index(this->executor_count);
            this->report_fault("executor restarts", executor);
            this->system.restart_executor(executor);
            return;
        }
        const auto leader = this->system.find_leader(this->cut_off_node);
        if (!leader || *leader == this->paused_node)
            return;
        switch (kind) {
        case 0:
            this->report_fault("leader is killed", *leader);
            this->system.kill_node(*leader);
            this->system.start_node(*leader);
            break;
        case 1:
            this->report_fault("leader is told to stop", *leader);
            this->system.signal_node(*leader, SIGTERM);
            this->system.wait_for_exit(*leader);
            this->system.start_node(*leader);
            break;
        case 2:
            if (this->paused_node)
                return;
            this->report_fault("leader is paused", *leader);
            this->system.signal_node(*leader, SIGSTOP);
            this->paused_node = *leader;
            this->pause_ends_at = now + milliseconds(1'000 + this->draw(12'000));
            break;
        default: {
            if (this->cut_off_node)
                return;
            const int count = 1 + this->draw_index(this->executor_count / 3);
            this->report_fault("leader is cut off with " + std::to_string(count) + " executors", *leader);
            this->system.split_network(*leader, count);
            this->cut_off_node = leader;
            this->split_ends_at = now + milliseconds(5'000 + this->draw(20'000));
            break;
        }
        }
    }

    void report_fault(const std::string& what, int index)
    {
        BOOST_TEST_MESSAGE("at " << (boot_clock::now() - this->started_at).count() << " ms: " << what << ": " << index);
    }

    void end_faults(boot_time now)
    {
        if (this->paused_node && now >= this->pause_ends_at) {
            this->system.signal_node(*this->paused_node, SIGCONT);
            this->paused_node.reset();
        }
        if (this->cut_off_node && now >= this->split_ends_at) {
            this->report_fault("the network is whole again for leader", *this->cut_off_node);
            this->system.join_network();
            this->cut_off_node.reset();
        }
    }

    void submit_job()
    {
        const std::string count = std::to_string(1 + this->draw(static_cast<std::uint32_t>(this->executor_count) / 8));
        const std::string gang = this->draw(4) == 0 ? "true" : "false";
        const std::string step = R"("cpu":1000,"mem-mb":100,"gpu":)" + std::to_string(1 + this->draw(3)) +
                                 R"(,"estimate-ms":)" + std::to_string(500 + this->draw(20'000));
        const std::string steps =
            R"({"count":)" + count + "," + step + R"(,"gang":)" + gang + R"(},{"count":1,)" + step + R"(,"after":[0]})";
        const std::string digits = std::to_string(++this->last_job);
        const std::string job = std::string(16 - digits.size(), '0') + digits;
        const int node = this->draw_index(this->node_count);
        if (node != this->paused_node && this->system.submit(node, job, "batch", steps) == status_accepted)
            this->accepted.push_back(job);
    }

    // Mostly while the first step runs, so that the second one must not start. A job whose cancellation may have been
    // stored is not expected to complete.
    void cancel_job()
    {
        if (this->accepted.empty())
            return;
        const std::size_t recent = std::min<std::size_t>(this->accepted.size(), 5);
        const std::size_t index = this->accepted.size() - 1 - this->draw(static_cast<std::uint32_t>(recent));
        const int node = this->draw_index(this->node_count);
        if (node == this->paused_node)
            return;
        this->system.cancel(node, this->accepted[index], "batch");
        this->accepted.erase(this->accepted.begin() + static_cast<std::ptrdiff_t>(index));
    }

    std::mt19937_64 random;
    std::mt19937_64 late_random;
    const bool has_partitions;
    const int node_count;
    const int executor_count;
    boot_time started_at = boot_clock::now();
    node_cluster system;
    std::optional<int> paused_node;
    boot_time pause_ends_at;
    std::optional<int> cut_off_node;
    boot_time split_ends_at;
    boot_time next_fault_at;
    std::vector<std::string> accepted;
    int last_job = 0;
    bool has_late_appends = false;
    bool has_late_orders = false;
    std::vector<std::string> cancelled_in_time;
    int last_cancelled_job = 0;
    boot_time last_due;
};

} // namespace

BOOST_AUTO_TEST_SUITE(node_failover_story)

BOOST_AUTO_TEST_CASE(no_task_runs_twice_while_leaders_are_replaced)
{
    const int seconds = std::stoi(read_environment("WIGEON_FAILOVER_SECONDS", "30"));
    const int nodes = std::stoi(read_environment("WIGEON_FAILOVER_NODES", "4"));
    const int executors = std::stoi(read_environment("WIGEON_FAILOVER_EXECUTORS", "40"));
    const bool has_partitions = read_environment("WIGEON_FAILOVER_PARTITIONS", "1") != "0";
    for (const std::string& seed : split_list(read_environment("WIGEON_FAILOVER_SEEDS", "1"), ',')) {
        BOOST_TEST_CONTEXT("seed " << seed)
        {
            failover_run failovers(std::stoull(seed), nodes, executors, has_partitions);
            failovers.run(std::chrono::seconds(seconds));
            failovers.check();
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace wigeon::test
