// Callers of requests, and the checks on what they were told.

#pragma once

#include <map>
#include <mutex>
#include <string>

#include "support/cluster.h"

namespace wigeon::test {

using headers = std::map<std::string, std::string>;

// What callers were told, by request id.
struct reply_collector {
    std::mutex mutex;
    std::map<std::string, http_reply> replies;

    void record(const std::string& id, http_reply reply)
    {
        const std::lock_guard lock(this->mutex);
        this->replies[id] = std::move(reply);
    }
};

// What the answer says of the execution; empty when it says nothing.
std::string execution_of(const http_reply& reply);

// Holds every answer against the executors' own counts.
void check_replies_against_runs(const reply_collector& collector, const std::map<std::string, int>& runs);

// Callers that send requests one after the other, each to the entries in turn.
void run_callers(const cluster& system, reply_collector& collector, int callers, int requests_each,
                 const std::string& path, const headers& extra = {});

int count_status(const reply_collector& collector, int status);

} // namespace wigeon::test
