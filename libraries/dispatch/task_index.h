// Finds the unresolved tasks of each executor.

#pragma once

#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "dispatch/orders.h"

namespace wigeon {

class task_index {
public:
    void add(const task_reference& reference, const std::string& executor);

    // Removes the task, whatever the run of the reference.
    void remove(const task_reference& reference, std::string_view executor);

    [[nodiscard]] std::span<const task_reference> tasks_on(std::string_view executor) const;

    // By executor. An executor whose tasks are all resolved may have an empty list.
    [[nodiscard]] const std::map<std::string, std::vector<task_reference>, std::less<>>& all() const
    {
        return this->tasks_by_executor;
    }

private:
    std::map<std::string, std::vector<task_reference>, std::less<>> tasks_by_executor;
};

} // namespace wigeon
