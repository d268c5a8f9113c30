// Tests that the removal of expired records never removes a record that was written after they had been read.

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "jobs/job_keys.h"
#include "models/scripted_store.h"
#include "node/job_sweeper.h"

namespace wigeon {

namespace {

constexpr milliseconds retention{1'000};

class empty_policy : public document_decoder {
public:
    std::optional<fleet_policy> decode_policy(std::string_view, std::string&) const override { return fleet_policy{}; }

    std::optional<executor_entry> decode_executor(std::string_view, std::string_view, std::string&) const override
    {
        return std::nullopt;
    }
};

struct sweeper_fixture {
    boost::asio::io_context loop;
    scripted_store store{this->loop};
    empty_policy decoder;
    node_state state{this->loop, this->store, {"keyed.policy", "policy", "keyed.executors"}, this->decoder};
    std::shared_ptr<job_sweeper> sweeper = std::make_shared<job_sweeper>(this->store, this->state, retention);

    sweeper_fixture()
    {
        this->store.model.append("keyed.policy", std::vector<keyed_record>{{"policy", "{}"}}, {});
        this->cancel();
        this->state.start();
        this->run_until([&] { return this->state.is_loaded(); });
    }

    // A cancellation of a job that the store does not hold.
    void cancel()
    {
        records::EarlyCancellation cancellation;
        cancellation.add_accounts("account");
        const std::vector<keyed_record> records{{make_cancel_key("job"), cancellation.SerializeAsString()}};
        this->store.model.append(std::string(jobs_topic), records, {});
    }

    void sweep_expired()
    {
        const std::size_t appends = this->store.append_calls;
        this->sweeper->sweep(boot_clock::now() + retention + milliseconds(10'000));
        BOOST_REQUIRE(this->store.append_calls == appends + 1);
        this->loop.run_for(milliseconds(50));
    }

    void run_until(const std::function<bool()>& is_done)
    {
        this->loop.restart();
        while (!is_done() && this->loop.run_one() > 0)
            continue;
        BOOST_REQUIRE(is_done());
    }

    [[nodiscard]] bool has_cancellation() const
    {
        return !this->store.model.read_newest(std::string(jobs_topic), "", 1).records.empty();
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(job_sweeper_story)

BOOST_FIXTURE_TEST_CASE(expired_records_are_removed, sweeper_fixture)
{
    this->sweep_expired();
    BOOST_TEST(!this->has_cancellation());
}

// Guards against a job that runs after its cancellation was answered: the removal of an earlier record of it takes
// effect after the newer one was written.
BOOST_FIXTURE_TEST_CASE(a_removal_that_takes_effect_late_spares_what_was_written_since, sweeper_fixture)
{
    this->store.append_fault = store_fault::late;
    this->sweep_expired();
    this->cancel();
    this->store.carry_out_late_appends();
    BOOST_TEST(this->has_cancellation());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace wigeon
