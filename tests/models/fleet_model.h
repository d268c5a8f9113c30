// A model of executors for tests: fencing tokens, run numbers, leases, gangs, ends, room. It notes what no scheduler
// may ever cause. Time is an argument, so that a test plays days in milliseconds.

#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "jobs.pb.h"
#include "jobs/job_keys.h"
#include "node/executor_service.h"

namespace wigeon {

struct fleet_limits {
    milliseconds max_lease{6'000};
    milliseconds gang_timeout{3'000}; // For which a member waits for the others.
    std::uint32_t max_attempts = 3;   // Failed runs after which a task must not be started again.
};

class fleet_model {
public:
    explicit fleet_model(fleet_limits given_limits) : limits(given_limits) {}

    // `clock_rate` is that of its steady clock in thousandths; leases are measured on it.
    void add_executor(const executor_entry& entry, boot_time now, int clock_rate = 1'000);

    // Tasks of the job run for the estimate of their step.
    void define_job(const std::string& job, const records::Submission& submission);

    // Every run of this task fails at its end, or of every task on this executor.
    void make_task_fail(const std::string& task) { this->failing_tasks.insert(task); }
    void make_executor_fail(const std::string& id) { this->failing_executors.insert(id); }
    void make_executor_succeed(const std::string& id) { this->failing_executors.erase(id); }

    // Whether all tasks of the job have ended done, and whether one, or a gang, has failed as often as it may.
    [[nodiscard]] bool is_job_done(const std::string& job) const;
    [[nodiscard]] bool has_used_up_attempts(const std::string& job) const;

    poll_result poll(const std::string& id, const poll_request& request, boot_time now);
    order_result start(const start_order& order, milliseconds deadline, std::uint64_t token, boot_time now);
    order_result stop(const stop_order& order, std::uint64_t token, boot_time now);

    // Ends what is done, lapsed or left alone by now.
    void advance(boot_time now);

    // The executor loses all it knew, and is up again under its id with a new birth.
    void restart(const std::string& id, boot_time now);

    // Tells the lives of an executor apart.
    [[nodiscard]] std::uint64_t find_incarnation(const std::string& id) const
    {
        return this->executors.at(id).entry.incarnation_ms;
    }

    [[nodiscard]] const std::vector<std::string>& violations() const { return this->violation_messages; }
    [[nodiscard]] std::size_t count_running() const;
    [[nodiscard]] std::vector<executor_entry> list_entries() const;
    [[nodiscard]] const std::set<std::string>& started_jobs() const { return this->jobs_started; }
    [[nodiscard]] std::uint64_t starts() const { return this->start_count; }
    [[nodiscard]] const std::map<std::string, std::uint32_t>& done_counts() const { return this->done_by_task; }

private:
    struct run_state {
        std::uint32_t run = 0;
        boot_time started_at;
        std::optional<boot_time> complete_since; // All members of the gang are present.
        milliseconds worked{0};
        resources task_resources;
    };

    struct executor_state {
        executor_entry entry;
        boot_time clock_started_at;
        int clock_rate = 1'000;
        std::uint64_t token = 0;
        milliseconds lease_expiry{0}; // On its own clock.
        std::map<std::string, run_state> running;
        std::vector<ended_task> ended;
        std::map<std::string, std::uint32_t> highest_ended; // Run by task, stopped or ended here.
        std::uint64_t last_sequence = 0;
        resources used;
    };

    [[nodiscard]] static milliseconds read_clock(const executor_state& executor, boot_time now)
    {
        return (now - executor.clock_started_at) * executor.clock_rate / 1'000;
    }
    void end_run(executor_state& executor, const std::string& task, run_outcome outcome, boot_time now);
    void extend_lease(executor_state& executor, milliseconds deadline, boot_time now);
    [[nodiscard]] const records::Step* find_step(const std::string& task) const;
    [[nodiscard]] std::vector<std::string> list_gang_tasks(const std::string& task) const;
    [[nodiscard]] std::uint32_t find_percent(const std::string& task, const run_state& run, boot_time now) const;
    void check_step_order(const std::string& task, const records::Step& step);
    void check_attempts(const std::string& task);
    [[nodiscard]] bool is_step_done(const std::string& job, std::uint32_t occurrence, std::uint32_t row) const;
    [[nodiscard]] std::uint32_t count_failures(const std::string& task,
                                               const std::map<std::string, std::uint32_t>& counts) const;
    executor_state* find_executor_of(const std::string& task, std::uint32_t run);

    fleet_limits limits;
    std::map<std::string, executor_state> executors;
    std::map<std::string, records::Submission> jobs;
    std::set<std::string> failing_tasks;
    std::set<std::string> failing_executors;
    std::set<std::string> recorded_done;                    // Tasks whose end `done` was taken note of.
    std::map<std::string, std::uint32_t> recorded_failures; // Ends `failed` that were taken note of, by task.
    std::map<std::string, std::uint32_t> failed_by_task;
    std::map<std::string, std::uint32_t> done_by_task; // Ends `done`, of any run.
    std::vector<std::string> violation_messages;
    std::set<std::string> jobs_started;
    std::uint64_t start_count = 0;
    std::uint64_t last_incarnation = 0;
};

} // namespace wigeon
