// Tests that what callers were told about a job stays true on every node, whichever of its records the store carries
// out late.

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include <boost/test/unit_test.hpp>

#include "jobs/job_keys.h"
#include "models/scripted_store.h"
#include "platform/caller_interface.h"

namespace wigeon::platform {

namespace {

constexpr milliseconds retention{60'000};
const std::string job_path = "/q/00000000000000a1";
const std::string job = "00000000000000a1";

// Decodes any document as a policy with one queue and the accounts "one" and "two", whose keys have the same names.
class two_accounts : public document_decoder {
public:
    std::optional<fleet_policy> decode_policy(std::string_view, std::string&) const override
    {
        fleet_policy policy;
        policy.version = 1;
        queue_policy queue;
        queue.name = "q";
        queue.host = "h";
        queue.path_prefix = "/q/";
        policy.queues.push_back(queue);
        policy.accounts.push_back({"one", {"one"}, 0});
        policy.accounts.push_back({"two", {"two"}, 0});
        return policy;
    }

    std::optional<executor_entry> decode_executor(std::string_view, std::string_view, std::string&) const override
    {
        return std::nullopt;
    }
};

// A node that serves callers from the store.
struct node {
    node(boost::asio::io_context& loop, scripted_store& store, const document_decoder& decoder)
        : state(loop, store, {"keyed.policy", "policy", "keyed.executors"}, decoder),
          service(std::make_shared<caller_service>(loop, store, state,
                                                   caller_service_limits{milliseconds(3'000), retention})),
          callers(*service, state, false)
    {
        this->state.start();
    }

    node_state state;
    std::shared_ptr<caller_service> service;
    caller_interface callers;
};

struct nodes_fixture {
    boost::asio::io_context loop;
    scripted_store store{this->loop};
    two_accounts decoder;
    std::optional<node> first;
    std::optional<node> second;

    nodes_fixture()
    {
        const std::vector<keyed_record> records{{"policy", std::string("{}")}};
        this->store.model.append("keyed.policy", records, {});
        this->start_node(this->first);
        this->start_node(this->second);
    }

    void start_node(std::optional<node>& started)
    {
        started.emplace(this->loop, this->store, this->decoder);
        this->run_until([&] { return started->state.is_loaded(); });
    }

    void run_until(const std::function<bool()>& is_done)
    {
        this->loop.restart();
        while (!is_done() && this->loop.run_one() > 0)
            continue;
        BOOST_REQUIRE(is_done());
    }

    outgoing_reply call(node& called, const std::string& method, const std::string& key = "one")
    {
        incoming_request request;
        request.method = method;
        request.target = job_path;
        request.host = "h";
        request.authorization = "Token " + key;
        request.body = R"({"spec":"s","steps":[{"count":1,"cpu":1000}]})";
        request.timeout = milliseconds(3'000);
        request.arrived = boot_clock::now();
        std::optional<outgoing_reply> seen;
        called.callers.handle(request, [&](const outgoing_reply& reply) { seen = reply; });
        this->run_until([&] { return seen.has_value(); });
        return *seen;
    }

    int submit_without_answer(node& called)
    {
        this->store.append_fault = store_fault::late;
        const int status = this->call(called, "POST").status;
        this->store.append_fault = store_fault::none;
        return status;
    }

    // Repeats the request while the node doesn't try the store again after its failure.
    int call_until_served(node& called, const std::string& method, const std::string& key = "one")
    {
        constexpr int max_attempts = 50;
        int status = 0;
        for (int attempt = 0; attempt < max_attempts; ++attempt) {
            status = this->call(called, method, key).status;
            if (status != 503)
                break;
            this->loop.run_for(milliseconds(50));
        }
        return status;
    }

    bool is_shown_as_cancelled(node& called)
    {
        return this->call(called, "GET").body.find("cancelled") != std::string::npos;
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(caller_interface_story)

BOOST_AUTO_TEST_SUITE(a_submission_that_the_store_carries_out_late)

// Guards against a job that runs after its cancellation was answered (review case 12): the store had no record of
// either when the caller was told that there is no such job.
BOOST_FIXTURE_TEST_CASE(after_its_cancellation_is_cancelled_on_every_node, nodes_fixture)
{
    BOOST_TEST(this->submit_without_answer(*this->first) == 504);
    BOOST_TEST(this->call_until_served(*this->first, "DELETE") == 410);
    this->store.carry_out_late_appends();
    BOOST_TEST(this->is_shown_as_cancelled(*this->first));
    BOOST_TEST(this->is_shown_as_cancelled(*this->second));
    BOOST_TEST(this->first->state.jobs().find(job)->is_cancel_requested);
    this->start_node(this->second); // Reads the records in the order of their keys.
    BOOST_TEST(this->is_shown_as_cancelled(*this->second));
}

BOOST_FIXTURE_TEST_CASE(is_cancelled_too_when_another_node_was_asked, nodes_fixture)
{
    this->submit_without_answer(*this->first);
    BOOST_TEST(this->call(*this->second, "DELETE").status == 410);
    BOOST_TEST(this->call(*this->second, "GET").status == 410);
    this->store.carry_out_late_appends();
    BOOST_TEST(this->is_shown_as_cancelled(*this->first));
}

// Guards against a job that comes back because its submission was sent again.
BOOST_FIXTURE_TEST_CASE(stays_cancelled_when_it_is_submitted_again, nodes_fixture)
{
    this->submit_without_answer(*this->first);
    BOOST_TEST(this->call(*this->second, "DELETE").status == 410);
    BOOST_TEST(this->call_until_served(*this->first, "POST") == 200);
    BOOST_TEST(this->is_shown_as_cancelled(*this->second));
    this->store.carry_out_late_appends();
    BOOST_TEST(this->is_shown_as_cancelled(*this->second));
    BOOST_TEST(this->call(*this->second, "DELETE").status == 200);
}

BOOST_FIXTURE_TEST_CASE(runs_when_only_another_account_has_cancelled_its_id, nodes_fixture)
{
    this->submit_without_answer(*this->first);
    BOOST_TEST(this->call_until_served(*this->first, "DELETE", "two") == 410);
    this->store.carry_out_late_appends();
    BOOST_TEST(!this->is_shown_as_cancelled(*this->first));
    BOOST_TEST(this->call(*this->first, "DELETE").status == 200);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_cancellation_of_an_unknown_job)

BOOST_FIXTURE_TEST_CASE(is_not_acknowledged_before_it_is_stored, nodes_fixture)
{
    this->store.append_fault = store_fault::refusing;
    BOOST_TEST(this->call(*this->first, "DELETE").status == 503);
}

// Guards against a store that fills up because one caller repeats its cancellation.
BOOST_FIXTURE_TEST_CASE(is_stored_once_however_often_it_is_repeated, nodes_fixture)
{
    BOOST_TEST(this->call(*this->first, "DELETE").status == 410);
    BOOST_TEST(this->call(*this->second, "GET").status == 410); // Reads the record.
    const std::size_t appends = this->store.append_calls;
    BOOST_TEST(this->call(*this->second, "DELETE").status == 410);
    BOOST_TEST(this->store.append_calls == appends);
}

// Guards against a store that fills up because one account cancels without end what nobody has submitted.
BOOST_FIXTURE_TEST_CASE(is_refused_beyond_the_limit_of_its_account, nodes_fixture)
{
    constexpr std::size_t limit = 5'000;
    records::EarlyCancellation cancellation;
    cancellation.add_accounts("one");
    std::vector<keyed_record> records;
    for (std::size_t row = 0; row < limit; ++row)
        records.push_back({make_cancel_key("other" + std::to_string(row)), cancellation.SerializeAsString()});
    this->store.page_size = limit;
    this->store.model.append(std::string(jobs_topic), records, {});
    BOOST_TEST(this->call(*this->first, "GET").status == 410); // Reads the records.
    BOOST_TEST(this->call(*this->first, "DELETE").status == 503);
    BOOST_TEST(this->call(*this->first, "DELETE", "two").status == 410);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

} // namespace wigeon::platform
