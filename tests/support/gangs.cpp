// Builds gang jobs and checks their recorded runs.

#include "support/gangs.h"

#include <algorithm>
#include <map>

#include <boost/test/unit_test.hpp>

namespace wigeon::test {

namespace {

using attempt_key = std::pair<std::string, std::uint32_t>;

std::map<attempt_key, std::vector<task_run>> group_runs(const std::vector<task_run>& runs)
{
    std::map<attempt_key, std::vector<task_run>> groups;
    for (const task_run& run : runs)
        groups[{run.job, run.attempt}].push_back(run);
    return groups;
}

// The longest time in which some tasks of the attempt ran while another was not running and had not finished.
std::uint64_t measure_partial_ms(const std::vector<task_run>& runs, std::uint32_t tasks)
{
    std::uint64_t first_begin = UINT64_MAX;
    std::uint64_t last_begin = 0;
    std::uint64_t first_loss = UINT64_MAX;
    std::uint64_t last_end = 0;
    for (const task_run& run : runs) {
        first_begin = std::min(first_begin, run.begin_ms);
        last_begin = std::max(last_begin, run.begin_ms);
        last_end = std::max(last_end, run.end_ms);
        if (run.state != "TASK_FINISHED" && run.state != "TASK_RUNNING")
            first_loss = std::min(first_loss, run.end_ms);
    }
    if (runs.size() < tasks)
        return last_end - first_begin;
    const std::uint64_t at_start = last_begin - first_begin;
    const std::uint64_t at_end = first_loss == UINT64_MAX || last_end < first_loss ? 0 : last_end - first_loss;
    return std::max(at_start, at_end);
}

bool is_in_state(const cluster& system, const std::string& id, JobState state)
{
    return system.read_job(0, id).state() == state;
}

} // namespace

JobRequest make_gang(const std::string& account, const std::string& key, std::uint32_t tasks, std::uint64_t run_ms,
                     const std::string& job_class)
{
    JobRequest job;
    job.set_account(account);
    job.set_key(key);
    job.set_job_class(job_class);
    job.set_tasks(tasks);
    job.set_accelerators_per_task(8);
    job.set_adjacency(ADJACENCY_RACK);
    job.set_command("run " + std::to_string(run_ms));
    return job;
}

std::uint64_t check_gangs(const std::vector<task_run>& runs, std::uint32_t tasks_per_gang)
{
    std::uint64_t longest = 0;
    std::map<std::string, std::uint64_t> last_end;
    for (const auto& [key, group] : group_runs(runs)) {
        const std::uint64_t partial_ms = measure_partial_ms(group, tasks_per_gang);
        BOOST_TEST(partial_ms <= max_partial_run_ms,
                   key.first << " attempt " << key.second << ": " << partial_ms << " ms");
        longest = std::max(longest, partial_ms);
        for (const task_run& run : group) {
            const auto found = last_end.find(key.first);
            if (found != last_end.end())
                BOOST_TEST(run.begin_ms >= found->second,
                           key.first << ": attempt " << key.second << " overlaps an earlier attempt");
        }
        for (const task_run& run : group)
            last_end[key.first] = std::max(last_end[key.first], run.end_ms);
    }
    return longest;
}

void wait_for_state(const cluster& system, const std::string& id, JobState state, milliseconds timeout)
{
    cluster::wait_until([&] { return is_in_state(system, id, state); }, timeout, id + " to be " + JobState_Name(state));
}

void run_barrier_job(const cluster& system)
{
    const std::string id = system.submit(0, make_gang("large", "marker", 1, 50));
    wait_for_state(system, id, JOB_FINISHED, milliseconds(30'000));
}

Configuration with_guarantee(Configuration configuration, const std::string& account, std::uint32_t cells)
{
    for (Account& candidate : *configuration.mutable_accounts()) {
        if (candidate.name() != account)
            continue;
        GuaranteedShape* shape = candidate.add_guarantees();
        shape->set_cells(cells);
        shape->set_workers(2);
        shape->set_accelerators(8);
        shape->set_adjacency(ADJACENCY_RACK);
    }
    return configuration;
}

} // namespace wigeon::test
