// Bounds on stops for work that no guarantee covers: the rules alone, and whole rounds on a crowded small fleet.

#include <algorithm>
#include <map>
#include <random>

#include <boost/test/unit_test.hpp>

#include "dispatch/dispatcher.h"
#include "dispatch/preemption_budget.h"

namespace wigeon {

namespace {

constexpr boot_time start{milliseconds(1'000'000)};

preemption_request make_request(work_rank rank, milliseconds slack, milliseconds waited = milliseconds(0))
{
    return {"job", "account", rank, slack, waited};
}

const preemption_request about_to_be_late = make_request(work_rank::regular, milliseconds(2'000));

constexpr int executor_count = 4;
constexpr std::int64_t step_ms = 100;
constexpr std::int64_t save_interval_ms = 1'000; // Of checkpoints.

// Executors that run tasks at the estimated speed, save checkpoints, and take a while for a stop.
struct crowded_fleet {
    boot_time now = start;
    dispatcher dispatch;
    fleet_policy policy;
    milliseconds stop_time{500};
    int jobs = 0;
    int accounts = 0;
    std::uint64_t ends = 0;
    std::map<std::string, std::int64_t> saved_ms; // Progress in the checkpoint, by task.
    std::map<std::string, boot_time> stopping;    // Tasks with a stop order, and its time.
    std::vector<dispatch_event> events;

    explicit crowded_fleet(bool bounds = true)
        : dispatch({milliseconds(6'000), milliseconds(900), milliseconds(5'000), {.bounds_preemption = bounds}}, start)
    {
        for (std::uint32_t priority = 0; priority < 3; ++priority) {
            queue_policy queue;
            queue.name = "q" + std::to_string(priority);
            queue.pool = "pool";
            queue.priority = priority;
            queue.stretch = priority == 0 ? 1.5 : 3.0;
            queue.target_duration = milliseconds(priority == 0 ? 300 : priority * 2'000 - 1'000);
            this->policy.queues.push_back(queue);
        }
        this->policy.accounts.push_back({"guaranteed", {}, 32});
        this->dispatch.set_policy(this->policy);
        this->add_executors(this->dispatch);
    }

    void add_executors(dispatcher& target) const
    {
        for (int row = 0; row < executor_count; ++row) {
            executor_entry entry;
            entry.id = "e" + std::to_string(row);
            entry.pool = "pool";
            entry.rack = "r1";
            entry.capacity = {64'000, 128'000, 8};
            entry.incarnation_ms = 1;
            target.update_executor(entry, this->now);
            poll_report report;
            report.incarnation_ms = 1;
            target.handle_poll_report(entry.id, report, this->now, this->now);
        }
    }

    static records::Submission make_submission(const std::string& queue, const std::string& account,
                                               std::uint32_t tasks, std::uint32_t accelerators,
                                               std::uint32_t estimate_ms, bool gang = false)
    {
        records::Submission submission;
        submission.set_queue(queue);
        submission.set_account(account);
        records::Step& step = *submission.add_steps();
        step.set_count(tasks);
        step.set_accelerators(accelerators);
        step.set_gang(gang);
        step.set_checkpointing(queue == "q2");
        step.set_estimate_ms(estimate_ms);
        return submission;
    }

    std::string add(const records::Submission& submission)
    {
        std::string id = "job" + std::to_string(++this->jobs);
        this->dispatch.add_job(id, submission, {}, 0, this->now);
        return id;
    }

    std::string add(const std::string& queue, std::uint32_t tasks, std::uint32_t estimate_ms, bool gang = false)
    {
        return this->add(make_submission(queue, "other", tasks, 8, estimate_ms, gang));
    }

    // A background job of one task on each executor.
    std::vector<std::string> fill(std::uint32_t estimate_ms)
    {
        std::vector<std::string> ids;
        for (int row = 0; row < executor_count; ++row)
            ids.push_back(this->add("q2", 1, estimate_ms));
        this->decide();
        return ids;
    }

    // A regular job whose slack is 2 s.
    std::string add_about_to_be_late(const std::string& account = "other", std::uint32_t tasks = 1)
    {
        constexpr std::uint32_t estimate_ms = 2'000;
        std::string id = this->add(make_submission("q1", account, tasks, 8, estimate_ms, tasks > 1));
        this->dispatch.job_runs().find(id)->arrived_at = this->now - milliseconds(2'850);
        return id;
    }

    std::int64_t find_progress(const job_run& job, const work_unit& unit, const std::string& task)
    {
        const auto saved = this->saved_ms.find(task);
        const std::int64_t before = saved == this->saved_ms.end() || job.policy.priority != 2 ? 0 : saved->second;
        return before + (this->now - unit.placed_at).count();
    }

    void poll(int row)
    {
        const std::string id = "e" + std::to_string(row);
        poll_report report;
        report.incarnation_ms = 1;
        report.clock = milliseconds(this->now.time_since_epoch());
        for (const task_reference& reference : this->dispatch.job_runs().tasks_on(id)) {
            job_run& job = *this->dispatch.job_runs().find(reference.job);
            const work_unit& unit = job.units[reference.unit_row];
            const std::string task = job.format_task_name(unit, reference.task_row);
            const std::int64_t progress = this->find_progress(job, unit, task);
            const std::int64_t estimate = job.step_of(unit).estimate_ms();
            const std::int64_t saved = progress / save_interval_ms * save_interval_ms;
            const std::string checkpoint =
                job.policy.priority == 2 && saved > 0 ? std::to_string(saved) : std::string();
            const auto stop = this->stopping.find(task);
            const bool is_stopped = stop != this->stopping.end() && this->now >= stop->second + this->stop_time;
            if (!is_stopped && progress < estimate) {
                report.running.push_back(
                    {task, reference.run, checkpoint, static_cast<std::uint32_t>(progress * 100 / estimate)});
                continue;
            }
            this->saved_ms[task] = saved;
            this->stopping.erase(task);
            report.ended.push_back(
                {++this->ends, task, reference.run, is_stopped ? run_outcome::stopped : run_outcome::done, checkpoint});
        }
        this->dispatch.handle_poll_report(id, report, this->now, this->now);
    }

    void decide()
    {
        this->dispatch.decide(0, this->now);
        const dispatch_changes changes = this->dispatch.collect_changes();
        for (const start_order& order : this->dispatch.confirm_changes(changes, this->now))
            this->dispatch.handle_start_answer(order, start_answer::accepted, this->now);
        for (const stop_order& order : this->dispatch.collect_stops(this->now)) {
            this->stopping.try_emplace(order.task, this->now);
            this->dispatch.handle_stop_answer(order, true, this->now);
        }
        for (dispatch_event& event : this->dispatch.take_events())
            this->events.push_back(std::move(event));
    }

    void pass(std::int64_t passed_ms)
    {
        for (std::int64_t left = passed_ms; left > 0; left -= step_ms) {
            this->now += milliseconds(step_ms);
            for (int row = 0; row < executor_count; ++row)
                this->poll(row);
            this->decide();
        }
    }

    std::ptrdiff_t count_events(std::string_view name, std::string_view job = {}) const
    {
        return std::ranges::count_if(this->events, [&](const dispatch_event& event) {
            return event.name == name && (job.empty() || event.job == job);
        });
    }

    bool has_started(const std::string& id) const { return this->count_events("placed", id) > 0; }

    // A regular job that is about to be late arrives every second, each of a new account.
    void send_regular_stream_of_many_accounts(int seconds)
    {
        for (int second = 0; second < seconds; ++second) {
            this->add_about_to_be_late("a" + std::to_string(++this->accounts));
            this->pass(1'000);
        }
    }

    // A gang of an account that is about to be late arrives every 2.5 s, for 30 s.
    void use_up_regular_budget()
    {
        for (int gang = 0; gang < 12; ++gang) {
            this->add_about_to_be_late("other", 2);
            this->pass(2'500);
        }
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(preemption_budget_story)

BOOST_AUTO_TEST_SUITE(the_budget)

// Guards against stops that prevent no lateness: the job has time to spare, or is late whatever is stopped.
BOOST_AUTO_TEST_CASE(lets_regular_work_ask_only_when_a_stop_saves_it_or_after_a_long_wait)
{
    preemption_budget budget;
    const auto check = [&budget](std::int64_t slack_ms, std::int64_t waited_ms) {
        return budget.check(make_request(work_rank::regular, milliseconds(slack_ms), milliseconds(waited_ms)), start);
    };
    BOOST_TEST((check(2'501, 0) == preemption_verdict::not_due));
    BOOST_TEST((check(2'500, 0) == preemption_verdict::allowed));
    BOOST_TEST((check(900, 0) == preemption_verdict::allowed));
    BOOST_TEST((check(899, 0) == preemption_verdict::not_due));
    BOOST_TEST((check(-5'000, 9'999) == preemption_verdict::not_due));
    BOOST_TEST((check(-5'000, 10'000) == preemption_verdict::allowed));
}

BOOST_AUTO_TEST_CASE(is_used_up_by_one_account_alone_and_grows_again)
{
    preemption_budget budget;
    budget.charge(about_to_be_late, 300, start);
    BOOST_TEST((budget.check(about_to_be_late, start) == preemption_verdict::exhausted));
    preemption_request other = about_to_be_late;
    other.account = "other";
    BOOST_TEST((budget.check(other, start) == preemption_verdict::allowed));
    // 100 core-seconds below zero; growth is 4 a second.
    const boot_time later = start + milliseconds(35'000);
    budget.begin_round(later);
    BOOST_TEST((budget.check_cost(about_to_be_late, 40, later) == preemption_verdict::allowed));
    BOOST_TEST((budget.check_cost(about_to_be_late, 41, later) == preemption_verdict::exhausted));
    // A full budget pays for a stop that costs more than its size.
    BOOST_TEST((budget.check_cost(other, 1'000, later) == preemption_verdict::allowed));
}

BOOST_AUTO_TEST_CASE(of_urgent_work_beyond_the_guarantee_is_larger_but_not_endless)
{
    preemption_budget budget;
    const preemption_request urgent = make_request(work_rank::urgent, milliseconds(100));
    budget.charge(urgent, regular_budget * 2, start);
    BOOST_TEST((budget.check(urgent, start) == preemption_verdict::allowed));
    budget.charge(urgent, urgent_budget, start);
    BOOST_TEST((budget.check(urgent, start) == preemption_verdict::exhausted));
    BOOST_TEST((budget.check(about_to_be_late, start) == preemption_verdict::allowed));
}

BOOST_AUTO_TEST_CASE(never_limits_guaranteed_work)
{
    preemption_budget budget;
    const preemption_request guaranteed = make_request(work_rank::guaranteed_urgent, milliseconds(-9'000));
    budget.charge(guaranteed, 1e9, start);
    BOOST_TEST((budget.check(guaranteed, start) == preemption_verdict::allowed));
    BOOST_TEST((budget.check_cost(guaranteed, 1e9, start) == preemption_verdict::allowed));
    for (const auto protection : {preemption_protection::from_regular, preemption_protection::from_unguaranteed})
        BOOST_TEST(preemption_budget::may_stop(protection, work_rank::guaranteed_urgent, false));
}

// Guards against one unit that is stopped over and over without progress.
BOOST_AUTO_TEST_CASE(protects_a_unit_until_it_has_gained_what_a_stop_costs)
{
    const auto find = [](bool was_stopped, std::int64_t run_ms, std::uint32_t stops) {
        return preemption_budget::find_protection({was_stopped, milliseconds(run_ms), 64, stops});
    };
    BOOST_TEST((find(false, 0, 0) == preemption_protection::none));
    // 250 ms restore, then more than 250 + 900 ms + 5 / 64 s.
    BOOST_TEST((find(true, 1'470, 1) == preemption_protection::from_unguaranteed));
    BOOST_TEST((find(true, 1'480, 1) == preemption_protection::from_regular));
    BOOST_TEST((find(true, 5'000, 1) == preemption_protection::none));
    BOOST_TEST((find(true, 60'000, 3) == preemption_protection::from_regular));
    BOOST_TEST(!preemption_budget::may_stop(preemption_protection::from_regular, work_rank::regular, false));
    BOOST_TEST(preemption_budget::may_stop(preemption_protection::from_regular, work_rank::regular, true));
    BOOST_TEST(preemption_budget::may_stop(preemption_protection::from_regular, work_rank::urgent, false));
    BOOST_TEST(!preemption_budget::may_stop(preemption_protection::from_unguaranteed, work_rank::regular, true));
}

BOOST_AUTO_TEST_CASE(serves_starving_units_one_after_the_other_whatever_is_left)
{
    preemption_budget budget;
    preemption_request older = make_request(work_rank::regular, milliseconds(-50'000), milliseconds(41'000));
    older.job = "older";
    const preemption_request younger = make_request(work_rank::regular, milliseconds(-50'000), milliseconds(40'000));
    budget.charge(older, 1'000, start);
    const auto run_round = [&](boot_time now) {
        budget.begin_round(now);
        static_cast<void>(budget.check(younger, now));
        static_cast<void>(budget.check(older, now));
    };
    run_round(start);
    run_round(start);
    BOOST_TEST(budget.is_override_due(older, start));
    BOOST_TEST(!budget.is_override_due(younger, start));
    BOOST_TEST((budget.check_cost(older, 500, start) == preemption_verdict::allowed));
    budget.record_override(start);
    BOOST_TEST(!budget.is_override_due(older, start + milliseconds(999)));
    BOOST_TEST(budget.is_override_due(older, start + milliseconds(1'000)));
    // Nothing can be reserved for it.
    budget.pass_over("older", start);
    run_round(start + milliseconds(1'000));
    run_round(start + milliseconds(1'000));
    BOOST_TEST(budget.is_override_due(younger, start + milliseconds(1'000)));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(on_a_crowded_fleet)

// Guards against the measured fault: one background job was stopped 439 times in a day.
BOOST_AUTO_TEST_CASE(a_background_job_is_not_stopped_over_and_over_for_regular_work)
{
    std::map<bool, std::ptrdiff_t> stops;
    for (const bool bounds : {false, true}) {
        crowded_fleet fleet(bounds);
        const std::string background = fleet.add("q2", executor_count, 60'000);
        fleet.decide();
        fleet.send_regular_stream_of_many_accounts(40); // Each account has a full budget.
        stops[bounds] = fleet.count_events("preempted", background);
    }
    BOOST_TEST(stops[true] == static_cast<std::ptrdiff_t>(protected_after_stops));
    BOOST_TEST(stops[false] >= 4 * stops[true]);
}

BOOST_AUTO_TEST_CASE(regular_work_that_would_be_late_is_saved_within_the_budget)
{
    crowded_fleet fleet;
    fleet.fill(60'000);
    fleet.pass(4'000);
    const std::string saved = fleet.add_about_to_be_late();
    fleet.pass(1'900);
    BOOST_TEST(fleet.has_started(saved));
    BOOST_TEST(fleet.count_events("preempted") == 1);
    // One that has time waits for the room.
    fleet.add("q1", 1, 8'000);
    fleet.pass(8'000);
    BOOST_TEST(fleet.count_events("preempted") == 1);
    // The same account's next ones use up its budget.
    fleet.use_up_regular_budget();
    BOOST_TEST(fleet.count_events("preempted") > 2);
    BOOST_TEST(fleet.count_events("preemption_refused") >= 1);
    for (const dispatch_event& event : fleet.events) {
        if (event.name == "preemption_refused")
            BOOST_TEST(fleet.count_events("preemption_refused", event.job) == 1);
    }
}

// The guarantee rule of the page: all tasks start within 2,900 ms.
BOOST_AUTO_TEST_CASE(guaranteed_urgent_work_gets_its_accelerators_although_all_budgets_are_empty)
{
    crowded_fleet fleet;
    fleet.stop_time = milliseconds(900);
    fleet.fill(120'000);
    fleet.use_up_regular_budget();
    BOOST_TEST(fleet.count_events("preemption_refused") >= 1);
    for (int burst = 0; burst < 5; ++burst) {
        const std::string guaranteed =
            fleet.add(crowded_fleet::make_submission("q0", "guaranteed", executor_count, 8, 2'000, true));
        fleet.pass(2'900);
        BOOST_TEST(fleet.has_started(guaranteed));
        fleet.pass(1'500);
    }
}

// Guards against the fault of the trial that forbade such stops: an accepted job never ran. Nothing of the running work
// may be stopped for it otherwise.
BOOST_AUTO_TEST_CASE(a_job_that_waits_for_long_stops_what_was_stopped_often)
{
    crowded_fleet fleet;
    for (const std::string& id : fleet.fill(120'000))
        fleet.dispatch.job_runs().find(id)->preemptions = protected_after_stops;
    fleet.pass(2'000);
    const std::string wide = fleet.add("q1", executor_count, 2'000, true);
    fleet.pass(starvation_wait.count());
    BOOST_TEST(!fleet.has_started(wide));
    fleet.pass(3'000);
    BOOST_TEST(fleet.has_started(wide));
}

// Guards against a stream of narrow jobs, none of which may be stopped, that never leaves room for a wide one.
BOOST_AUTO_TEST_CASE(a_wide_job_that_waits_for_long_gets_the_executors_whose_work_ends)
{
    crowded_fleet fleet;
    std::string wide;
    for (int arrival = 0; arrival < 50; ++arrival) {
        fleet.add(crowded_fleet::make_submission("q0", "narrow", 1, 8, 3'000));
        fleet.pass(750); // Four executors run just this much.
        if (arrival == 4)
            wide = fleet.add("q2", executor_count, 2'000, true);
    }
    BOOST_TEST(fleet.has_started(wide));
}

// Guards against stops whose room other work takes, and against further stops meanwhile.
BOOST_AUTO_TEST_CASE(a_slow_stop_serves_the_unit_that_it_was_made_for)
{
    crowded_fleet fleet;
    fleet.stop_time = milliseconds(2'500);
    fleet.add("q2", executor_count, 60'000);
    fleet.decide();
    fleet.pass(4'000);
    const std::string first = fleet.add_about_to_be_late();
    fleet.pass(1'800);
    BOOST_TEST(fleet.count_events("preempted") == 1);
    // Has less slack left, so it is served earlier when room becomes free.
    const std::string second = fleet.add(crowded_fleet::make_submission("q1", "other", 1, 8, 2'000));
    fleet.dispatch.job_runs().find(second)->arrived_at = fleet.now - milliseconds(4'000);
    fleet.pass(1'000);
    BOOST_TEST(fleet.has_started(first));
    BOOST_TEST(!fleet.has_started(second));
    BOOST_TEST(fleet.count_events("preempted") == 1);
}

BOOST_AUTO_TEST_CASE(the_unit_that_has_just_saved_a_checkpoint_is_stopped_first)
{
    crowded_fleet fleet;
    std::vector<std::string> background;
    for (int row = 0; row < executor_count; ++row) {
        background.push_back(fleet.add("q2", 1, 60'000));
        fleet.decide();
        fleet.pass(300);
    }
    // Job 3 saved its newest checkpoint 100 ms ago, the others 400, 700 and 1,000 ms ago.
    fleet.pass(1'500);
    fleet.add_about_to_be_late();
    fleet.decide();
    BOOST_TEST(fleet.count_events("preempted") == 1);
    double lowest = 1e9;
    std::string expected;
    for (const std::string& id : background) {
        const work_unit& unit = fleet.dispatch.job_runs().find(id)->units[0];
        const double age =
            static_cast<double>((fleet.now - unit.checkpoint_changed_at.value_or(unit.placed_at)).count());
        if (age < lowest) {
            lowest = age;
            expected = id;
        }
    }
    BOOST_TEST(fleet.count_events("preempted", expected) == 1);
}

BOOST_AUTO_TEST_CASE(work_that_is_about_to_end_is_awaited_and_not_stopped)
{
    crowded_fleet fleet;
    fleet.add("q2", executor_count - 1, 60'000);
    fleet.add("q2", 1, 3'000);
    fleet.decide();
    fleet.pass(2'300);
    const std::string regular = fleet.add_about_to_be_late();
    fleet.pass(1'000);
    BOOST_TEST(fleet.has_started(regular));
    BOOST_TEST(fleet.count_events("preempted") == 0);
}

// The page allows one additional budget after a takeover.
BOOST_AUTO_TEST_CASE(a_new_leader_begins_with_full_budgets_and_knows_no_stops)
{
    crowded_fleet fleet;
    const std::vector<std::string> background = fleet.fill(60'000);
    fleet.use_up_regular_budget();
    BOOST_TEST(fleet.count_events("preemption_refused") >= 1);
    dispatcher next({milliseconds(6'000), milliseconds(900), milliseconds(5'000), {.bounds_preemption = true}},
                    fleet.now);
    next.set_policy(fleet.policy);
    fleet.add_executors(next);
    std::uint32_t former_stops = 0;
    for (const std::string& id : background) {
        job_run& former = *fleet.dispatch.job_runs().find(id);
        former_stops += former.preemptions;
        // As if placed, since the former leader's regular jobs are left out here.
        records::JobProgress progress;
        progress.set_phase(records::JOB_PHASE_RUNNING);
        progress.add_executors()->set_id("e" + std::to_string(&id - background.data()));
        records::UnitProgress& unit = *progress.add_units();
        unit.set_run(former.units[0].run + 1);
        unit.add_placed_on(0);
        next.add_job(id, former.submission, progress, 0, fleet.now);
        BOOST_TEST(next.job_runs().find(id)->preemptions == 0U);
    }
    BOOST_TEST(former_stops >= 1U);
    next.add_job("regular", crowded_fleet::make_submission("q1", "other", 1, 8, 2'000), {}, 0, fleet.now);
    next.job_runs().find("regular")->arrived_at = fleet.now - milliseconds(2'850);
    next.decide(0, fleet.now);
    BOOST_TEST(std::ranges::count(next.take_events(), std::string("preempted"), &dispatch_event::name) == 1);
}

// The decisions of the build before the bounds existed on the same load, reduced to a number.
BOOST_AUTO_TEST_CASE(without_the_option_the_decisions_are_as_before)
{
    crowded_fleet fleet(false);
    std::mt19937_64 random(20261204);
    const auto draw = [&random](std::uint32_t limit) { return static_cast<std::uint32_t>(random() % limit); };
    for (int second = 0; second < 120; ++second) {
        const std::uint32_t priority = draw(3);
        // One draw a statement: the order in which arguments are evaluated differs between compilers.
        const std::string account = draw(3) == 0 ? "guaranteed" : "other";
        const std::uint32_t tasks = 1 + draw(4);
        const std::uint32_t accelerators = 1U << draw(4);
        const std::uint32_t estimate_ms = 1'000 + 500 * draw(10);
        const bool is_gang = draw(2) == 0;
        records::Submission submission = crowded_fleet::make_submission("q" + std::to_string(priority), account, tasks,
                                                                        accelerators, estimate_ms, is_gang);
        submission.mutable_steps(0)->set_checkpointing(draw(2) == 0);
        fleet.add(submission);
        fleet.pass(500);
    }
    std::uint64_t digest = 0;
    std::uint64_t decisions = 0;
    for (const dispatch_event& event : fleet.events) {
        if (event.name != "placed" && event.name != "preempted")
            continue;
        ++decisions;
        const std::string text = event.name + event.job + event.detail.substr(0, event.detail.find(" lost="));
        for (const char letter : text)
            digest = digest * 1'099'511'628'211U + static_cast<unsigned char>(letter);
    }
    BOOST_TEST(fleet.count_events("preempted") == 68);
    BOOST_TEST(decisions == 209U);
    BOOST_TEST(digest == 6'016'537'839'653'198'486U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

} // namespace wigeon
