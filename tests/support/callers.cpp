// Sends requests from several threads and checks the replies.

#include "support/callers.h"

#include <thread>

#include <boost/test/unit_test.hpp>

namespace wigeon::test {

std::string execution_of(const http_reply& reply)
{
    const auto found = reply.headers.find("Wigeon-Execution");
    return found == reply.headers.end() ? "" : found->second;
}

void check_replies_against_runs(const reply_collector& collector, const std::map<std::string, int>& runs)
{
    for (const auto& [id, reply] : collector.replies) {
        const auto found = runs.find(id);
        const int count = found == runs.end() ? 0 : found->second;
        BOOST_TEST(count <= 1, id << " ran " << count << " times");
        if (reply.status == 200) {
            BOOST_TEST(count == 1, id << " was answered but ran " << count << " times");
            BOOST_TEST(reply.body == "answer " + id + " body-of-" + id);
        }
        if (execution_of(reply) == "did_not_run")
            BOOST_TEST(count == 0, id << " was reported as not run but ran: " << reply.body);
    }
}

void run_callers(const cluster& system, reply_collector& collector, int callers, int requests_each,
                 const std::string& path, const headers& extra_headers)
{
    std::vector<std::thread> threads;
    for (int caller = 0; caller < callers; ++caller) {
        threads.emplace_back([&, caller] {
            for (int i = 0; i < requests_each; ++i) {
                const std::string id = "c" + std::to_string(caller) + "-" + std::to_string(i);
                collector.record(id, system.request(i % system.entry_count(), id, path, extra_headers));
            }
        });
    }
    for (std::thread& thread : threads)
        thread.join();
}

int count_status(const reply_collector& collector, int status)
{
    int count = 0;
    for (const auto& [id, reply] : collector.replies)
        count += reply.status == status;
    return count;
}

} // namespace wigeon::test
