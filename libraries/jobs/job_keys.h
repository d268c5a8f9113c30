// Topics and keys of the records about jobs, and names of tasks.

#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace wigeon {

constexpr std::string_view jobs_topic = "keyed.jobs";
constexpr std::string_view term_topic = "term";

// Progress per unit: a small record of each job that is not queued, which all nodes follow, and a record of each unit
// that was placed, which only a new leader reads.
constexpr std::string_view states_topic = "keyed.states";
constexpr std::string_view units_topic = "keyed.units";

// Progress per job, as builds before the per-unit format record it: one record with all units of a job.
constexpr std::string_view progress_topic = "keyed.progress";

// Key of the leader's heartbeat in the topic that followers read. Job ids contain no '!', so it is never a job's key.
constexpr std::string_view leader_key = "!leader";

// Key of the RecordFormat in the states topic. Once it exists, the leader records progress per unit.
constexpr std::string_view format_key = "!format";

// Returns the key of a job's cancellation in the jobs topic.
std::string make_cancel_key(std::string_view job);

// Returns the id of the job that the key cancels, or nullopt when it is the key of a submission.
std::optional<std::string_view> parse_cancel_key(std::string_view key);

// Identifies one task within a job.
struct task_position {
    std::uint32_t occurrence = 0;
    std::uint32_t step = 0;
    std::uint32_t index = 0;

    friend bool operator==(const task_position&, const task_position&) = default;
};

// Returns "JOB.OCCURRENCE.STEP.INDEX", the name by which executors know the task.
std::string make_task_name(std::string_view job, const task_position& position);

struct task_name {
    std::string job;
    task_position position;
};

// Returns nullopt when the text is not a task name.
std::optional<task_name> parse_task_name(std::string_view text);

} // namespace wigeon
