// Concurrent callers of the entries' request interface, and the checks of the replies that they receive.

#pragma once

#include <map>
#include <mutex>
#include <string>

#include "support/cluster.h"

namespace wigeon::test {

using headers = std::map<std::string, std::string>;

// The replies that callers received, by request id. record() may be called from several threads; `replies` is read
// after they are joined.
struct reply_collector {
    std::mutex mutex;
    std::map<std::string, http_reply> replies;

    void record(const std::string& id, http_reply reply)
    {
        const std::lock_guard lock(this->mutex);
        this->replies[id] = std::move(reply);
    }
};

// Value of the header Wigeon-Execution; empty when the reply has none.
std::string execution_of(const http_reply& reply);

// Checks every reply against the executors' counts of runs by request id: no request ran twice, a request with status
// 200 ran once and has its own body, and a request reported as not run did not run.
void check_replies_against_runs(const reply_collector& collector, const std::map<std::string, int>& runs);

// Runs this number of callers at once. Each sends `requests_each` requests one after the other, to the entries in turn,
// with the headers `extra_headers`. Returns when all have received their replies.
void run_callers(const cluster& system, reply_collector& collector, int callers, int requests_each,
                 const std::string& path, const headers& extra_headers = {});

// The number of replies with this HTTP status; 0 stands for no complete response.
int count_status(const reply_collector& collector, int status);

} // namespace wigeon::test
