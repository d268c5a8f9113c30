// Builds and parses record keys and task names.

#include "jobs/job_keys.h"

#include <array>
#include <charconv>

namespace wigeon {

namespace {

constexpr char cancel_suffix = '!';

} // namespace

std::string make_cancel_key(std::string_view job)
{
    return std::string(job) + cancel_suffix;
}

std::optional<std::string_view> parse_cancel_key(std::string_view key)
{
    if (key.size() < 2 || key.back() != cancel_suffix)
        return std::nullopt;
    return key.substr(0, key.size() - 1);
}

std::string make_task_name(std::string_view job, const task_position& position)
{
    return std::string(job) + "." + std::to_string(position.occurrence) + "." + std::to_string(position.step) + "." +
           std::to_string(position.index);
}

std::optional<task_name> parse_task_name(std::string_view text)
{
    const auto job_end = text.find('.');
    if (job_end == std::string_view::npos || job_end == 0)
        return std::nullopt;
    task_name name;
    name.job = text.substr(0, job_end);
    const std::array<std::uint32_t*, 3> fields{&name.position.occurrence, &name.position.step, &name.position.index};
    const char* cursor = text.data() + job_end;
    const char* const end = text.data() + text.size();
    for (std::uint32_t* field : fields) {
        if (cursor == end || *cursor != '.')
            return std::nullopt;
        const auto [next, failure] = std::from_chars(cursor + 1, end, *field);
        if (failure != std::errc())
            return std::nullopt;
        cursor = next;
    }
    if (cursor != end)
        return std::nullopt;
    return name;
}

} // namespace wigeon
