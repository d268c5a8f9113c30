// Runs one leader after another against a model of the fleet under random faults: changes of leader, executors that
// fail, restart or are partitioned, orders and answers that are late or lost, and appends that take seconds, so that
// executors have more ends to report than one answer lists. The records of units and of phases are separate appends, of
// which a leader that is replaced may have completed one, both or none. Checks that
// - no task runs twice at once, or starts after its recorded end, before the steps that it depends on, after its last
//   attempt or after its job was cancelled;
// - no executor is overcommitted;
// - some time after the last fault every job has ended, and in a phase for which there was a cause.

#include <queue>
#include <random>

#include <boost/test/unit_test.hpp>

#include "dispatch/dispatcher.h"
#include "jobs/job_table.h"
#include "jobs/unit_records.h"
#include "models/fleet_model.h"
#include "support/property.h"

namespace wigeon {

namespace {

constexpr dispatch_limits limits{milliseconds(6'000), milliseconds(200), milliseconds(5'000)};
constexpr milliseconds tick{20};
constexpr milliseconds poll_interval{200};
constexpr milliseconds max_delay{30};         // Of a message or an append that is not late.
constexpr std::uint32_t directory_ticks = 30; // Mean number of ticks between two reads of the directory.
constexpr milliseconds store_outage{3'000};
constexpr fleet_limits executor_limits{.max_listed_ends = 2};
constexpr milliseconds fault_time{30'000};
constexpr milliseconds recovery_time{60'000};

fleet_policy make_policy()
{
    fleet_policy policy;
    policy.version = 1;
    for (std::uint32_t priority = 0; priority < 3; ++priority) {
        queue_policy queue;
        queue.name = "q" + std::to_string(priority);
        queue.pool = "pool";
        queue.priority = priority;
        queue.max_attempts = 3;
        queue.stretch = 2;
        policy.queues.push_back(queue);
    }
    policy.accounts.push_back({"account", {"key"}, 16});
    return policy;
}

// Runs one leader after another against the fleet model. All events are drawn from the seed.
class fault_scenario {
public:
    fault_scenario(std::uint64_t seed, progress_format record_format)
        : random(seed), format(record_format), fleet(executor_limits)
    {
        for (int row = 0; row < 8; ++row) {
            executor_entry entry;
            entry.id = "e" + std::to_string(row);
            entry.pool = "pool";
            entry.rack = "r" + std::to_string(row / 4);
            entry.capacity = {64'000, 128'000, 8};
            this->fleet.add_executor(entry, this->now);
            this->is_partitioned[entry.id] = false;
        }
        this->start_leader();
    }

    void run()
    {
        this->has_faults = true;
        const boot_time faults_end = this->now + fault_time;
        while (this->now < faults_end) {
            if (this->draw(40) == 0 && this->accepted.size() < 40)
                this->submit();
            if (this->draw(250) == 0)
                this->replace_leader();
            if (this->draw(150) == 0)
                this->cancel();
            if (this->draw(200) == 0)
                this->fleet.make_executor_fail("e" + std::to_string(this->draw(8)));
            if (this->draw(100) == 0)
                this->fleet.make_executor_succeed("e" + std::to_string(this->draw(8)));
            if (this->draw(200) == 0)
                this->fleet.restart("e" + std::to_string(this->draw(8)), this->now);
            if (this->draw(150) == 0) {
                const std::string id = "e" + std::to_string(this->draw(8));
                this->is_partitioned[id] = !this->is_partitioned[id];
            }
            this->advance();
        }
        this->has_faults = false;
        for (auto& [id, partitioned] : this->is_partitioned) {
            partitioned = false;
            this->fleet.make_executor_succeed(id);
        }
        const boot_time end = this->now + recovery_time;
        while (this->now < end)
            this->advance();
    }

    [[nodiscard]] std::vector<std::string> list_violations() const
    {
        std::vector<std::string> all = this->fleet.violations();
        all.insert(all.end(), this->violations.begin(), this->violations.end());
        for (const auto& [id, record] : this->progress) {
            if (record.phase() == records::JOB_PHASE_COMPLETED && !this->fleet.is_job_done(id))
                all.push_back("completed, but not done: " + id);
            if (record.phase() == records::JOB_PHASE_FAILED && !this->fleet.has_used_up_attempts(id))
                all.push_back("failed without cause: " + id);
            if (record.phase() == records::JOB_PHASE_CANCELLED && !this->cancelled_at.contains(id))
                all.push_back("cancelled by nobody: " + id);
        }
        if (this->fleet.count_running() > 0)
            all.push_back("a task still runs");
        return all;
    }

    [[nodiscard]] std::size_t count_open_jobs() const
    {
        std::size_t open = 0;
        for (const std::string& job : this->accepted) {
            const auto found = this->progress.find(job);
            if (found == this->progress.end() || !is_final(found->second.phase()))
                ++open;
        }
        return open;
    }

    // Records of units that were not removed from the store.
    [[nodiscard]] std::size_t count_unit_records() const { return this->units.size(); }

private:
    struct event {
        boot_time at;
        std::uint64_t order = 0;
        std::function<void()> action;
        friend bool operator<(const event& left, const event& right)
        {
            return std::tie(left.at, left.order) > std::tie(right.at, right.order);
        }
    };

    std::uint32_t draw(std::uint32_t limit)
    {
        return std::uniform_int_distribution<std::uint32_t>(0, limit - 1)(this->random);
    }

    void schedule(milliseconds delay, std::function<void()> action)
    {
        this->events.push({this->now + delay, ++this->event_count, std::move(action)});
    }

    void submit()
    {
        const std::string id = "job" + std::to_string(this->accepted.size());
        records::Submission submission;
        submission.set_queue("q" + std::to_string(this->draw(3)));
        submission.set_account("account");
        const std::uint32_t steps = 1 + this->draw(2);
        for (std::uint32_t row = 0; row < steps; ++row) {
            records::Step& step = *submission.add_steps();
            step.set_count(1 + this->draw(5));
            step.set_cpu_millicores(8'000);
            step.set_memory_mb(10'000);
            step.set_accelerators(1 + this->draw(4));
            step.set_estimate_ms(300 + this->draw(3'000));
            step.set_gang(this->draw(2) == 0);
            step.set_same_rack(this->draw(2) == 0);
            step.set_checkpointing(this->draw(2) == 0);
            if (row > 0)
                step.add_after(row - 1);
        }
        // Occurrences are due from the start, one after the other or all at once.
        if (this->draw(4) == 0) {
            submission.set_occurrences(2 + this->draw(3));
            submission.set_interval_ms(this->draw(2) == 0 ? 0 : 2'000);
            submission.set_first_due_ms(this->read_wall_clock());
        }
        this->submissions[id] = submission;
        this->table.apply_submission_record({id, submission.SerializeAsString()}, this->now);
        this->accepted.push_back(id);
        this->fleet.define_job(id, submission);
        if (this->leader)
            this->leader->add_job(id, submission, {}, 0, this->now);
    }

    [[nodiscard]] std::int64_t read_wall_clock() const { return this->now.time_since_epoch().count(); }

    void cancel()
    {
        if (this->accepted.empty())
            return;
        const std::string id = this->accepted[this->draw(static_cast<std::uint32_t>(this->accepted.size()))];
        this->cancelled_at.try_emplace(id, this->now);
        this->leader->cancel_job(id, this->now);
    }

    void start_leader()
    {
        ++this->term;
        this->leader = std::make_unique<dispatcher>(limits, this->now);
        this->leader->set_policy(make_policy());
        this->leader->set_progress_format(this->format);
        for (const executor_entry& entry : this->fleet.list_entries())
            this->leader->update_executor(entry, this->now);
        for (const std::string& id : this->accepted) {
            if (const auto restored = this->restore_progress(id))
                this->leader->add_job(id, this->submissions[id], *restored, 0, this->now);
        }
        for (const auto& [id, when] : this->cancelled_at)
            this->leader->cancel_job(id, this->now);
        this->is_append_in_flight = false;
        this->is_polling.clear();
    }

    // The orders of the former leader stay in flight; its appends are fenced off from the claim on.
    void replace_leader()
    {
        this->leader.reset();
        this->start_leader();
    }

    void advance()
    {
        this->now += tick;
        while (!this->events.empty() && this->events.top().at <= this->now) {
            const auto action = this->events.top().action;
            this->events.pop();
            action();
        }
        this->fleet.advance(this->now);
        const bool is_directory_read = this->draw(directory_ticks) == 0;
        for (const executor_entry& entry : this->fleet.list_entries()) {
            if (is_directory_read)
                this->leader->update_executor(entry, this->now);
            if (!this->is_polling[entry.id])
                this->poll(entry.id);
        }
        if (!this->is_append_in_flight) {
            this->leader->decide(static_cast<std::uint64_t>(this->read_wall_clock()), this->now);
            this->append(this->leader->collect_changes());
        }
        for (const stop_order& order : this->leader->collect_stops(this->now))
            this->stop(order);
    }

    milliseconds draw_delay() { return milliseconds(1 + this->draw(static_cast<std::uint32_t>(max_delay.count()))); }

    void poll(const std::string& id)
    {
        this->is_polling[id] = true;
        executor& target = *this->leader->executors().find(id);
        poll_request request;
        request.fencing_token = this->term;
        request.end_to_acknowledge = target.find_end_to_acknowledge();
        if (target.is_reached)
            request.lease_deadline = this->leader->executors().extend_lease(target, this->now);
        const boot_time sent_at = this->now;
        const std::uint64_t sender_term = this->term;
        const auto release = [this, id, sender_term] {
            if (this->term == sender_term)
                this->is_polling[id] = false;
        };
        if (this->is_partitioned[id] || (this->has_faults && this->draw(60) == 0)) {
            this->schedule(milliseconds(1'000), [this, id, sender_term, release] {
                if (this->term == sender_term)
                    this->leader->executors().find(id)->last_poll_sent_at.reset();
                release();
            });
            return;
        }
        const std::uint64_t incarnation_ms = this->fleet.find_incarnation(id);
        this->schedule(this->draw_delay(), [this, id, request, sent_at, sender_term, release, incarnation_ms] {
            // The connection was lost when the executor restarted.
            if (this->fleet.find_incarnation(id) != incarnation_ms) {
                if (this->term == sender_term)
                    this->leader->executors().find(id)->last_poll_sent_at.reset();
                release();
                return;
            }
            const poll_result result = this->fleet.poll(id, request, this->now);
            this->schedule(this->draw_delay(), [this, id, result, sent_at, sender_term] {
                if (this->term == sender_term && result.outcome == request_outcome::accepted)
                    this->leader->handle_poll_report(id, result.report, sent_at, this->now);
            });
            this->schedule(poll_interval, release);
        });
    }

    void append(dispatch_changes changes)
    {
        if (changes.is_empty())
            return;
        this->is_append_in_flight = true;
        const std::uint64_t sender_term = this->term;
        const milliseconds outage = this->has_faults && this->draw(200) == 0 ? store_outage : milliseconds(0);
        this->schedule(outage + this->draw_delay(), [this, changes, sender_term] {
            if (this->term != sender_term)
                return;
            for (const dispatch_changes::job_record& record : changes.records)
                this->progress[record.job] = record.progress;
            for (const dispatch_changes::unit_record& record : changes.units) {
                if (record.content)
                    this->units[record.key] = record.content->SerializeAsString();
                else
                    this->units.erase(record.key);
            }
        });
        this->schedule(outage + this->draw_delay(), [this, changes, sender_term] {
            if (this->term != sender_term)
                return;
            for (const dispatch_changes::phase_record& record : changes.phases)
                this->progress[record.job].set_phase(record.phase);
        });
        // Both delays above are at most this long.
        this->schedule(outage + max_delay, [this, changes = std::move(changes), sender_term] {
            this->schedule(this->draw_delay(), [this, changes, sender_term] {
                if (this->term != sender_term)
                    return;
                this->is_append_in_flight = false;
                for (const start_order& order : this->leader->confirm_changes(changes, this->now))
                    this->start(order);
            });
        });
    }

    void start(const start_order& order)
    {
        if (this->cancelled_at.contains(order.reference.job))
            this->violations.push_back("order to start a task of a cancelled job: " + order.task);
        executor& target = *this->leader->executors().find(order.executor);
        const milliseconds deadline = this->leader->executors().extend_lease(target, this->now);
        const std::uint64_t sender_term = this->term;
        const bool is_unreachable = this->is_partitioned[order.executor];
        const bool is_late = this->has_faults && this->draw(15) == 0;
        const bool is_answer_lost = this->has_faults && this->draw(25) == 0;
        const auto answer = [this, order, sender_term](start_answer outcome) {
            if (this->term == sender_term)
                this->leader->handle_start_answer(order, outcome, this->now);
        };
        if (is_unreachable || is_late || is_answer_lost)
            this->schedule(milliseconds(1'000), [answer] { answer(start_answer::unknown); });
        if (is_unreachable)
            return;
        const milliseconds delay = is_late ? milliseconds(2'000 + this->draw(10'000)) : this->draw_delay();
        const bool is_answered = !is_late && !is_answer_lost;
        // An order that waits inside an executor is lost when the executor restarts; one that is still in flight
        // reaches the next incarnation.
        const std::uint64_t incarnation_ms = this->fleet.find_incarnation(order.executor);
        this->schedule(delay, [this, order, deadline, sender_term, answer, is_answered, is_late, incarnation_ms] {
            if (is_late && this->fleet.find_incarnation(order.executor) != incarnation_ms) {
                answer(start_answer::unknown);
                return;
            }
            const order_result result = this->fleet.start(order, deadline, sender_term, this->now);
            if (!is_answered)
                return;
            this->schedule(this->draw_delay(), [answer, result] {
                answer(result.outcome == request_outcome::accepted ? start_answer::accepted : start_answer::refused);
            });
        });
    }

    void stop(const stop_order& order)
    {
        const std::uint64_t sender_term = this->term;
        // Not carried out: the executor is partitioned, or it sheds the order.
        const bool is_lost = this->is_partitioned[order.executor] || (this->has_faults && this->draw(15) == 0);
        const milliseconds delay = is_lost ? milliseconds(1'000) : this->draw_delay();
        this->schedule(delay, [this, order, sender_term, is_lost] {
            if (!is_lost)
                this->fleet.stop(order, sender_term, this->now);
            this->schedule(this->draw_delay(), [this, order, sender_term, is_lost] {
                if (this->term == sender_term)
                    this->leader->handle_stop_answer(order, !is_lost, this->now);
            });
        });
    }

    // What a new leader reads of the job: nothing for one that has ended and none of whose units has a record.
    std::optional<records::JobProgress> restore_progress(const std::string& id)
    {
        records::JobProgress stored = this->progress[id];
        if (this->format == progress_format::per_job)
            return stored;
        unit_progress_collector collector(this->table);
        for (const auto& [key, content] : this->units)
            collector.add({key, content});
        records::JobProgress restored = collector.finish()[id];
        if (is_final(stored.phase()) && restored.units().empty() && restored.finished().empty())
            return std::nullopt;
        restored.set_phase(stored.phase());
        return restored;
    }

    std::mt19937_64 random;
    progress_format format;
    fleet_model fleet;
    boot_time now{milliseconds(1'000'000)};
    std::unique_ptr<dispatcher> leader;
    std::uint64_t term = 0;
    std::map<std::string, bool> is_partitioned;
    std::map<std::string, bool> is_polling;
    std::map<std::string, records::Submission> submissions;
    job_table table;                                      // Of the submissions.
    std::map<std::string, records::JobProgress> progress; // Content of the store; only the phases if there are units.
    std::map<std::string, std::string> units;             // Content of the topic of units.
    std::vector<std::string> accepted;
    std::map<std::string, boot_time> cancelled_at;
    std::vector<std::string> violations;
    std::priority_queue<event> events;
    std::uint64_t event_count = 0;
    bool is_append_in_flight = false;
    bool has_faults = false;
};

void check_faults(progress_format format)
{
    test::check_property("random faults", [format](std::uint64_t seed) {
        fault_scenario scenario(seed, format);
        scenario.run();
        const std::vector<std::string> violations = scenario.list_violations();
        for (const std::string& violation : violations)
            BOOST_TEST_MESSAGE("seed " << seed << ": " << violation);
        RC_ASSERT(violations.empty());
        RC_ASSERT(scenario.count_open_jobs() == 0U);
        RC_ASSERT(scenario.count_unit_records() == 0U);
    });
}

} // namespace

BOOST_AUTO_TEST_SUITE(leader_property_story)

BOOST_AUTO_TEST_SUITE(no_fault_makes_a_task_run_twice_or_loses_a_job)

BOOST_AUTO_TEST_CASE(where_progress_is_recorded_per_unit)
{
    check_faults(progress_format::per_unit);
}

BOOST_AUTO_TEST_CASE(where_progress_is_recorded_per_job)
{
    check_faults(progress_format::per_job);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

} // namespace wigeon
