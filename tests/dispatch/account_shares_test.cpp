// Shares by account: who starts when, on a small fleet for which accounts compete.

#include <algorithm>
#include <array>
#include <map>
#include <string>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "dispatch/dispatcher.h"

namespace wigeon {

namespace {

dispatch_limits make_limits(bool uses_shares)
{
    dispatch_limits limits{milliseconds(6'000), milliseconds(200), milliseconds(5'000)};
    limits.options.shares_by_account = uses_shares;
    return limits;
}

constexpr int executors = 4; // Of 8 accelerators each.

// A leader and its fleet. Tasks end after their estimated run time.
struct shared_fleet {
    boot_time now{milliseconds(1'000'000)};
    dispatcher dispatch;
    int jobs = 0;
    std::uint64_t ends = 0;
    std::map<std::string, boot_time> submitted_at;
    std::map<std::string, boot_time> started_at; // By job: the placement of its last unit.
    std::vector<std::string> starts;             // Jobs, in the order of their placements.
    std::vector<dispatch_event> events;

    explicit shared_fleet(bool uses_shares = true) : dispatch(make_limits(uses_shares), now)
    {
        this->set_accounts({{"guaranteed", {}, 16}, {"flood", {}, 0}});
        for (int row = 0; row < executors; ++row) {
            executor_entry entry;
            entry.id = "e" + std::to_string(row);
            entry.pool = "pool";
            entry.rack = row < 2 ? "r1" : "r2";
            entry.capacity = {64'000, 128'000, 8};
            entry.incarnation_ms = 1;
            this->dispatch.update_executor(entry, this->now);
        }
        this->poll_all();
    }

    void set_accounts(std::vector<account_policy> accounts)
    {
        fleet_policy policy;
        for (std::uint32_t priority = 0; priority < 3; ++priority) {
            queue_policy queue;
            queue.name = "q" + std::to_string(priority);
            queue.pool = "pool";
            queue.priority = priority;
            queue.stretch = priority == 0 ? 1.5 : 3;
            queue.target_duration = milliseconds(priority == 0 ? 300 : 1'000);
            policy.queues.push_back(queue);
        }
        policy.accounts = std::move(accounts);
        this->dispatch.set_policy(policy);
    }

    void poll_all()
    {
        for (int row = 0; row < executors; ++row) {
            const std::string id = "e" + std::to_string(row);
            poll_report report;
            report.incarnation_ms = 1;
            report.clock = milliseconds(this->now.time_since_epoch());
            for (const task_reference& reference : this->dispatch.job_runs().tasks_on(id)) {
                const job_run& job = *this->dispatch.job_runs().find(reference.job);
                const work_unit& unit = job.units[reference.unit_row];
                const std::string task = make_task_name(reference.job, {0, 0, unit.first_task + reference.task_row});
                const std::int64_t run_time = std::max(1U, job.step_of(unit).estimate_ms());
                const std::int64_t ran = (this->now - unit.placed_at).count();
                if (ran >= run_time)
                    report.ended.push_back({++this->ends, task, reference.run, run_outcome::done, ""});
                else
                    report.running.push_back(
                        {task, reference.run, "", static_cast<std::uint32_t>(100 * ran / run_time)});
            }
            this->dispatch.handle_poll_report(id, report, this->now, this->now);
        }
    }

    std::string add(const std::string& account, const std::string& queue, std::uint32_t tasks,
                    std::uint32_t estimate_ms, std::uint32_t accelerators = 1)
    {
        records::Submission submission;
        submission.set_queue(queue);
        submission.set_account(account);
        records::Step& step = *submission.add_steps();
        step.set_count(tasks);
        step.set_accelerators(accelerators);
        step.set_estimate_ms(estimate_ms);
        std::string id = account + std::to_string(10'000 + ++this->jobs);
        this->dispatch.add_job(id, submission, {}, 0, this->now);
        this->submitted_at[id] = this->now;
        return id;
    }

    void decide()
    {
        this->dispatch.decide(0, this->now);
        const dispatch_changes changes = this->dispatch.collect_changes();
        for (const start_order& order : this->dispatch.confirm_changes(changes, this->now))
            this->dispatch.handle_start_answer(order, start_answer::accepted, this->now);
        for (dispatch_event& event : this->dispatch.take_events()) {
            if (event.name == "placed") {
                this->starts.push_back(event.job);
                this->started_at[event.job] = this->now;
            }
            this->events.push_back(std::move(event));
        }
    }

    void pass(std::int64_t passed_ms)
    {
        for (std::int64_t left = passed_ms; left > 0; left -= 100) {
            this->now += milliseconds(100);
            this->poll_all();
            this->decide();
        }
    }

    // Mean time between submission and start; jobs that have not started count until now.
    double mean_wait_ms(const std::string& account) const
    {
        double sum = 0;
        int count = 0;
        for (const auto& [id, submitted] : this->submitted_at) {
            if (!id.starts_with(account))
                continue;
            const auto started = this->started_at.find(id);
            sum += static_cast<double>(
                ((started == this->started_at.end() ? this->now : started->second) - submitted).count());
            ++count;
        }
        return sum / std::max(1, count);
    }

    bool has_started(const std::string& id) const { return this->started_at.contains(id); }

    // Position in the order of starts; the last one for a job that has not started.
    std::size_t start_position(const std::string& id) const
    {
        return static_cast<std::size_t>(std::find(this->starts.begin(), this->starts.end(), id) - this->starts.begin());
    }

    std::size_t count_with_share() const
    {
        return static_cast<std::size_t>(
            std::count_if(this->events.begin(), this->events.end(), [](const dispatch_event& event) {
                return event.detail.find(" share=") != std::string::npos;
            }));
    }
};

// An account floods the fleet with ten seconds of work, while three others submit a small job each half second.
void run_burst(shared_fleet& fleet)
{
    for (int row = 0; row < 160; ++row)
        fleet.add("flood", "q1", 1, 2'000);
    for (int turn = 0; turn < 20; ++turn) {
        for (const char* account : {"a", "b", "c"})
            fleet.add(account, "q1", 1, 2'000);
        fleet.pass(500);
    }
    fleet.pass(10'000);
}

// Fills the fleet with tasks of one account that end one after the other, and lets its share settle.
void fill(shared_fleet& fleet, const std::string& account = "flood")
{
    for (std::uint32_t task = 0; task < 32; ++task)
        fleet.add(account, "q1", 1, 8'000 + 100 * task);
    fleet.decide();
    fleet.pass(6'000);
}

job_timing make_late_timing(boot_time now, milliseconds useful_time)
{
    job_timing timing;
    timing.arrived_at = now - milliseconds(5'000);
    timing.critical_path = milliseconds(2'000);
    timing.deadline = now;
    timing.useful_until = now + timing.critical_path + useful_time;
    return timing;
}

} // namespace

BOOST_AUTO_TEST_SUITE(account_shares_story)

// Guards against one account's burst that delays the jobs of all accounts alike.
BOOST_AUTO_TEST_CASE(a_burst_delays_its_own_account_first)
{
    shared_fleet without(false);
    run_burst(without);
    shared_fleet with(true);
    run_burst(with);
    for (const char* account : {"a", "b", "c"}) {
        BOOST_TEST_MESSAGE(account << " " << without.mean_wait_ms(account) << " -> " << with.mean_wait_ms(account));
        BOOST_TEST(with.mean_wait_ms(account) < without.mean_wait_ms(account) / 2);
    }
    BOOST_TEST_MESSAGE("flood " << without.mean_wait_ms("flood") << " -> " << with.mean_wait_ms("flood"));
    BOOST_TEST(with.started_at.size() == without.started_at.size()); // Capacity is not left idle for it.
}

BOOST_AUTO_TEST_SUITE(idle_room)

BOOST_AUTO_TEST_CASE(is_lent_to_an_account_whatever_its_share)
{
    shared_fleet fleet;
    fleet.add("other", "q1", 1, 8'000);
    for (int row = 0; row < 31; ++row)
        fleet.add("flood", "q1", 1, 8'000);
    fleet.decide();
    BOOST_TEST(fleet.starts.size() == 32U);
    BOOST_TEST(fleet.count_with_share() == 0U);
}

// Guards against an order by slack alone, in which the borrower's next jobs take all that its last ones leave.
BOOST_AUTO_TEST_CASE(returns_to_the_others_as_work_ends)
{
    for (const bool uses_shares : {false, true}) {
        shared_fleet fleet(uses_shares);
        fill(fleet);
        const std::string next_of_flood = fleet.add("flood", "q1", 1, 2'000);
        fleet.pass(500);
        const std::string of_other = fleet.add("other", "q1", 1, 2'000);
        fleet.pass(4'000);
        BOOST_REQUIRE(fleet.has_started(next_of_flood));
        BOOST_REQUIRE(fleet.has_started(of_other));
        BOOST_TEST((fleet.start_position(of_other) < fleet.start_position(next_of_flood)) == uses_shares);
    }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(the_order_is_as_today)

// Guards against a penalty that acts where no account takes room from another.
BOOST_AUTO_TEST_CASE(while_room_is_not_short)
{
    std::array<std::vector<std::string>, 2> starts;
    for (const bool uses_shares : {false, true}) {
        shared_fleet fleet(uses_shares);
        for (int turn = 0; turn < 20; ++turn) {
            for (int row = 0; row < 4; ++row)
                fleet.add("flood", "q1", 1, 1'000);
            fleet.add("a", "q2", 2, 1'000);
            fleet.add("b", "q0", 1, 1'000);
            fleet.pass(300);
        }
        BOOST_TEST(fleet.count_with_share() == 0U);
        starts.at(uses_shares ? 1 : 0) = fleet.starts;
    }
    BOOST_TEST(starts[0] == starts[1], boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(while_one_account_alone_waits)
{
    std::array<std::vector<std::string>, 2> starts;
    for (const bool uses_shares : {false, true}) {
        shared_fleet fleet(uses_shares);
        fill(fleet);
        for (int row = 0; row < 60; ++row)
            fleet.add("flood", row % 3 == 0 ? "q2" : "q1", 1, 1'000 + 50 * static_cast<std::uint32_t>(row % 7));
        fleet.pass(10'000);
        BOOST_TEST(fleet.count_with_share() == 0U);
        starts.at(uses_shares ? 1 : 0) = fleet.starts;
    }
    BOOST_TEST(starts[0] == starts[1], boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(with_the_option_off)
{
    shared_fleet fleet(false);
    fill(fleet);
    fleet.add("flood", "q1", 20, 2'000);
    fleet.add("other", "q1", 20, 3'000);
    BOOST_TEST(fleet.dispatch.accounts().size() == 0U);
    work_queue queue;
    std::vector<std::string> order;
    for (const waiting_step& step : queue.list(fleet.dispatch.job_runs(), fleet.now))
        order.push_back(step.job->id);
    fleet.starts.clear();
    fleet.pass(8'000);
    BOOST_REQUIRE(fleet.starts.size() >= order.size());
    // The shorter job has less slack.
    BOOST_TEST(order.front() == fleet.starts.front());
    BOOST_TEST(order.front().starts_with("flood"));
    BOOST_TEST(fleet.count_with_share() == 0U);
}

// Guards against a penalty that differs between accounts which both use little.
BOOST_AUTO_TEST_CASE(among_accounts_below_their_share)
{
    shared_fleet fleet;
    fill(fleet);
    const std::string relaxed = fleet.add("a", "q1", 1, 3'000);
    const std::string tight = fleet.add("b", "q1", 1, 2'000);
    fleet.add("flood", "q1", 1, 1'000);
    fleet.pass(5'000);
    BOOST_TEST(fleet.start_position(tight) < fleet.start_position(relaxed));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_job_of_an_account_above_its_share)

// Guards against a result that becomes worthless although a start in its place would have saved it.
BOOST_AUTO_TEST_CASE(keeps_its_place_near_its_deadline_and_near_the_end_of_its_usefulness)
{
    const boot_time now{milliseconds(1'000'000)};
    for (const work_rank rank : {work_rank::urgent, work_rank::regular, work_rank::background}) {
        job_timing ending = make_late_timing(now, milliseconds(500));
        ending.rank = rank;
        const order_key today = make_order_key(ending, now);
        BOOST_TEST(make_order_key(ending, now, max_share_penalty).position_ms == today.position_ms);
        job_timing nearly_late = ending;
        nearly_late.deadline = now + nearly_late.critical_path + milliseconds(200);
        BOOST_TEST(make_order_key(nearly_late, now, max_share_penalty).position_ms ==
                   make_order_key(nearly_late, now).position_ms);
        job_timing lasting = make_late_timing(now, milliseconds(5'000));
        lasting.rank = rank;
        BOOST_TEST(make_order_key(lasting, now, max_share_penalty).position_ms == today.position_ms + 3'000);
    }
}

// The same, as callers see it: of two late jobs of the account above its share, only the one that has time waits.
BOOST_AUTO_TEST_CASE(starts_before_a_younger_one_when_it_would_soon_be_worthless)
{
    for (const bool is_ending : {true, false}) {
        shared_fleet fleet;
        fill(fleet);
        // Late after 7 s, and worthless after 21 s less the 2 s that it runs.
        const std::string of_flood = fleet.add("flood", "q1", 1, 2'000);
        const milliseconds age(is_ending ? 16'200 : 9'000);
        fleet.dispatch.job_runs().find(of_flood)->arrived_at = fleet.now - age;
        const std::string of_other = fleet.add("other", "q1", 1, 2'000);
        fleet.dispatch.job_runs().find(of_other)->arrived_at = fleet.now - age + milliseconds(1'000);
        fleet.pass(5'000);
        BOOST_TEST((fleet.start_position(of_flood) < fleet.start_position(of_other)) == is_ending);
    }
}

// Guards against a penalty that makes a job late which would be in time today: while the fleet stays full, late jobs
// wait for all that are not.
BOOST_AUTO_TEST_CASE(does_not_wait_for_ever)
{
    for (const bool uses_shares : {false, true}) {
        shared_fleet fleet(uses_shares);
        fill(fleet);
        const std::string of_flood = fleet.add("flood", "q1", 1, 2'000);
        for (int turn = 0; turn < 60; ++turn) {
            for (const char* account : {"a", "b", "c"})
                fleet.add(account, "q1", 3, 2'000); // More than the fleet can run.
            fleet.pass(500);
        }
        BOOST_REQUIRE(fleet.has_started(of_flood));
        const milliseconds waited = fleet.started_at[of_flood] - fleet.submitted_at[of_flood];
        BOOST_TEST_MESSAGE("waited ms: " << waited.count());
        BOOST_TEST(waited.count() <= 4'850); // Its slack.
    }
}

// Guards against the same where more arrives, all the while, than the fleet can run.
BOOST_AUTO_TEST_CASE(does_not_wait_for_ever_under_a_lasting_overload)
{
    shared_fleet fleet;
    fill(fleet);
    const std::string of_flood = fleet.add("flood", "q1", 1, 2'000);
    for (int turn = 0; turn < 134 && !fleet.has_started(of_flood); ++turn) {
        for (const char* account : {"a", "b", "c"})
            fleet.add(account, "q1", 4, 2'000); // Half more than the fleet can run.
        fleet.pass(500);
    }
    BOOST_REQUIRE(fleet.has_started(of_flood));
    BOOST_TEST((fleet.started_at[of_flood] - fleet.submitted_at[of_flood]).count() <= 21'000);
}

BOOST_AUTO_TEST_CASE(is_passed_by_others_that_are_at_most_the_largest_penalty_younger)
{
    const boot_time now{milliseconds(1'000'000)};
    const job_timing older = make_late_timing(now, milliseconds(10'000));
    job_timing younger = older;
    younger.arrived_at += max_share_penalty - milliseconds(1);
    BOOST_TEST((make_order_key(younger, now) < make_order_key(older, now, max_share_penalty)));
    younger.arrived_at += milliseconds(2);
    BOOST_TEST((make_order_key(older, now, max_share_penalty) < make_order_key(younger, now)));
}

BOOST_AUTO_TEST_SUITE_END()

// Guards against a guarantee that is broken because its account uses much besides.
BOOST_AUTO_TEST_CASE(guaranteed_urgent_work_is_served_first_whatever_its_account_uses)
{
    shared_fleet fleet;
    fill(fleet, "guaranteed");
    const std::string of_other = fleet.add("other", "q0", 1, 2'000);
    fleet.add("other", "q1", 8, 2'000);
    const std::string guaranteed = fleet.add("guaranteed", "q0", 1, 4'000);
    BOOST_REQUIRE(fleet.dispatch.accounts().find_share("pool", "guaranteed") > 0.9);
    fleet.pass(3'000);
    BOOST_REQUIRE(fleet.has_started(guaranteed));
    BOOST_TEST(fleet.start_position(guaranteed) < fleet.start_position(of_other));
}

// Guards against a new leader that serves a flood on equal terms until its averages have grown anew.
BOOST_AUTO_TEST_CASE(a_new_leader_knows_the_shares_from_the_running_tasks_at_once)
{
    shared_fleet former;
    fill(former);
    shared_fleet successor;
    successor.now = former.now;
    successor.jobs = former.jobs;
    for (const auto& [id, job] : former.dispatch.job_runs().jobs())
        successor.dispatch.add_job(id, job.submission, job.make_record(), 0, successor.now);
    const std::string next_of_flood = successor.add("flood", "q1", 1, 2'000);
    const std::string of_other = successor.add("other", "q1", 1, 2'500); // Has more slack.
    successor.poll_all();
    successor.dispatch.decide(0, successor.now);
    BOOST_TEST(successor.dispatch.accounts().find_share("pool", "flood") > 0.9);
    BOOST_TEST(successor.dispatch.accounts().is_short("pool"));
    work_queue queue;
    account_shares shares = successor.dispatch.accounts();
    const auto order = queue.list(successor.dispatch.job_runs(), successor.now, &shares);
    BOOST_REQUIRE(order.size() >= 2U);
    BOOST_TEST(order.front().job->id == of_other);
}

// Guards against an account that gets rid of its share, or of its jobs, by a change of the configuration.
BOOST_AUTO_TEST_CASE(an_account_that_is_removed_counts_while_its_jobs_run)
{
    shared_fleet fleet;
    fill(fleet);
    fleet.set_accounts({{"other", {}, 0}});
    const std::string next_of_removed = fleet.add("flood", "q1", 1, 2'000);
    const std::string of_other = fleet.add("other", "q1", 1, 2'500);
    fleet.pass(4'000);
    BOOST_REQUIRE(fleet.has_started(next_of_removed));
    BOOST_TEST(fleet.start_position(of_other) < fleet.start_position(next_of_removed));
}

BOOST_AUTO_TEST_SUITE(what_is_kept)

// Guards against a leader whose memory and metrics grow with the number of accounts that ever submitted a job.
BOOST_AUTO_TEST_CASE(is_dropped_soon_after_an_account_has_no_work)
{
    shared_fleet fleet;
    for (int row = 0; row < 60; ++row)
        fleet.add("account" + std::to_string(row) + "_", "q1", 1, 500);
    fleet.decide();
    BOOST_TEST(fleet.dispatch.accounts().size() == 60U);
    BOOST_TEST(fleet.dispatch.accounts().list_largest(10).size() == 10U);
    fleet.pass(20'000);
    BOOST_TEST(fleet.starts.size() == 60U);
    BOOST_TEST(fleet.dispatch.accounts().size() == 0U);
}

BOOST_AUTO_TEST_CASE(lists_the_largest_shares_first)
{
    shared_fleet fleet;
    fleet.add("small", "q1", 1, 8'000);
    fleet.add("large", "q1", 9, 8'000);
    fleet.add("middle", "q1", 4, 8'000);
    fleet.decide();
    fleet.pass(4'000);
    const auto largest = fleet.dispatch.accounts().list_largest(2);
    BOOST_REQUIRE(largest.size() == 2U);
    BOOST_TEST(largest[0].account == "large");
    BOOST_TEST(largest[1].account == "middle");
    BOOST_TEST(largest[0].share <= 9.0 / 32);
    BOOST_TEST(largest[0].share > 0.8 * 9.0 / 32);
}

BOOST_AUTO_TEST_SUITE_END()

// Operators read from the log why a job was served when it was.
BOOST_AUTO_TEST_CASE(the_placed_event_states_the_share_while_it_affects_the_order)
{
    shared_fleet fleet;
    fill(fleet);
    fleet.add("flood", "q1", 4, 2'000);
    fleet.add("other", "q1", 4, 2'000);
    fleet.events.clear();
    fleet.pass(3'000);
    const auto placed = std::find_if(fleet.events.begin(), fleet.events.end(),
                                     [](const dispatch_event& event) { return event.name == "placed"; });
    BOOST_REQUIRE(placed != fleet.events.end());
    BOOST_TEST(placed->detail.find(" account=other share=0.00 on=") != std::string::npos, placed->detail);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace wigeon
