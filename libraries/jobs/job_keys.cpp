// Keys and names, and back.

#include "jobs/job_keys.h"

#include <array>
#include <charconv>

namespace wigeon {

namespace {

constexpr char cancel_mark = '!';

} // namespace

std::string make_cancel_key(std::string_view job)
{
    return std::string(job) + cancel_mark;
}

std::optional<std::string_view> find_cancelled_job(std::string_view key)
{
    if (key.size() < 2 || key.back() != cancel_mark)
        return std::nullopt;
    return key.substr(0, key.size() - 1);
}

std::string make_task_name(std::string_view job, const task_place& place)
{
    return std::string(job) + "." + std::to_string(place.occurrence) + "." + std::to_string(place.step) + "." +
           std::to_string(place.index);
}

std::optional<task_name> parse_task_name(std::string_view text)
{
    const auto job_end = text.find('.');
    if (job_end == std::string_view::npos || job_end == 0)
        return std::nullopt;
    task_name name;
    name.job = text.substr(0, job_end);
    const std::array<std::uint32_t*, 3> parts{&name.place.occurrence, &name.place.step, &name.place.index};
    const char* position = text.data() + job_end;
    const char* const end = text.data() + text.size();
    for (std::uint32_t* part : parts) {
        if (position == end || *position != '.')
            return std::nullopt;
        const auto [next, failure] = std::from_chars(position + 1, end, *part);
        if (failure != std::errc())
            return std::nullopt;
        position = next;
    }
    if (position != end)
        return std::nullopt;
    return name;
}

} // namespace wigeon
