// Tests that guarantees hold under random submissions, completions, cancellations, worker losses and configuration
// patches.

#include <algorithm>
#include <array>
#include <random>

#include "placement/planner.h"
#include "state/job_rules.h"
#include "state/record_generator.h"
#include "support/property.h"

namespace wigeon::test {

namespace {

// A replicated state that the planner's decisions are applied to, without workers. Jobs in state JOB_STOPPING leave
// their workers when finish_stops() is called.
class simulated_fleet {
public:
    simulated_fleet(const Configuration& configuration, const std::string& policy)
        : job_planner(make_placement_policy(policy), planner_options{})
    {
        Record change;
        change.mutable_configuration()->set_base_version(0);
        *change.mutable_configuration()->mutable_whole() = configuration;
        this->append(change);
        Record claim;
        claim.mutable_claim()->set_term(1);
        this->append(claim);
    }

    apply_result append(Record record)
    {
        record.set_author(1);
        record.set_sequence(++this->sequence);
        record.set_time_ms(this->now_ms += 10);
        return this->state.apply(this->state.next_offset(), record.SerializeAsString());
    }

    void append_decisions(const std::vector<Decision>& decisions)
    {
        Record record;
        record.mutable_decisions()->set_term(1);
        for (const Decision& decision : decisions)
            *record.mutable_decisions()->add_decisions() = decision;
        this->append(record);
    }

    // Plans twice: a round that changes bindings places no jobs, so the placements come from the second one.
    void run_planner()
    {
        for (int i = 0; i < 2; ++i)
            this->append_decisions(
                this->job_planner.make_plan(this->state, this->lost_workers, this->lost_workers, this->now_ms)
                    .decisions);
    }

    void finish_stops()
    {
        std::vector<Decision> decisions;
        for (const auto& [id, job] : this->state.jobs()) {
            if (job.state() != JOB_STOPPING)
                continue;
            RequeueJob& requeue = *decisions.emplace_back().mutable_requeue();
            requeue.set_job(id);
            requeue.set_attempt(job.attempt());
        }
        this->append_decisions(decisions);
    }

    void finish_job(const Job& job)
    {
        Decision decision;
        decision.mutable_end()->set_job(job.id());
        decision.mutable_end()->set_attempt(job.attempt());
        decision.mutable_end()->set_state(JOB_FINISHED);
        this->append_decisions({decision});
    }

    apply_result submit(const JobRequest& job)
    {
        Record record;
        *record.mutable_submit() = job;
        return this->append(record);
    }

    replicated_state state;
    worker_set lost_workers;
    std::uint64_t now_ms = 1'000'000;

private:
    planner job_planner;
    std::uint64_t sequence = 0;
};

// Checks the invariant with counts of its own: on each worker, bound accelerators and accelerators in use do not exceed
// the capacity, and jobs within a guarantee do not exceed what is bound to their account. As long as it holds, stopping
// all other jobs frees each unused guarantee at once.
void check_guarantees(const simulated_fleet& fleet)
{
    std::map<std::string, std::uint32_t> bound_on_worker;
    std::map<std::pair<std::string, std::string>, std::uint32_t> bound;
    for (const auto& [account, binding] : fleet.state.bindings()) {
        for (const BoundCell& cell : binding.cells()) {
            for (const TaskPlacement& block : cell.blocks()) {
                bound_on_worker[block.worker()] += block.accelerators();
                bound[{account, block.worker()}] += block.accelerators();
            }
        }
    }
    std::map<std::string, std::uint32_t> used;
    std::map<std::pair<std::string, std::string>, std::uint32_t> used_in_guarantee;
    const fleet_view view(fleet.state, {});
    for (const placed_job& placed : view.placed()) {
        for (const TaskPlacement& placement : placed.job->placements()) {
            used[placement.worker()] += placement.accelerators();
            if (placed.is_within_guarantee)
                used_in_guarantee[{placed.job->request().account(), placement.worker()}] += placement.accelerators();
        }
    }
    for (const Worker& worker : fleet.state.configuration().workers()) {
        RC_ASSERT(used[worker.id()] <= worker.accelerators());
        RC_ASSERT(bound_on_worker[worker.id()] <= worker.accelerators());
    }
    for (const auto& [key, amount] : used_in_guarantee)
        RC_ASSERT(amount <= bound[key]);
}

JobRequest draw_job(std::mt19937_64& random, int accounts, int number)
{
    const std::uint32_t tasks = 1 + static_cast<std::uint32_t>(random() % 3);
    const std::uint32_t accelerators = random() % 2 == 0 ? 8 : 1 + static_cast<std::uint32_t>(random() % 8);
    JobRequest job = make_job("a" + std::to_string(random() % static_cast<unsigned>(accounts)),
                              "j" + std::to_string(number), tasks, accelerators);
    job.set_adjacency(static_cast<Adjacency>(random() % 3));
    constexpr std::array<const char*, 3> classes{"batch", "strict", "urgent"};
    job.set_job_class(classes[random() % classes.size()]);
    return job;
}

Record draw_patch(std::mt19937_64& random, const Configuration& current)
{
    Record record;
    record.mutable_configuration()->set_base_version(current.version());
    Account* account = record.mutable_configuration()->mutable_patch()->add_put_accounts();
    *account = current.accounts(static_cast<int>(random() % static_cast<unsigned>(current.accounts_size())));
    account->clear_guarantees();
    if (random() % 2 == 0) {
        GuaranteedShape* shape = account->add_guarantees();
        shape->set_cells(1 + static_cast<std::uint32_t>(random() % 2));
        shape->set_workers(1 + static_cast<std::uint32_t>(random() % 2));
        shape->set_accelerators(1 + static_cast<std::uint32_t>(random() % 8));
        shape->set_adjacency(ADJACENCY_RACK);
    }
    return record;
}

void apply_random_event(simulated_fleet& fleet, std::mt19937_64& random, int number)
{
    const auto pick_job = [&]() -> const Job* {
        std::vector<const Job*> placed;
        for (const auto& [id, job] : fleet.state.jobs()) {
            if (is_on_workers(job.state()))
                placed.push_back(&job);
        }
        return placed.empty() ? nullptr : placed[random() % placed.size()];
    };
    switch (random() % 8) {
    case 0:
    case 1:
    case 2:
        fleet.submit(draw_job(random, 3, number));
        break;
    case 3:
        if (const Job* job = pick_job())
            fleet.finish_job(*job);
        break;
    case 4:
        if (const Job* job = pick_job()) {
            Record cancel;
            cancel.mutable_cancel()->add_jobs(job->id());
            fleet.append(cancel);
        }
        break;
    case 5:
        fleet.append(draw_patch(random, fleet.state.configuration()));
        break;
    case 6:
        if (random() % 2 == 0)
            fleet.lost_workers.insert("w" + std::to_string(random() % 12));
        else
            fleet.lost_workers.clear();
        break;
    default:
        fleet.finish_stops();
    }
}

} // namespace

BOOST_AUTO_TEST_SUITE(planner_story)

BOOST_AUTO_TEST_SUITE(guarantees)

BOOST_AUTO_TEST_CASE(can_be_reclaimed_at_every_step_by_stopping_borrowers_alone)
{
    check_property("all unused guarantees fit at once beside the jobs within guarantees", [] {
        std::mt19937_64 random(*rc::gen::arbitrary<std::uint64_t>());
        simulated_fleet fleet(make_small_configuration(4, 3, 3, 2), random() % 2 == 0 ? "nested_cells" : "first_fit");
        for (int i = 0; i < 60; ++i) {
            apply_random_event(fleet, random, i);
            fleet.run_planner();
            check_guarantees(fleet);
        }
    });
}

BOOST_AUTO_TEST_CASE(are_reclaimed_when_the_account_submits_a_job)
{
    check_property("after the borrowers have stopped, a job of the guaranteed shape is placed", [] {
        std::mt19937_64 random(*rc::gen::arbitrary<std::uint64_t>());
        simulated_fleet fleet(make_small_configuration(4, 3, 3, 2), "nested_cells");
        // Account a2 submits nothing while the others fill the fleet.
        for (int i = 0; i < 40; ++i) {
            JobRequest job = draw_job(random, 2, i);
            job.set_job_class(random() % 2 == 0 ? "batch" : "urgent");
            fleet.submit(job);
            fleet.run_planner();
        }
        JobRequest wanted = make_job("a2", "wanted", 2, 8);
        wanted.set_job_class("strict");
        fleet.submit(wanted);
        fleet.run_planner();
        check_guarantees(fleet);
        fleet.finish_stops();
        fleet.run_planner();
        RC_ASSERT(fleet.state.find_job("a2/wanted")->state() == JOB_PLACED);
        RC_ASSERT(!fleet.state.find_job("a2/wanted")->is_borrowing());
    });
}

BOOST_AUTO_TEST_CASE(that_lost_their_workers_are_bound_elsewhere_or_reported_as_unmet)
{
    simulated_fleet fleet(make_small_configuration(2, 2, 1, 2), "nested_cells");
    fleet.run_planner();
    const std::string first = fleet.state.bindings().at("a0").cells(0).blocks(0).worker();
    fleet.lost_workers.insert(first);
    fleet.run_planner();
    const BindingState& moved = fleet.state.bindings().at("a0");
    BOOST_TEST(moved.cells_size() == 1);
    BOOST_TEST(moved.cells(0).blocks(0).worker() != first);
    fleet.lost_workers.insert(moved.cells(0).blocks(0).worker());
    fleet.run_planner();
    BOOST_TEST(fleet.state.bindings().at("a0").unmet_cells() == 1U);
}

BOOST_AUTO_TEST_CASE(that_shrink_leave_running_work_as_a_borrower)
{
    simulated_fleet fleet(make_small_configuration(1, 2, 2, 1), "nested_cells");
    JobRequest job = make_job("a0", "kept", 1, 8);
    job.set_job_class("strict");
    fleet.submit(job);
    fleet.run_planner();
    Record patch;
    patch.mutable_configuration()->set_base_version(1);
    Account* account = patch.mutable_configuration()->mutable_patch()->add_put_accounts();
    account->set_name("a0");
    account->set_weight(1);
    fleet.append(patch);
    fleet.run_planner();
    BOOST_TEST(fleet.state.find_job("a0/kept")->state() == JOB_PLACED);
    BOOST_TEST(!fleet_view(fleet.state, {}).placed().front().is_within_guarantee);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(urgent_work)

BOOST_AUTO_TEST_CASE(takes_its_own_accounts_guarantee_from_work_that_is_not_urgent)
{
    simulated_fleet fleet(make_small_configuration(1, 2, 1, 2), "nested_cells");
    fleet.submit(make_job("a0", "slow", 2, 8));
    fleet.run_planner();
    JobRequest urgent = make_job("a0", "urgent", 2, 8);
    urgent.set_job_class("urgent");
    fleet.submit(urgent);
    fleet.run_planner();
    BOOST_TEST(fleet.state.find_job("a0/slow")->state() == JOB_STOPPING);
    fleet.finish_stops();
    fleet.run_planner();
    BOOST_TEST(fleet.state.find_job("a0/urgent")->state() == JOB_PLACED);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(workers_that_fail_every_job)

BOOST_AUTO_TEST_CASE(are_quarantined_after_failures_of_distinct_jobs)
{
    simulated_fleet fleet(make_small_configuration(1, 2, 1, 0), "first_fit");
    for (int i = 0; i < 3; ++i) {
        const std::string key = "victim" + std::to_string(i);
        fleet.submit(make_job("a0", key, 1, 8));
        fleet.run_planner();
        const Job& job = *fleet.state.find_job("a0/" + key);
        Decision decision;
        decision.mutable_requeue()->set_job(job.id());
        decision.mutable_requeue()->set_attempt(job.attempt());
        decision.mutable_requeue()->set_is_own_failure(true);
        decision.mutable_requeue()->set_failed_worker("w0");
        fleet.append_decisions({decision});
    }
    fleet.run_planner();
    BOOST_TEST(fleet.state.quarantines().contains("w0"));
    BOOST_TEST(!fleet.state.quarantines().contains("w1"));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(large_gangs)

BOOST_AUTO_TEST_CASE(are_not_starved_by_a_stream_of_small_jobs)
{
    simulated_fleet fleet(make_small_configuration(2, 4, 2, 0), "nested_cells");
    int number = 0;
    const auto submit_small = [&] { fleet.submit(make_job("a0", "small" + std::to_string(number++), 1, 8)); };
    for (int i = 0; i < 9; ++i)
        submit_small();
    fleet.run_planner();
    fleet.submit(make_job("a1", "large", 4, 8));
    // The job that was placed first finishes, and a new small job is submitted.
    for (int round = 0; round < 40 && fleet.state.find_job("a1/large")->state() == JOB_ACCEPTED; ++round) {
        fleet.now_ms += 2'000;
        const Job* oldest = nullptr;
        for (const auto& [id, job] : fleet.state.jobs()) {
            const bool is_older = oldest == nullptr || job.placed_at_ms() < oldest->placed_at_ms();
            if (is_on_workers(job.state()) && is_older)
                oldest = &job;
        }
        fleet.finish_job(Job(*oldest));
        submit_small();
        fleet.run_planner();
    }
    BOOST_TEST(fleet.state.find_job("a1/large")->state() == JOB_PLACED);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

} // namespace wigeon::test
