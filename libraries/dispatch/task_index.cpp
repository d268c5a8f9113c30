// Lists of task references by executor.

#include "dispatch/task_index.h"

namespace wigeon {

void task_index::add(const task_reference& reference, const std::string& executor)
{
    this->tasks_by_executor[executor].push_back(reference);
}

void task_index::remove(const task_reference& reference, std::string_view executor)
{
    const auto indexed = this->tasks_by_executor.find(executor);
    if (indexed == this->tasks_by_executor.end())
        return;
    std::erase_if(indexed->second, [&reference](const task_reference& other) {
        return other.job == reference.job && other.unit_row == reference.unit_row &&
               other.task_row == reference.task_row;
    });
}

std::span<const task_reference> task_index::tasks_on(std::string_view executor) const
{
    const auto indexed = this->tasks_by_executor.find(executor);
    if (indexed == this->tasks_by_executor.end())
        return {};
    return indexed->second;
}

} // namespace wigeon
