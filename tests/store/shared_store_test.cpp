// Many readers of one store whose read bandwidth they share. The failure: while the store is slower than usual, or much
// is appended at once, all readers fall behind; each then asks for as much as one answer can hold, no answer arrives in
// time, and the repeated reads keep the store overloaded for ever, although the cause has gone. Nothing that depends on
// fresh reads, such as the configuration, works on any host from then on.

#include <boost/test/unit_test.hpp>

#include "models/shared_bandwidth_store.h"
#include "store/topic_reader.h"
#include "support/property.h"

namespace wigeon {

namespace {

// The store of the users' large site delivers 80 MB a second to 147 hosts. Here, fewer hosts share accordingly less,
// which leaves the time that each needs as it is; the smallest share is that of 300 hosts.
constexpr double bandwidth_per_host = 80'000.0 / 300; // Bytes per ms.
constexpr milliseconds overload_time{5'000};

// The users' bounds: service is back this long after the end of a disturbance, and the configuration in force was
// confirmed at most this long ago.
constexpr milliseconds recovery_limit{15'000};
constexpr milliseconds policy_age_limit{4'000};

constexpr milliseconds reload_delay{2'500}; // That of weak hosts, which are most.
constexpr milliseconds append_interval{100};
constexpr std::size_t small_record_bytes = 300;
constexpr std::size_t submission_bytes = 600;
constexpr std::size_t max_submissions = 1'500; // The jobs of a minute.

class ignoring_consumer : public topic_consumer {
public:
    void apply(const stored_record&, boot_time) override {}
};

// The readers of one host: the configuration, the submissions and the states of jobs.
struct host_readers {
    host_readers(simulated_scheduler& scheduler, record_store& store)
        : policy(std::make_shared<topic_reader>(scheduler, store, "keyed.policy",
                                                read_timing{milliseconds(1'000), milliseconds(0)}, prompt_pace,
                                                this->consumer)),
          jobs(std::make_shared<topic_reader>(scheduler, store, "keyed.jobs",
                                              read_timing{milliseconds(0), milliseconds(1'000), reload_delay, true},
                                              bulk_pace, this->consumer)),
          states(std::make_shared<topic_reader>(scheduler, store, "keyed.states",
                                                read_timing{milliseconds(0), milliseconds(500), reload_delay, true},
                                                bulk_pace, this->consumer))
    {
        for (const auto& reader : {this->policy, this->jobs, this->states})
            reader->start();
    }

    ignoring_consumer consumer;
    std::shared_ptr<topic_reader> policy;
    std::shared_ptr<topic_reader> jobs;
    std::shared_ptr<topic_reader> states;
};

class shared_store_scenario {
public:
    explicit shared_store_scenario(std::uint64_t seed)
        : scheduler(seed),
          host_count(10 + static_cast<std::size_t>(20 * this->scheduler.draw_fraction())),
          usual_bandwidth(bandwidth_per_host * static_cast<double>(this->host_count)),
          store(this->scheduler, this->usual_bandwidth)
    {
        this->append("keyed.policy", 1, small_record_bytes);
        for (std::size_t row = 0; row < this->host_count; ++row)
            this->hosts.push_back(std::make_unique<host_readers>(this->scheduler, this->store));
        this->append_regularly();
        this->scheduler.run_for(milliseconds(3'000));
    }

    ~shared_store_scenario()
    {
        for (const auto& host : this->hosts) {
            for (const auto& reader : {host->policy, host->jobs, host->states})
                reader->stop();
        }
    }

    shared_store_scenario(const shared_store_scenario&) = delete;
    shared_store_scenario& operator=(const shared_store_scenario&) = delete;

    void append(const std::string& topic, std::size_t count, std::size_t bytes)
    {
        std::vector<keyed_record> records;
        for (std::size_t row = 0; row < count; ++row)
            records.push_back({"key" + std::to_string(++this->keys % max_submissions), std::string(bytes, 'x')});
        this->store.append(topic, records, {}, [](const append_result&) {});
    }

    // Leaves the readers behind by up to 1.2 MB each, and the store with 1 to 5% of its bandwidth for a while.
    void overload()
    {
        this->store.set_bandwidth(this->usual_bandwidth * (0.01 + 0.04 * this->scheduler.draw_fraction()));
        const auto submissions = static_cast<double>(max_submissions) * this->scheduler.draw_fraction();
        this->append("keyed.jobs", static_cast<std::size_t>(submissions), submission_bytes);
        this->append("keyed.states", 1'000, small_record_bytes);
        this->scheduler.run_for(overload_time);
        this->store.set_bandwidth(this->usual_bandwidth);
    }

    // The hosts lose their positions in the topics, as when the store drops its history.
    void drop_history()
    {
        for (const char* topic : {"keyed.policy", "keyed.jobs", "keyed.states"}) {
            this->store.model.trim_history(topic);
            this->append(topic, 1, small_record_bytes);
            this->store.model.trim_history(topic);
        }
    }

    [[nodiscard]] milliseconds find_greatest_age(std::shared_ptr<topic_reader> host_readers::*reader) const
    {
        milliseconds greatest{0};
        for (const auto& host : this->hosts) {
            const auto as_of = ((*host).*reader)->current_as_of();
            greatest = std::max(greatest, as_of ? this->scheduler.now() - *as_of : milliseconds::max());
        }
        return greatest;
    }

    void check_service_is_back()
    {
        this->scheduler.run_for(policy_age_limit);
        for (milliseconds passed = policy_age_limit; passed < recovery_limit; passed += milliseconds(1'000)) {
            RC_ASSERT(this->find_greatest_age(&host_readers::policy) <= policy_age_limit);
            this->scheduler.run_for(milliseconds(1'000));
        }
        const std::size_t failed = this->store.reads_failed;
        for (int second = 0; second < 5; ++second) {
            this->scheduler.run_for(milliseconds(1'000));
            RC_ASSERT(this->find_greatest_age(&host_readers::policy) <= policy_age_limit);
            RC_ASSERT(this->find_greatest_age(&host_readers::states) <= policy_age_limit);
            RC_ASSERT(this->find_greatest_age(&host_readers::jobs) <= policy_age_limit);
        }
        RC_ASSERT(this->store.reads_failed == failed);
    }

    simulated_scheduler scheduler;
    const std::size_t host_count;
    const double usual_bandwidth; // Bytes per ms.
    shared_bandwidth_store store;

private:
    void append_regularly()
    {
        this->append("keyed.states", 1, small_record_bytes);
        if (++this->regular_appends % 20 == 0)
            this->append("keyed.policy", 1, small_record_bytes);
        this->scheduler.call_after(append_interval, [this] { this->append_regularly(); });
    }

    std::vector<std::unique_ptr<host_readers>> hosts;
    std::size_t keys = 0;
    std::size_t regular_appends = 0;
};

} // namespace

BOOST_AUTO_TEST_SUITE(shared_store_story)

BOOST_AUTO_TEST_SUITE(hundreds_of_readers_are_current_again)

BOOST_AUTO_TEST_CASE(after_the_store_was_overloaded_for_seconds)
{
    test::check_property("overload", [](std::uint64_t seed) {
        shared_store_scenario scenario(seed);
        scenario.overload();
        scenario.check_service_is_back();
    });
}

BOOST_AUTO_TEST_CASE(after_the_store_dropped_its_history)
{
    test::check_property("dropped history", [](std::uint64_t seed) {
        shared_store_scenario scenario(seed);
        scenario.append("keyed.jobs", max_submissions, submission_bytes);
        scenario.scheduler.run_for(milliseconds(6'000));
        scenario.drop_history();
        scenario.check_service_is_back();
    });
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(the_pace_of_reads)

BOOST_AUTO_TEST_CASE(asks_for_less_and_waits_longer_after_each_failure)
{
    read_pacer pacer(bulk_pace);
    const std::size_t initial_bytes = pacer.max_bytes();
    BOOST_TEST(pacer.find_retry_delay(0.5).count() == 200);
    pacer.record_failure();
    pacer.record_failure();
    BOOST_TEST(pacer.max_bytes() == initial_bytes / 4);
    BOOST_TEST(pacer.timeout().count() == 2'000);
    BOOST_TEST(pacer.find_retry_delay(0.5).count() == 400);
    BOOST_TEST(pacer.find_retry_delay(0).count() == 200);
    for (int failure = 0; failure < 40; ++failure)
        pacer.record_failure();
    BOOST_TEST(pacer.max_bytes() > 0U);
    BOOST_TEST(pacer.timeout().count() == 2'000);
    BOOST_TEST(pacer.find_retry_delay(0.5).count() == 2'000);
}

BOOST_AUTO_TEST_CASE(asks_for_more_only_while_answers_come_fast_and_there_is_more)
{
    read_pacer pacer(bulk_pace);
    const std::size_t initial_bytes = pacer.max_bytes();
    pacer.record_success(milliseconds(20), true);
    pacer.record_success(milliseconds(20), true);
    BOOST_TEST(pacer.max_bytes() == 4 * initial_bytes);
    pacer.record_success(milliseconds(200), true);
    BOOST_TEST(pacer.max_bytes() == 4 * initial_bytes);
    pacer.record_success(milliseconds(500), true);
    BOOST_TEST(pacer.max_bytes() == 2 * initial_bytes);
    pacer.record_success(milliseconds(20), false);
    BOOST_TEST(pacer.max_bytes() == initial_bytes);
}

BOOST_AUTO_TEST_CASE(pauses_between_reads_while_answers_are_slow)
{
    read_pacer pacer(bulk_pace);
    pacer.record_success(milliseconds(100), true);
    BOOST_TEST(pacer.find_pause(0.5).count() == 0);
    pacer.record_success(milliseconds(400), true);
    BOOST_TEST(pacer.find_pause(0.5).count() == 1'600);
    BOOST_TEST(pacer.find_pause(0).count() == 800);
    pacer.record_success(milliseconds(3'000), true);
    BOOST_TEST(pacer.find_pause(0.5).count() == 4'000);
}

BOOST_AUTO_TEST_CASE(reaches_a_record_that_is_larger_than_a_read)
{
    read_pacer pacer(prompt_pace);
    while (pacer.max_bytes() < 262'144)
        pacer.record_oversize();
    BOOST_TEST(pacer.max_bytes() <= 1'048'576U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

} // namespace wigeon
