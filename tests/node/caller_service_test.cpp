// Tests that callers get correct answers whatever the store does, that a leader is replaced only when it is gone, and
// that one node wins each term.

#include <boost/test/unit_test.hpp>

#include "jobs/job_keys.h"
#include "models/scripted_store.h"
#include "node/caller_service.h"
#include "node/leader_election.h"

namespace wigeon {

namespace {

// Decodes any document as a policy with one queue and one account.
class fixed_decoder : public document_decoder {
public:
    std::optional<fleet_policy> decode_policy(std::string_view, std::string&) const override
    {
        fleet_policy policy;
        policy.version = 1;
        queue_policy queue;
        queue.name = "q";
        policy.queues.push_back(queue);
        policy.accounts.push_back({"account", {"key"}, 0});
        return policy;
    }

    std::optional<executor_entry> decode_executor(std::string_view, std::string_view, std::string&) const override
    {
        return std::nullopt;
    }
};

struct caller_fixture {
    boost::asio::io_context loop;
    scripted_store store{this->loop};
    fixed_decoder decoder;
    node_state state{this->loop, this->store, {"keyed.policy", "policy", "keyed.executors"}, this->decoder};
    std::shared_ptr<caller_service> service = std::make_shared<caller_service>(
        this->loop, this->store, this->state, caller_service_limits{milliseconds(3'000)});

    caller_fixture()
    {
        const std::vector<keyed_record> records{{"policy", std::string("{}")}};
        this->store.model.append("keyed.policy", records, {});
        this->state.start();
        this->run_until([&] { return this->state.is_loaded(); });
    }

    // Fails instead of waiting for ever when the loop has nothing left to run before the condition holds.
    void run_until(const std::function<bool()>& is_done)
    {
        this->loop.restart();
        while (!is_done() && this->loop.run_one() > 0)
            continue;
        BOOST_REQUIRE(is_done());
    }

    write_outcome submit(const std::string& job, milliseconds caller_timeout = milliseconds(0))
    {
        std::optional<write_outcome> outcome;
        records::Submission submission;
        submission.set_queue("q");
        submission.add_steps()->set_count(1);
        this->service->submit(job, submission, boot_clock::now(), caller_timeout,
                              [&](write_outcome result) { outcome = result; });
        this->run_until([&] { return outcome.has_value(); });
        return *outcome;
    }

    job_view read(const std::string& job)
    {
        std::optional<job_view> seen;
        this->service->read(job, boot_clock::now(), [&](job_view result) { seen = result; });
        this->run_until([&] { return seen.has_value(); });
        return *seen;
    }

    // Whether the jobs topic of the store has a record with the key.
    [[nodiscard]] bool is_stored(const std::string& key) const
    {
        for (const stored_record& record : this->store.model.read_newest(std::string(jobs_topic), "", 100).records) {
            if (record.content.key == key)
                return true;
        }
        return false;
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(caller_service_story)

BOOST_AUTO_TEST_SUITE(a_submission)

BOOST_FIXTURE_TEST_CASE(is_accepted_when_it_is_in_the_store, caller_fixture)
{
    BOOST_TEST((this->submit("job") == write_outcome::stored));
    BOOST_TEST(this->is_stored("job"));
    BOOST_TEST((this->read("job").status == job_view::lookup_status::found));
}

BOOST_FIXTURE_TEST_CASE(is_refused_only_when_it_is_certainly_not_stored, caller_fixture)
{
    this->store.append_fault = store_fault::refusing;
    BOOST_TEST((this->submit("job") == write_outcome::refused));
    BOOST_TEST(!this->is_stored("job"));
    BOOST_TEST(this->store.append_calls > 1U);
}

// Guards against a refusal that invites a retry which can't succeed either.
BOOST_FIXTURE_TEST_CASE(that_the_store_can_not_hold_is_refused_for_good_without_an_append, caller_fixture)
{
    const std::size_t appends = this->store.append_calls;
    this->store.model.limits.record_bytes = 8;
    BOOST_TEST((this->submit("job-with-a-long-id") == write_outcome::too_large));
    BOOST_TEST(this->store.append_calls == appends);
}

// Guards against a batch beyond the store's limit of one call: it is refused as a whole, with every write in it.
BOOST_FIXTURE_TEST_CASE(is_accepted_with_more_others_than_one_append_can_hold, caller_fixture)
{
    this->store.model.limits.call_bytes = 64;
    std::size_t answered = 0;
    std::size_t stored = 0;
    records::Submission submission;
    submission.set_queue("queue");
    for (int row = 0; row < 20; ++row)
        this->service->submit("job" + std::to_string(row), submission, boot_clock::now(), milliseconds(0),
                              [&](write_outcome result) {
                                  ++answered;
                                  stored += result == write_outcome::stored ? 1 : 0;
                              });
    this->run_until([&] { return answered == 20U; });
    BOOST_TEST(stored == 20U);
}

BOOST_FIXTURE_TEST_CASE(whose_answer_was_lost_is_uncertain_and_never_refused, caller_fixture)
{
    this->store.append_fault = store_fault::answer_lost;
    BOOST_TEST((this->submit("job") == write_outcome::uncertain));
    BOOST_TEST(this->is_stored("job"));
}

BOOST_FIXTURE_TEST_CASE(that_was_lost_first_and_refused_later_is_still_uncertain, caller_fixture)
{
    std::optional<write_outcome> outcome;
    records::Submission submission;
    submission.set_queue("q");
    this->store.append_fault = store_fault::answer_lost;
    this->service->submit("job", submission, boot_clock::now(), milliseconds(0),
                          [&](write_outcome result) { outcome = result; });
    this->store.append_fault = store_fault::refusing;
    this->run_until([&] { return outcome.has_value(); });
    BOOST_TEST((*outcome == write_outcome::uncertain));
}

// The failure: the store's answers are lost for seconds, and the caller's own deadline passes without an answer.
BOOST_FIXTURE_TEST_CASE(is_answered_before_its_caller_stops_waiting, caller_fixture)
{
    this->store.ignores_appends = true;
    const boot_time before = boot_clock::now();
    std::optional<write_outcome> first;
    records::Submission submission;
    this->service->submit("first", submission, before, milliseconds(300),
                          [&](write_outcome result) { first = result; });
    // The second one waits for the append of the first, so it has certainly not been stored.
    BOOST_TEST((this->submit("second", milliseconds(200)) == write_outcome::refused));
    BOOST_TEST((boot_clock::now() - before).count() < 200);
    BOOST_TEST(!first.has_value());
    this->run_until([&] { return first.has_value(); });
    BOOST_TEST((*first == write_outcome::uncertain));
    BOOST_TEST((boot_clock::now() - before).count() < 300);
    BOOST_TEST(this->store.append_calls == 1U);
}

BOOST_FIXTURE_TEST_CASE(sent_again_is_the_same_job, caller_fixture)
{
    this->submit("job");
    this->read("job");
    const std::size_t calls = this->store.append_calls;
    BOOST_TEST((this->submit("job") == write_outcome::stored));
    BOOST_TEST(this->store.append_calls == calls);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(an_outage_of_the_store)

BOOST_AUTO_TEST_CASE(refuses_writes_at_once_except_for_periodic_probes)
{
    const boot_time start{milliseconds(1'000'000)};
    circuit_breaker breaker;
    BOOST_TEST(breaker.admit_write(start));
    breaker.record_failure(start);
    BOOST_TEST(!breaker.admit_write(start + milliseconds(100)));
    BOOST_TEST(breaker.admit_write(start + milliseconds(300)));
    BOOST_TEST(!breaker.admit_write(start + milliseconds(310)));
    breaker.record_success();
    BOOST_TEST(breaker.admit_write(start + milliseconds(320)));
}

BOOST_AUTO_TEST_CASE(lengthens_the_retry_delay_with_its_duration)
{
    const boot_time start{milliseconds(1'000'000)};
    circuit_breaker breaker;
    breaker.record_failure(start);
    BOOST_TEST(breaker.find_retry_after_s(start + milliseconds(100)) == 1U);
    BOOST_TEST(breaker.find_retry_after_s(start + milliseconds(2'500)) == 2U);
    BOOST_TEST(breaker.find_retry_after_s(start + milliseconds(20'000)) == 3U);
}

BOOST_FIXTURE_TEST_CASE(sends_nothing_for_what_it_refuses, caller_fixture)
{
    this->store.append_fault = store_fault::refusing;
    this->submit("first");
    const std::size_t calls = this->store.append_calls;
    BOOST_TEST((this->submit("second") == write_outcome::refused));
    BOOST_TEST(this->store.append_calls == calls);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_read)

BOOST_FIXTURE_TEST_CASE(of_a_job_that_another_node_just_accepted_finds_it, caller_fixture)
{
    records::Submission submission;
    submission.set_queue("q");
    const std::vector<keyed_record> records{{"elsewhere", submission.SerializeAsString()}};
    this->store.model.append(std::string(jobs_topic), records, {});
    BOOST_TEST((this->read("elsewhere").status == job_view::lookup_status::found));
}

BOOST_FIXTURE_TEST_CASE(of_an_unknown_job_says_not_found_only_after_a_new_store_read, caller_fixture)
{
    BOOST_TEST((this->read("never").status == job_view::lookup_status::not_found));
    this->store.read_fault = store_fault::unreachable;
    BOOST_TEST((this->read("never").status == job_view::lookup_status::unavailable));
}

BOOST_FIXTURE_TEST_CASE(with_a_key_is_refused_when_the_configuration_may_be_stale, caller_fixture)
{
    const queue_policy& queue = this->state.policy()->queues.front();
    std::string account;
    const boot_time now = boot_clock::now();
    BOOST_TEST((this->service->check_access(queue, "key", account, now) == access_verdict::allowed));
    BOOST_TEST(account == "account");
    BOOST_TEST((this->service->check_access(queue, "other", account, now) == access_verdict::unauthorized));
    BOOST_TEST((this->service->check_access(queue, "key", account, now + milliseconds(10'000)) ==
                access_verdict::stale_policy));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_silent_leader)

BOOST_AUTO_TEST_CASE(is_replaced_only_after_reads_without_its_records)
{
    const election_timeouts timeouts{milliseconds(1'600), milliseconds(30)};
    const boot_time now{milliseconds(100'000)};
    node_state::leader_liveness liveness;
    liveness.last_heard = now - milliseconds(5'000);
    liveness.observed_until = now - milliseconds(4'000); // No read has been made since.
    BOOST_TEST(!is_takeover_due(liveness, std::nullopt, timeouts, now));
    liveness.observed_until = now - milliseconds(100);
    BOOST_TEST(is_takeover_due(liveness, std::nullopt, timeouts, now));
}

BOOST_AUTO_TEST_CASE(that_resigned_is_replaced_at_once)
{
    const election_timeouts timeouts{milliseconds(1'600), milliseconds(30)};
    const boot_time now{milliseconds(100'000)};
    node_state::leader_liveness liveness;
    liveness.last_heard = now - milliseconds(50);
    liveness.observed_until = now;
    BOOST_TEST(!is_takeover_due(liveness, std::nullopt, timeouts, now));
    liveness.has_resigned = true;
    BOOST_TEST(is_takeover_due(liveness, std::nullopt, timeouts, now));
}

// A process that starts in the moment between a claim and the new leader's first record reads the claim of the new term
// and the resignation of the old one.
BOOST_AUTO_TEST_CASE(that_resigned_and_has_a_successor_is_not_replaced_again)
{
    const election_timeouts timeouts{milliseconds(1'600), milliseconds(30)};
    const boot_time now{milliseconds(100'000)};
    node_state::leader_liveness liveness;
    liveness.last_heard = now - milliseconds(50);
    liveness.observed_until = now;
    liveness.has_resigned = true;
    liveness.heartbeat.set_term(7);
    BOOST_TEST(is_takeover_due(liveness, 7, timeouts, now));
    BOOST_TEST(!is_takeover_due(liveness, 8, timeouts, now));
    liveness.last_heard = now - milliseconds(2'000); // The successor is silent, too.
    BOOST_TEST(is_takeover_due(liveness, 8, timeouts, now));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(claims_of_the_term)

BOOST_FIXTURE_TEST_CASE(are_won_by_one_of_several_nodes, caller_fixture)
{
    std::vector<std::uint64_t> terms;
    std::vector<std::shared_ptr<leader_election>> nodes;
    for (std::uint64_t number = 1; number <= 4; ++number) {
        const leader_identity identity{"node" + std::to_string(number), number};
        nodes.push_back(std::make_shared<leader_election>(
            this->loop, this->store, this->state, election_timeouts{milliseconds(60'000), milliseconds(30)}, identity));
        nodes.back()->start([&terms](std::uint64_t term) { terms.push_back(term); });
    }
    this->loop.run_for(milliseconds(500));
    BOOST_TEST(terms == std::vector<std::uint64_t>{0}, boost::test_tools::per_element());
    for (const auto& node : nodes)
        node->stop();
}

// Guards against a second leader beside a sound one: the store drops old claims, so a node that starts later finds an
// empty topic.
BOOST_FIXTURE_TEST_CASE(that_have_all_expired_do_not_allow_another_at_once, caller_fixture)
{
    const std::vector<keyed_record> claim{{"", std::string()}};
    this->store.model.append(std::string(term_topic), claim, {});
    this->store.model.trim_history(std::string(term_topic));
    std::vector<std::uint64_t> terms;
    const auto node = std::make_shared<leader_election>(this->loop, this->store, this->state,
                                                        election_timeouts{milliseconds(1'000), milliseconds(30)},
                                                        leader_identity{"node", 1});
    node->start([&terms](std::uint64_t term) { terms.push_back(term); });
    this->loop.run_for(milliseconds(700));
    BOOST_TEST(terms.empty());
    this->loop.run_for(milliseconds(1'500)); // The leader is silent.
    BOOST_TEST(terms == std::vector<std::uint64_t>{1}, boost::test_tools::per_element());
    node->stop();
}

BOOST_FIXTURE_TEST_CASE(whose_answer_was_lost_are_found_in_the_topic, caller_fixture)
{
    std::vector<std::uint64_t> terms;
    const auto node = std::make_shared<leader_election>(this->loop, this->store, this->state,
                                                        election_timeouts{milliseconds(60'000), milliseconds(30)},
                                                        leader_identity{"node", 1});
    this->store.append_fault = store_fault::answer_lost;
    node->start([&terms](std::uint64_t term) { terms.push_back(term); });
    this->loop.run_for(milliseconds(500));
    BOOST_TEST(terms == std::vector<std::uint64_t>{0}, boost::test_tools::per_element());
    node->stop();
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

} // namespace wigeon
