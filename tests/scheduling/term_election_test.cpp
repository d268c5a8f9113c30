// term_election under random pauses, delays and crashes of schedulers, with replicated_state applying the log.

#include <array>
#include <deque>
#include <optional>
#include <random>

#include "scheduling/term_election.h"
#include "state/replicated_state.h"
#include "support/property.h"

namespace wigeon::test {

namespace {

constexpr milliseconds step_time{50};

// Three schedulers on one log with delayed appends; each reads all that was appended.
class term_model {
public:
    explicit term_model(std::uint64_t seed, milliseconds jitter_step = milliseconds(100)) : random(seed)
    {
        for (std::uint64_t i = 0; i < this->nodes.size(); ++i) {
            term_options options;
            options.claim_jitter = jitter_step * i;
            this->nodes[i].election.emplace(i + 1, options);
        }
    }

    void step(milliseconds append_delay)
    {
        this->now += step_time;
        while (!this->in_flight.empty() && this->in_flight.front().arrives <= this->now) {
            const apply_result result =
                this->log.apply(this->log.next_offset(), this->in_flight.front().record.SerializeAsString());
            this->in_flight.pop_front();
            node& author = this->nodes[result.author - 1];
            author.results.push_back({this->now + this->draw_lag(), result.outcome == apply_outcome::applied});
        }
        this->views.push_back({this->now,
                               {this->log.term(), this->log.holder(), this->log.renewal_offset(),
                                milliseconds(this->log.term_lease_ms())}});
        if (this->views.size() > 128)
            this->views.pop_front();
        for (std::uint64_t i = 0; i < this->nodes.size(); ++i)
            this->run_node(i, append_delay);
    }

    void run_node(std::uint64_t index, milliseconds append_delay)
    {
        node& self = this->nodes[index];
        if (self.is_paused || self.is_dead)
            return;
        const bool is_answered = !self.is_cut_off && this->now - self.read_at >= this->read_interval;
        if (is_answered)
            self.read_at = this->now;
        // Each node reads the log, and the outcome of its own records, with its own lag.
        if (is_answered && !self.results.empty() && self.results.front().first <= this->now) {
            self.election->record_write_result(self.results.front().second, self.read_clock(this->now));
            self.results.pop_front();
        }
        if (is_answered)
            self.seen_at = std::max(self.seen_at, this->now - this->draw_lag());
        term_view seen = this->views.front().second;
        for (const auto& [time, view] : this->views) {
            if (time <= self.seen_at)
                seen = view;
        }
        self.election->record_log_state(seen, self.read_clock(self.read_at), self.read_clock(this->now));
        const term_action action = self.election->decide(self.read_clock(this->now));
        if (action == term_action::nothing)
            return;
        Record record;
        record.set_author(index + 1);
        record.set_sequence(++self.sequence);
        record.set_time_ms(1'000'000);
        if (action == term_action::claim) {
            record.mutable_claim()->set_term(self.election->term() + 1);
            record.mutable_claim()->set_renewal_offset(self.election->last_view().renewal_offset);
            record.mutable_claim()->set_lease_ms(static_cast<std::uint64_t>(self.election->choose_lease().count()));
        }
        else {
            record.mutable_renewal()->set_term(self.election->term());
            record.mutable_renewal()->set_lease_ms(static_cast<std::uint64_t>(self.election->choose_lease().count()));
        }
        self.election->record_write_start(self.read_clock(this->now));
        if (self.is_cut_off)
            return;
        this->in_flight.push_back({this->now + append_delay, std::move(record)});
    }

    [[nodiscard]] int count_acting() const
    {
        int acting = 0;
        for (const node& self : this->nodes)
            acting += !self.is_paused && !self.is_dead && self.election->may_act(self.read_clock(this->now));
        return acting;
    }

    milliseconds draw_lag()
    {
        const auto longest = static_cast<std::uint64_t>(this->longest_lag.count());
        return milliseconds(longest == 0 ? 0 : this->random() % longest);
    }

    struct node {
        std::optional<term_election> election;
        std::uint64_t sequence = 0;
        bool is_paused = false;
        bool is_dead = false;
        bool is_cut_off = false; // Does not reach the log.
        double clock_rate = 1;

        [[nodiscard]] steady_time read_clock(steady_time time) const
        {
            const auto elapsed = std::chrono::duration<double, std::milli>(time.time_since_epoch()) * this->clock_rate;
            return steady_time(milliseconds(static_cast<std::int64_t>(elapsed.count())));
        }
        // When the node reads the outcome of each of its records, and whether the record is in force.
        std::deque<std::pair<steady_time, bool>> results;
        steady_time seen_at{};
        steady_time read_at{}; // When the last response of the log arrived.
    };

    struct delayed_record {
        steady_time arrives;
        Record record;
    };

    std::mt19937_64 random;
    steady_time now{std::chrono::hours(1)};
    replicated_state log;
    std::array<node, 3> nodes;
    std::deque<delayed_record> in_flight;
    std::deque<std::pair<steady_time, term_view>> views;
    milliseconds longest_lag{0};
    milliseconds read_interval{0}; // Between two responses of the log to one node.
};

} // namespace

BOOST_AUTO_TEST_SUITE(term_story)

BOOST_AUTO_TEST_CASE(one_scheduler_acts_whatever_pauses_and_delays)
{
    check_property(
        "at most one running scheduler may act, over 400 steps of 50 ms, appends of up to 3 s, 1 s of lag, reads "
        "of up to 4 s",
        [] {
            term_model model(*rc::gen::arbitrary<std::uint64_t>());
            const auto slowest = *rc::gen::inRange<std::uint64_t>(1, 3'000);
            model.longest_lag = milliseconds(*rc::gen::inRange<int>(0, 1'000));
            model.read_interval = milliseconds(*rc::gen::element(0, 0, 500, 2'000, 4'000));
            for (int i = 0; i < 400; ++i) {
                if (model.random() % 20 == 0)
                    model.nodes[model.random() % 3].is_paused ^= true;
                if (model.random() % 50 == 0)
                    model.nodes[model.random() % 3].election->step_down(model.now);
                model.step(milliseconds(model.random() % slowest));
                RC_ASSERT(model.count_acting() <= 1);
            }
        });
}

BOOST_AUTO_TEST_CASE(a_dead_holder_is_replaced_within_two_seconds)
{
    term_model model(1);
    for (int i = 0; i < 20; ++i)
        model.step(milliseconds(50));
    const std::uint64_t holder = model.log.holder();
    BOOST_REQUIRE(holder != 0);
    model.nodes[holder - 1].is_dead = true;
    int steps = 0;
    while (model.log.holder() == holder && steps < 200) {
        model.step(milliseconds(50));
        ++steps;
    }
    BOOST_TEST(steps * step_time.count() <= 2'000);
}

BOOST_AUTO_TEST_CASE(a_dead_holder_is_replaced_on_a_log_whose_reads_take_seconds)
{
    term_model model(5);
    for (int i = 0; i < 20; ++i)
        model.step(milliseconds(50));
    model.read_interval = milliseconds(3'000);
    for (int i = 0; i < 1'200; ++i)
        model.step(milliseconds(50));
    const std::uint64_t term = model.log.term();
    const std::uint64_t holder = model.log.holder();
    for (int i = 0; i < 1'200; ++i)
        model.step(milliseconds(50));
    // While the holder is alive it keeps the term.
    BOOST_TEST(model.log.term() == term);
    model.nodes[holder - 1].is_dead = true;
    int steps = 0;
    while (model.log.holder() == holder && steps < 2'000) {
        model.step(milliseconds(50));
        ++steps;
    }
    // The longest lease, the reads that return its last renewal and two more, and the jitter.
    BOOST_TEST(steps * step_time.count() <= 15'000 + 4 * 3'000 + 1'000);
}

BOOST_AUTO_TEST_CASE(a_living_holder_keeps_the_term_on_a_log_that_takes_seconds)
{
    term_model model(2);
    for (int i = 0; i < 100; ++i)
        model.step(milliseconds(50));
    const std::uint64_t before = model.log.term();
    for (int i = 0; i < 400; ++i)
        model.step(milliseconds(2'000));
    int acting = 0;
    for (int i = 0; i < 800; ++i) {
        model.step(milliseconds(2'000));
        acting += model.count_acting();
    }
    BOOST_TEST(model.log.term() - before <= 1U);
    BOOST_TEST(acting == 800);
}

BOOST_AUTO_TEST_CASE(clocks_that_run_two_percent_apart_let_no_two_act)
{
    term_model model(6, milliseconds(0));
    model.nodes[0].clock_rate = 0.99;
    model.nodes[1].clock_rate = 1.0098;
    model.nodes[2].clock_rate = 1.0098;
    for (int i = 0; i < 100; ++i)
        model.step(milliseconds(50));
    BOOST_REQUIRE(model.log.holder() == 1U);
    // On a slow log the holder takes long leases, during which the clocks drift furthest apart.
    for (int i = 0; i < 600; ++i)
        model.step(milliseconds(3'000));
    // The renewal in flight arrives, then another one at once, still with such a lease.
    for (int renewal = 0; renewal < 2; ++renewal) {
        const std::uint64_t before = model.log.renewal_offset();
        while (model.log.renewal_offset() == before)
            model.step(milliseconds(0));
    }
    BOOST_REQUIRE(model.log.holder() == 1U);
    BOOST_REQUIRE(model.log.term_lease_ms() >= 8'000U);
    model.nodes[0].is_cut_off = true;
    for (int i = 0; i < 400; ++i) {
        model.step(milliseconds(0));
        BOOST_REQUIRE(model.count_acting() <= 1);
    }
    BOOST_TEST(model.log.holder() != 1U);
}

BOOST_AUTO_TEST_CASE(a_paused_holder_may_not_act_when_it_wakes)
{
    term_model model(3);
    for (int i = 0; i < 40; ++i)
        model.step(milliseconds(50));
    const std::uint64_t holder = model.log.holder();
    model.nodes[holder - 1].is_paused = true;
    for (int i = 0; i < 100; ++i)
        model.step(milliseconds(50));
    BOOST_TEST(model.log.holder() != holder);
    BOOST_TEST(!model.nodes[holder - 1].election->may_act(model.now));
}

BOOST_AUTO_TEST_CASE(a_holder_that_steps_down_is_replaced_and_alone_claims_the_term_again)
{
    for (const bool has_standby : {true, false}) {
        term_model model(4);
        for (int i = 0; i < 40; ++i)
            model.step(milliseconds(50));
        const std::uint64_t holder = model.log.holder();
        BOOST_REQUIRE(holder != 0);
        for (std::uint64_t i = 0; i < model.nodes.size(); ++i)
            model.nodes[i].is_dead = !has_standby && i + 1 != holder;
        model.nodes[holder - 1].election->step_down(model.now);
        BOOST_TEST(!model.nodes[holder - 1].election->may_act(model.now));
        for (int i = 0; i < 60; ++i) {
            model.step(milliseconds(50));
            BOOST_TEST(model.count_acting() <= 1);
        }
        BOOST_TEST((model.log.holder() != holder) == has_standby);
        for (int i = 0; i < 200; ++i)
            model.step(milliseconds(50));
        BOOST_TEST(model.count_acting() == 1);
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace wigeon::test
