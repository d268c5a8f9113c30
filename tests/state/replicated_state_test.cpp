// Tests that equal logs give equal bytes of the replicated state, and that each record takes effect once.

#include "state/record_generator.h"
#include "state/replicated_state.h"
#include "support/property.h"

namespace wigeon::test {

namespace {

std::string replay(const std::vector<std::string>& log, replicated_state state = {})
{
    for (std::uint64_t offset = state.next_offset(); offset < log.size(); ++offset)
        state.apply(offset, log[offset]);
    return state.make_snapshot().SerializeAsString();
}

// Applies records of one author to a state.
class record_author {
public:
    explicit record_author(std::uint64_t author) : author(author) {}

    apply_result append(replicated_state& state, Record record, std::uint64_t time_ms = 1'000'000)
    {
        record.set_author(this->author);
        record.set_sequence(++this->sequence);
        record.set_time_ms(time_ms);
        return state.apply(state.next_offset(), record.SerializeAsString());
    }

    std::uint64_t author;
    std::uint64_t sequence = 0;
};

Record make_change(std::uint64_t base_version, const Configuration& whole)
{
    Record record;
    record.mutable_configuration()->set_base_version(base_version);
    *record.mutable_configuration()->mutable_whole() = whole;
    return record;
}

Record make_submit(const JobRequest& job)
{
    Record record;
    *record.mutable_submit() = job;
    return record;
}

} // namespace

BOOST_AUTO_TEST_SUITE(replicated_state_story)

BOOST_AUTO_TEST_SUITE(every_process_that_reads_the_log)

BOOST_AUTO_TEST_CASE(agrees_with_the_others_byte_for_byte_after_any_restart)
{
    check_property("a snapshot at any point plus the tail equals the whole log", [] {
        record_generator generator(*rc::gen::arbitrary<std::uint64_t>());
        const std::vector<std::string> log = generator.make_log(120);
        const std::size_t cut = *rc::gen::inRange<std::size_t>(0, log.size());
        const std::vector<std::string> head(log.begin(), log.begin() + static_cast<std::ptrdiff_t>(cut));
        SystemState snapshot;
        snapshot.ParseFromString(replay(head));
        RC_ASSERT(replay(log) == replay(log, replicated_state(snapshot)));
    });
}

BOOST_AUTO_TEST_CASE(ignores_copies_of_records_wherever_they_come)
{
    check_property("a log with copies gives the state of the log without them", [] {
        record_generator generator(*rc::gen::arbitrary<std::uint64_t>());
        replicated_state once;
        replicated_state twice;
        for (const std::string& record : generator.make_log(100)) {
            once.apply(once.next_offset(), record);
            twice.apply(twice.next_offset(), record);
            const apply_result copy = twice.apply(twice.next_offset(), record);
            RC_ASSERT(copy.outcome == apply_outcome::duplicate || copy.outcome == apply_outcome::stale);
        }
        SystemState left = once.make_snapshot();
        SystemState right = twice.make_snapshot();
        left.clear_next_offset();
        right.clear_next_offset();
        left.clear_renewal_offset();
        right.clear_renewal_offset();

        RC_ASSERT(left.SerializeAsString() == right.SerializeAsString());
    });
}

BOOST_AUTO_TEST_CASE(refuses_to_skip_a_gap)
{
    replicated_state state;
    BOOST_CHECK_EXCEPTION(state.apply(1, ""), error, [](const error& e) { return e.kind() == error_kind::state_gap; });
}

BOOST_AUTO_TEST_CASE(survives_any_bytes_in_the_log)
{
    check_property("arbitrary bytes are skipped", [](const std::string& bytes) {
        replicated_state state;
        state.apply(0, bytes);
        RC_ASSERT(state.next_offset() == 1U);
    });
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(an_uncertain_append)

BOOST_AUTO_TEST_CASE(has_no_effect_when_its_void_came_first)
{
    replicated_state state;
    record_author author(1);
    author.append(state, make_change(0, make_small_configuration(1, 2, 1, 0)));
    Record original = make_submit(make_job("a0", "late", 1, 1));
    original.set_author(1);
    original.set_sequence(2);
    original.set_time_ms(1'000'000);
    Record void_record;
    void_record.mutable_void_record();
    BOOST_TEST((author.append(state, void_record).outcome == apply_outcome::voided));
    const apply_result late = state.apply(state.next_offset(), original.SerializeAsString());
    BOOST_TEST((late.outcome == apply_outcome::duplicate));
    BOOST_TEST(state.find_job("a0/late") == nullptr);
}

BOOST_AUTO_TEST_CASE(cannot_return_after_its_author_was_forgotten)
{
    replicated_state state;
    record_author author(1);
    record_author other(2);
    author.append(state, make_change(0, make_small_configuration(1, 2, 1, 0)));
    Record old = make_submit(make_job("a0", "old", 1, 1));
    old.set_author(1);
    old.set_sequence(1);
    old.set_time_ms(1'000'000);
    Record renewal;
    renewal.mutable_renewal()->set_term(9);
    std::uint64_t time_ms = 1'000'000;
    constexpr std::uint64_t steps = replicated_state::author_lifetime_ms / replicated_state::clock_step_limit_ms;
    for (std::uint64_t i = 0; i < 2 * steps; ++i)
        other.append(state, renewal, time_ms += replicated_state::clock_step_limit_ms);
    BOOST_TEST(state.make_snapshot().authors_size() == 1);
    BOOST_TEST((state.apply(state.next_offset(), old.SerializeAsString()).outcome == apply_outcome::stale));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(the_quota_of_the_accounts)

BOOST_AUTO_TEST_CASE(is_bounded_and_each_account_has_its_share)
{
    check_property("the total stays within the limit, and an account below its share always has room", [] {
        Configuration configuration = make_small_configuration(1, 1, 3, 0);
        for (Account& account : *configuration.mutable_accounts())
            account.set_weight(*rc::gen::inRange<std::uint32_t>(1, 10));
        constexpr std::uint64_t limit = 60;
        account_quota quota(limit);
        std::map<std::string, std::uint64_t> used_by_account;
        std::uint64_t total = 0;
        std::uint64_t weight_sum = 0;
        for (const Account& account : configuration.accounts())
            weight_sum += account.weight();
        for (int i = 0; i < 200; ++i) {
            const Account& account = configuration.accounts(*rc::gen::inRange(0, 3));
            std::uint64_t& own = used_by_account[account.name()];
            if (own > 0 && *rc::gen::inRange(0, 4) == 0) {
                quota.remove(account.name());
                --own;
                --total;
                continue;
            }
            const bool may_add = quota.may_add(configuration, account.name());
            RC_ASSERT(may_add || own >= limit / 2 * account.weight() / weight_sum);
            if (!may_add)
                continue;
            quota.add(account.name());
            ++own;
            ++total;
            RC_ASSERT(total <= limit);
        }
    });
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(an_author_whose_clock_is_an_hour_ahead)

BOOST_AUTO_TEST_CASE(does_not_make_the_records_of_the_others_too_old)
{
    constexpr std::uint64_t hour_ms = 3'600'000;
    replicated_state state;
    record_author ahead(1);
    record_author correct(2);
    correct.append(state, make_change(0, make_small_configuration(1, 2, 1, 0)));
    Record renewal;
    renewal.mutable_renewal()->set_term(9);
    std::uint64_t wall_clock_ms = 1'000'000;
    for (int i = 0; i < 3'000; ++i) {
        wall_clock_ms += 400;
        ahead.append(state, renewal, state.choose_record_time(wall_clock_ms + hour_ms));
    }
    BOOST_TEST(state.log_time_ms() >= wall_clock_ms + hour_ms - 400);
    const apply_result result =
        correct.append(state, make_submit(make_job("a0", "k", 1, 1)), state.choose_record_time(wall_clock_ms));
    BOOST_TEST((result.outcome == apply_outcome::applied));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(operators_that_race)

BOOST_AUTO_TEST_CASE(get_one_acceptance_and_one_conflict_that_names_the_version)
{
    replicated_state state;
    record_author first(1);
    record_author second(2);
    first.append(state, make_change(0, make_small_configuration(1, 2, 1, 0)));
    const Configuration wanted = make_small_configuration(2, 2, 1, 0);
    BOOST_TEST((first.append(state, make_change(1, wanted)).outcome == apply_outcome::applied));
    const apply_result refused = second.append(state, make_change(1, wanted));
    BOOST_TEST((refused.reason == error_kind::version_conflict));
    BOOST_TEST(refused.detail.find("version 2 is in force") != std::string::npos);
    BOOST_TEST(state.configuration().version() == 2U);
    BOOST_TEST(!state.find_verdict(2, 1)->is_accepted());
}

BOOST_AUTO_TEST_CASE(cannot_guarantee_more_than_the_fleet_holds)
{
    replicated_state state;
    record_author author(1);
    const apply_result refused = author.append(state, make_change(0, make_small_configuration(2, 2, 3, 2)));
    BOOST_TEST((refused.reason == error_kind::infeasible_guarantee));
    BOOST_TEST(refused.detail.find("'a2'") != std::string::npos);
    BOOST_TEST(state.configuration().version() == 0U);
}

BOOST_AUTO_TEST_CASE(cannot_remove_a_worker_under_a_running_job)
{
    replicated_state state;
    record_author author(1);
    author.append(state, make_change(0, make_small_configuration(1, 2, 1, 0)));
    author.append(state, make_submit(make_job("a0", "runs", 1, 8)));
    Record claim;
    claim.mutable_claim()->set_term(1);
    author.append(state, claim);
    Record place;
    place.mutable_decisions()->set_term(1);
    PlaceJob* placed = place.mutable_decisions()->add_decisions()->mutable_place();
    placed->set_job("a0/runs");
    placed->set_attempt(1);
    placed->add_placements()->set_worker("w1");
    author.append(state, place);
    BOOST_TEST(state.find_job("a0/runs")->state() == JOB_PLACED);
    Record removal;
    removal.mutable_configuration()->set_base_version(1);
    removal.mutable_configuration()->mutable_patch()->add_remove_workers("w1");
    BOOST_TEST((author.append(state, removal).reason == error_kind::invalid_configuration));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(schedulers_that_race)

BOOST_AUTO_TEST_CASE(hold_the_term_one_at_a_time)
{
    replicated_state state;
    record_author first(1);
    record_author second(2);
    Record claim;
    claim.mutable_claim()->set_term(1);
    BOOST_TEST((first.append(state, claim).outcome == apply_outcome::applied));
    BOOST_TEST((second.append(state, claim).reason == error_kind::fenced));
    BOOST_TEST(state.holder() == 1U);
    claim.mutable_claim()->set_term(2);
    claim.mutable_claim()->set_renewal_offset(state.renewal_offset());
    Record renewal;
    renewal.mutable_renewal()->set_term(1);
    first.append(state, renewal);
    BOOST_TEST((second.append(state, claim).reason == error_kind::fenced));
    claim.mutable_claim()->set_renewal_offset(state.renewal_offset());
    BOOST_TEST((second.append(state, claim).outcome == apply_outcome::applied));
    Record decisions;
    decisions.mutable_decisions()->set_term(1);
    BOOST_TEST((first.append(state, decisions).reason == error_kind::fenced));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(jobs_and_keys)

BOOST_AUTO_TEST_CASE(keep_the_order_of_the_log_whatever_the_clocks_of_the_entries_say)
{
    replicated_state state;
    record_author behind(1);
    record_author ahead(2);
    behind.append(state, make_change(0, make_small_configuration(1, 2, 1, 0)));
    ahead.append(state, make_submit(make_job("a0", "first", 1, 1)), 1'060'000);
    behind.append(state, make_submit(make_job("a0", "second", 1, 1)), 1'000'000);
    BOOST_TEST(state.find_job("a0/first")->acceptance() < state.find_job("a0/second")->acceptance());
}

BOOST_AUTO_TEST_CASE(of_a_flooding_account_are_refused_while_the_others_have_room)
{
    replicated_state state;
    record_author author(1);
    author.append(state, make_change(0, make_small_configuration(1, 2, 2, 0)));
    const auto submit = [&](const std::string& account, std::uint64_t number) {
        return author.append(state, make_submit(make_job(account, "k" + std::to_string(number), 1, 1)));
    };
    std::uint64_t accepted = 0;
    while (accepted < replicated_state::kept_jobs_limit && submit("a0", accepted).outcome == apply_outcome::applied)
        ++accepted;
    BOOST_TEST(accepted == replicated_state::kept_jobs_limit / 2);
    BOOST_TEST((submit("a0", accepted).reason == error_kind::too_many_jobs));
    BOOST_TEST((submit("a0", 0).outcome == apply_outcome::applied)); // The job is known already: nothing is added.
    BOOST_TEST((submit("a1", 0).outcome == apply_outcome::applied));
    const replicated_state restored(state.make_snapshot());
    BOOST_CHECK_THROW(restored.check_job_quota("a0"), error);
    restored.check_job_quota("a1");
}

BOOST_AUTO_TEST_CASE(are_accepted_once_for_each_key)
{
    replicated_state state;
    record_author author(1);
    author.append(state, make_change(0, make_small_configuration(1, 2, 1, 0)));
    BOOST_TEST((author.append(state, make_submit(make_job("a0", "k", 1, 1))).outcome == apply_outcome::applied));
    BOOST_TEST((author.append(state, make_submit(make_job("a0", "k", 1, 1))).outcome == apply_outcome::applied));
    BOOST_TEST((author.append(state, make_submit(make_job("a0", "k", 2, 1))).reason == error_kind::key_conflict));
    BOOST_TEST(state.jobs().size() == 1U);
}

BOOST_AUTO_TEST_CASE(are_refused_with_the_largest_gang_when_they_can_never_run)
{
    replicated_state state;
    record_author author(1);
    author.append(state, make_change(0, make_small_configuration(2, 2, 1, 0)));
    const apply_result refused = author.append(state, make_submit(make_job("a0", "big", 3, 8)));
    BOOST_TEST((refused.reason == error_kind::never_fits));
    BOOST_TEST(refused.detail.find("largest gang of this shape is 2") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(give_a_request_key_to_the_first_that_asks)
{
    replicated_state state;
    record_author first(1);
    record_author second(2);
    Record note;
    note.mutable_key()->set_account("a0");
    note.mutable_key()->set_key("k");
    note.mutable_key()->set_outcome(KEY_TAKEN);
    BOOST_TEST((first.append(state, note).outcome == apply_outcome::applied));
    BOOST_TEST((second.append(state, note).reason == error_kind::key_in_progress));
    note.mutable_key()->set_outcome(KEY_NOT_RUN);
    BOOST_TEST((second.append(state, note).reason == error_kind::key_conflict));
    BOOST_TEST((first.append(state, note).outcome == apply_outcome::applied));
    note.mutable_key()->set_outcome(KEY_TAKEN);
    BOOST_TEST((second.append(state, note).outcome == apply_outcome::applied));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

} // namespace wigeon::test
