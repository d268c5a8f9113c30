// Collects the decisions of the dispatcher for the log.

#pragma once

#include <string>
#include <utility>
#include <vector>

namespace wigeon {

struct dispatch_event {
    std::string name;
    std::string job;
    std::string detail;
};

class dispatch_events {
public:
    void add(std::string name, std::string job, std::string detail)
    {
        this->events.push_back({std::move(name), std::move(job), std::move(detail)});
    }

    // Returns the events since the last call.
    std::vector<dispatch_event> take() { return std::exchange(this->events, {}); }

private:
    std::vector<dispatch_event> events;
};

} // namespace wigeon
