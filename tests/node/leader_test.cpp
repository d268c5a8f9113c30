// One term of leadership on a scripted store, with executors that answer polls and record the orders that they get.

#include <algorithm>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include <boost/asio/steady_timer.hpp>
#include <boost/test/unit_test.hpp>

#include "jobs/job_keys.h"
#include "models/scripted_store.h"
#include "node/leader.h"
#include "store/append_limits.h"

namespace wigeon {

namespace {

constexpr dispatch_limits limits{milliseconds(6'000), milliseconds(200), milliseconds(5'000)};
constexpr milliseconds max_confirmation_age{1'200};

class fixed_documents : public document_decoder {
public:
    std::optional<fleet_policy> decode_policy(std::string_view, std::string&) const override
    {
        fleet_policy policy;
        policy.version = 1;
        queue_policy queue;
        queue.name = "q";
        queue.pool = "pool";
        queue.stretch = 1.5;
        policy.queues.push_back(queue);
        return policy;
    }

    std::optional<executor_entry> decode_executor(std::string_view id, std::string_view, std::string&) const override
    {
        executor_entry entry;
        entry.id = id;
        entry.pool = "pool";
        entry.address = "127.0.0.1:1";
        entry.capacity = {64'000, 128'000, 8};
        entry.incarnation_ms = 1;
        return entry;
    }
};

// Executors that run nothing.
class idle_executors : public executor_service {
public:
    explicit idle_executors(boost::asio::io_context& event_loop) : loop(event_loop) {}

    void poll(const executor_target&, const poll_request& request, std::function<void(poll_result)> done) override
    {
        this->polls.push_back(request);
        const auto timer = std::make_shared<boost::asio::steady_timer>(this->loop, milliseconds(10));
        timer->async_wait([timer, done = std::move(done)](const boost::system::error_code&) {
            poll_result result;
            result.outcome = request_outcome::accepted;
            result.report.incarnation_ms = 1;
            result.report.clock = milliseconds(boot_clock::now().time_since_epoch());
            done(result);
        });
    }

    void start(const executor_target&, const start_order& order, milliseconds, std::uint64_t,
               std::function<void(order_result)>) override
    {
        this->starts.push_back(order);
    }

    void stop(const executor_target&, const stop_order& order, std::uint64_t,
              std::function<void(order_result)>) override
    {
        this->stops.push_back(order);
    }

    void close_connections(const std::string&) override {}

    std::vector<poll_request> polls;
    std::vector<start_order> starts;
    std::vector<stop_order> stops;

private:
    boost::asio::io_context& loop;
};

class no_advisor : public advice_service {
public:
    [[nodiscard]] bool is_configured() const override { return false; }
    void query(const advice_request&, std::function<void(std::optional<advice_response>)>) override {}
};

struct leader_fixture {
    boost::asio::io_context loop;
    scripted_store store{this->loop};
    fixed_documents decoder;
    idle_executors executors{this->loop};
    no_advisor advisor;
    const external_services external{
        this->store, this->executors, this->advisor, this->decoder, {"keyed.policy", "policy", "keyed.executors"}};
    node_state state{this->loop, this->store, this->external.topics, this->decoder};
    std::shared_ptr<leader> current;
    std::optional<leadership_end> end;

    leader_fixture()
    {
        this->add_record("keyed.policy", "policy", "{}");
        this->add_record("keyed.executors", "e1", "{}");
        this->state.start();
        this->run_until([&] { return this->state.is_loaded(); });
    }

    void add_record(std::string_view topic, const std::string& key, const std::string& value)
    {
        const std::vector<keyed_record> records{{key, value}};
        this->store.model.append(std::string(topic), records, {});
    }

    // Fails instead of waiting for ever when the condition does not come to hold. Returns the longest time between two
    // turns of the event loop.
    milliseconds run_until(const std::function<bool()>& is_done)
    {
        boot_time now = boot_clock::now();
        const boot_time give_up_at = now + milliseconds(20'000);
        milliseconds longest{0};
        this->loop.restart();
        while (!is_done() && now<give_up_at&& this->loop.run_one()> 0) {
            const boot_time before = std::exchange(now, boot_clock::now());
            longest = std::max(longest, now - before);
        }
        BOOST_REQUIRE(is_done());
        return longest;
    }

    // A schedule of which all tasks but those of the last occurrence have ended, as a former leader recorded it.
    void add_large_job(std::uint32_t occurrences, std::uint32_t tasks)
    {
        records::Submission submission;
        submission.set_queue("q");
        submission.set_occurrences(occurrences);
        submission.add_steps()->set_count(tasks);
        this->add_record(jobs_topic, "job", submission.SerializeAsString());
        records::JobState running;
        running.set_phase(records::JOB_PHASE_RUNNING);
        this->add_record(states_topic, "job", running.SerializeAsString());
        records::RecordFormat format;
        format.set_version(1);
        this->add_record(states_topic, std::string(format_key), format.SerializeAsString());
        records::UnitRecord done;
        done.mutable_progress()->set_done(true);
        std::vector<keyed_record> units;
        for (std::uint32_t row = 0; row < (occurrences - 1) * tasks; ++row)
            units.push_back({make_task_name("job", {row / tasks, 0, row % tasks}), done.SerializeAsString()});
        for (std::span<const keyed_record> left = units; !left.empty();) {
            const auto batch = take_append(left, this->store.limits());
            this->store.model.append(std::string(units_topic), batch, {});
            left = left.subspan(batch.size());
        }
    }

    void add_job(const std::string& id)
    {
        records::Submission submission;
        submission.set_queue("q");
        submission.add_steps()->set_count(1);
        this->add_record(jobs_topic, id, submission.SerializeAsString());
    }

    // What the next leader does first.
    void fence_off_leader(std::uint64_t term)
    {
        for (const std::string_view topic : {progress_topic, units_topic, states_topic}) {
            append_condition condition;
            condition.producer = {"leader", term + 1, 0};
            this->store.model.append(std::string(topic), {}, condition);
        }
    }

    // Stops this process while the answer to the append that records a placement is on its way.
    void pause_at_next_placement(
        milliseconds length, std::function<void()> meanwhile = [] {})
    {
        this->store.before_append_answer = [this, length, meanwhile = std::move(meanwhile)](std::string_view topic) {
            if (topic != units_topic)
                return;
            this->store.before_append_answer = nullptr;
            std::this_thread::sleep_for(length);
            meanwhile();
        };
    }

    [[nodiscard]] bool has_renewed_a_lease() const
    {
        return std::any_of(this->executors.polls.begin(), this->executors.polls.end(),
                           [](const poll_request& request) { return request.lease_deadline.has_value(); });
    }

    void start_leader(std::uint64_t term)
    {
        leader_options options{{"node", 1}, limits, milliseconds(60'000), true};
        options.max_confirmation_age = max_confirmation_age;
        this->current = std::make_shared<leader>(this->loop, this->external, this->state, options, term);
        this->end.reset();
        this->current->start([this](leadership_end reason) { this->end = reason; });
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(leader_story)

// Guards against a handler that holds the leader which owns it: a node then kept the memory of each term that it had
// led, 20 to 40 MB a term with one large job.
BOOST_FIXTURE_TEST_CASE(a_leader_is_destroyed_once_its_term_has_ended, leader_fixture)
{
    for (std::uint64_t term = 0; term < 3; ++term) {
        this->start_leader(term);
        this->run_until([&] { return this->current->is_leading(); });
        this->current->resign();
        this->run_until([&] { return this->end.has_value(); });
        BOOST_TEST((*this->end == leadership_end::resigned));
        const std::weak_ptr<leader> ended = std::exchange(this->current, nullptr);
        this->run_until([&] { return ended.expired(); });
    }
}

BOOST_AUTO_TEST_SUITE(a_pause_of_the_leader)

// Guards against the start of a task that the next leader has started elsewhere (review case 11): the paused leader
// took the store's answer from its socket and acted on it, since its check allowed three times the silence after which
// followers take over.
BOOST_FIXTURE_TEST_CASE(with_a_placement_on_its_way_to_the_store_sends_no_start_for_the_former_term, leader_fixture)
{
    this->start_leader(0);
    this->run_until([&] { return this->current->is_leading(); });
    this->pause_at_next_placement(max_confirmation_age + milliseconds(100), [this] { this->fence_off_leader(1); });
    this->add_job("job");
    this->run_until([&] { return this->end.has_value(); });
    BOOST_TEST((*this->end == leadership_end::fenced_at_store));
    BOOST_TEST(this->executors.starts.empty());
    BOOST_TEST(this->executors.stops.empty());
}

// Guards against work that is lost because a leader that still leads has withheld its start.
BOOST_FIXTURE_TEST_CASE(without_a_successor_only_delays_the_start, leader_fixture)
{
    this->start_leader(0);
    this->run_until([&] { return this->current->is_leading(); });
    this->pause_at_next_placement(max_confirmation_age + milliseconds(100));
    this->add_job("job");
    this->run_until([&] { return !this->executors.starts.empty(); });
    BOOST_TEST(this->executors.starts.front().reference.run == 2U);
    BOOST_TEST(!this->end.has_value());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_takeover)

// Guards against a restoration whose time grows with the square of a job's tasks (review case 7): the new leader sent
// no heartbeat for seconds and was replaced, again and again.
BOOST_FIXTURE_TEST_CASE(of_a_job_with_many_records_leaves_time_for_heartbeats, leader_fixture)
{
    constexpr milliseconds leader_timeout{1'600};
    this->store.page_size = 500;
    this->add_large_job(10'000, 11);
    this->start_leader(0);
    BOOST_TEST(this->run_until([&] { return this->current->is_leading(); }).count() < leader_timeout.count());
    BOOST_TEST(!this->end.has_value());
}

// Guards against running tasks whose leases end while a new leader still reads what is recorded of them.
BOOST_FIXTURE_TEST_CASE(that_takes_long_keeps_the_running_tasks_alive, leader_fixture)
{
    this->add_large_job(2, 1);
    this->start_leader(0);
    this->run_until([&] { return this->store.append_calls > 3U; }); // The first heartbeat.
    this->store.read_fault = store_fault::unreachable;
    this->run_until([&] { return this->has_renewed_a_lease(); });
    BOOST_TEST(!this->current->is_leading());
    this->store.read_fault = store_fault::none;
    this->run_until([&] { return this->current->is_leading(); });
    const std::size_t polls = this->executors.polls.size();
    this->run_until([&] { return this->executors.polls.size() > polls + 1; }); // Polling has begun.
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

} // namespace wigeon
