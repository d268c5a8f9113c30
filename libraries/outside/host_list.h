// The platform's list of live and leaving hosts. The list may lag behind the state of the hosts.

#pragma once

#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <thread>

#include "base/time.h"

namespace wigeon {

class host_list {
public:
    virtual ~host_list() = default;

    // Identifiers of the leaving hosts, or nothing when the service gives no valid response.
    virtual std::optional<std::set<std::string, std::less<>>> read_leaving() = 0;
};

// The adapter for HTTP. Not thread-safe.
std::unique_ptr<host_list> make_http_host_list(std::string_view address, milliseconds timeout);

} // namespace wigeon
