// Keys of the records about jobs, and names of tasks.

#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace wigeon {

constexpr std::string_view jobs_topic = "keyed.jobs";
constexpr std::string_view progress_topic = "keyed.progress";
constexpr std::string_view term_topic = "term";

// Beside the jobs' records in the progress topic. A job's id has no such character.
constexpr std::string_view leader_key = "!leader";

// The key of a job's cancellation in the topic of jobs.
std::string make_cancel_key(std::string_view job);

// The id of the job that the key cancels, or nothing when the key is that of a submission.
std::optional<std::string_view> parse_cancel_key(std::string_view key);

// Place of one task in a job.
struct task_position {
    std::uint32_t occurrence = 0;
    std::uint32_t step = 0;
    std::uint32_t index = 0;

    friend bool operator==(const task_position&, const task_position&) = default;
};

// "JOB.OCCURRENCE.STEP.INDEX", as executors know the task.
std::string make_task_name(std::string_view job, const task_position& position);

struct task_name {
    std::string job;
    task_position position;
};

// Nothing when the text is no task's name.
std::optional<task_name> parse_task_name(std::string_view text);

} // namespace wigeon
