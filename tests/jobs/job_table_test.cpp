// Tests that the job table is the same for any order of the two topics, and that expired records are removed in a safe
// order.

#include <boost/test/unit_test.hpp>

#include "jobs/job_keys.h"
#include "jobs/job_table.h"

namespace wigeon {

namespace {

const boot_time now{milliseconds(1'000)};

keyed_record make_submission(const std::string& job)
{
    records::Submission submission;
    submission.set_queue("q");
    submission.add_steps()->set_count(1);
    return {job, submission.SerializeAsString()};
}

keyed_record make_progress(const std::string& job, records::JobPhase phase)
{
    records::JobProgress progress;
    progress.set_phase(phase);
    return {job, progress.SerializeAsString()};
}

} // namespace

BOOST_AUTO_TEST_SUITE(job_table_story)

BOOST_AUTO_TEST_CASE(a_job_waits_until_its_first_task_is_placed_or_it_is_cancelled)
{
    job_table table;
    table.apply_submission_record(make_submission("a"), now);
    table.apply_submission_record(make_submission("b"), now);
    table.apply_submission_record(make_submission("b"), now);
    BOOST_TEST(table.count_waiting("q") == 2U);
    table.apply_progress_record(make_progress("a", records::JOB_PHASE_RUNNING), now);
    BOOST_TEST(table.count_waiting("q") == 1U);
    table.apply_submission_record({make_cancel_key("b"), std::string("1")}, now);
    BOOST_TEST(table.count_waiting("q") == 0U);
    BOOST_TEST(table.find("b")->is_cancel_requested);
}

BOOST_AUTO_TEST_CASE(a_final_phase_is_not_overwritten)
{
    job_table table;
    table.apply_progress_record(make_progress("a", records::JOB_PHASE_COMPLETED), now);
    table.apply_submission_record(make_submission("a"), now);
    table.apply_progress_record(make_progress("a", records::JOB_PHASE_RUNNING), now);
    BOOST_TEST(table.find("a")->is_final());
}

BOOST_AUTO_TEST_SUITE(a_cancellation_that_comes_before_the_submission)

keyed_record make_submission_of(const std::string& job, const std::string& account)
{
    records::Submission submission;
    submission.set_queue("q");
    submission.set_account(account);
    submission.add_steps()->set_count(1);
    return {job, submission.SerializeAsString()};
}

keyed_record make_early_cancellation(const std::string& job, const std::string& account)
{
    records::EarlyCancellation cancellation;
    cancellation.add_accounts(account);
    return {make_cancel_key(job), cancellation.SerializeAsString()};
}

// Guards against a job that runs after its cancellation was acknowledged (review case 12).
BOOST_AUTO_TEST_CASE(cancels_it_in_either_order_of_the_two_records)
{
    job_table table;
    table.apply_submission_record(make_early_cancellation("a", "one"), now);
    BOOST_TEST(table.find("a") == nullptr);
    table.apply_submission_record(make_submission_of("a", "one"), now);
    BOOST_TEST(table.find("a")->is_cancel_requested);
    BOOST_TEST(table.count_waiting("q") == 0U);
    table.apply_submission_record(make_submission_of("b", "one"), now);
    table.apply_submission_record(make_early_cancellation("b", "one"), now);
    BOOST_TEST(table.find("b")->is_cancel_requested);
    BOOST_TEST(table.count_early_cancellations("one") == 0U);
}

// Guards against one account that cancels what another will submit.
BOOST_AUTO_TEST_CASE(of_another_account_does_nothing)
{
    job_table table;
    table.apply_submission_record(make_early_cancellation("a", "one"), now);
    table.apply_submission_record(make_submission_of("a", "two"), now);
    BOOST_TEST(!table.find("a")->is_cancel_requested);
    table.apply_submission_record(make_submission_of("b", "two"), now);
    table.apply_submission_record(make_early_cancellation("b", "one"), now);
    BOOST_TEST(!table.find("b")->is_cancel_requested);
    BOOST_TEST(table.count_early_cancellations("one") == 2U);
}

// Guards against a store and nodes that fill up with the cancellations of jobs that never come.
BOOST_AUTO_TEST_CASE(is_removed_after_the_retention)
{
    constexpr milliseconds retention{240'000};
    job_table table;
    table.apply_submission_record(make_early_cancellation("a", "one"), now);
    table.apply_submission_record(make_early_cancellation("b", "one"), now);
    table.apply_submission_record(make_early_cancellation("b", "one"), now + milliseconds(1)); // Again, later.
    BOOST_TEST(table.list_expired_cancellations(retention, 10, now + retention).empty());
    const auto removals = table.list_expired_cancellations(retention, 10, now + retention + milliseconds(1));
    BOOST_REQUIRE(removals.size() == 1U);
    BOOST_TEST(removals[0].key == make_cancel_key("a"));
    BOOST_TEST(!removals[0].value.has_value());
    table.apply_submission_record(removals[0], now);
    BOOST_TEST(table.find_early_cancellation("a") == nullptr);
    BOOST_TEST(table.find_early_cancellation("b") != nullptr);
    table.drop_removed_submissions({}, now + milliseconds(60'002));
    BOOST_TEST(table.find_early_cancellation("b") == nullptr);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(jobs_that_ended_long_ago)

struct ended_job {
    ended_job()
    {
        this->table.apply_submission_record(make_submission("a"), now);
        this->table.apply_submission_record({make_cancel_key("a"), std::string("1")}, now);
        this->table.apply_progress_record(make_progress("a", records::JOB_PHASE_CANCELLED), now);
        this->table.apply_submission_record(make_submission("open"), now);
    }

    job_table table;
    const milliseconds retention{240'000};
    const boot_time later = now + this->retention + milliseconds(1);
};

BOOST_FIXTURE_TEST_CASE(lose_their_submission_and_cancellation_after_the_retention, ended_job)
{
    BOOST_TEST(this->table.list_expired_submissions(this->retention, 10, now + this->retention).empty());
    const auto removals = this->table.list_expired_submissions(this->retention, 10, this->later);
    BOOST_REQUIRE(removals.size() == 2U);
    BOOST_TEST(removals[0].key == "a");
    BOOST_TEST(removals[1].key == make_cancel_key("a"));
    BOOST_TEST(!removals[0].value.has_value());
}

BOOST_FIXTURE_TEST_CASE(keep_their_submission_while_a_task_may_still_run, ended_job)
{
    records::JobProgress progress;
    progress.set_phase(records::JOB_PHASE_CANCELLED);
    progress.add_units()->add_placed_on(0);
    this->table.apply_progress_record({"a", progress.SerializeAsString()}, now);
    BOOST_TEST(this->table.list_expired_submissions(this->retention, 10, this->later).empty());
}

// A submission without progress would be taken for a new job and run again.
BOOST_FIXTURE_TEST_CASE(keep_their_progress_until_no_process_has_the_submission, ended_job)
{
    BOOST_TEST(this->table.list_expired_progress(10, this->later).empty());
    this->table.apply_submission_record({"a", std::nullopt}, this->later);
    BOOST_TEST(!this->table.find("a")->submission.has_value());
    BOOST_TEST(this->table.find("a")->is_final());
    BOOST_TEST(this->table.list_expired_progress(10, this->later + milliseconds(60'000)).empty());
    const auto removals = this->table.list_expired_progress(10, this->later + milliseconds(60'001));
    BOOST_REQUIRE(removals.size() == 1U);
    this->table.apply_progress_record(removals[0], this->later);
    BOOST_TEST(this->table.find("a") == nullptr);
}

BOOST_FIXTURE_TEST_CASE(stay_ended_where_the_two_removals_come_in_the_other_order, ended_job)
{
    this->table.apply_progress_record({"a", std::nullopt}, this->later);
    BOOST_TEST(this->table.find("a")->is_final());
    this->table.apply_submission_record({"a", std::nullopt}, this->later);
    BOOST_TEST(!this->table.find("a")->submission.has_value());
}

BOOST_FIXTURE_TEST_CASE(are_dropped_by_a_process_that_reloads_the_topic, ended_job)
{
    this->table.drop_removed_submissions({}, now + milliseconds(1'000));
    BOOST_TEST(this->table.find("a")->submission.has_value());
    this->table.drop_removed_submissions({}, this->later);
    BOOST_TEST(!this->table.find("a")->submission.has_value());
    BOOST_TEST(this->table.find("open")->submission.has_value());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_CASE(unreadable_records_are_reported)
{
    job_table table;
    BOOST_TEST(!table.apply_submission_record({"a", std::string("\xff\xff")}, now));
    BOOST_TEST(!table.apply_progress_record({"a", std::string("\xff\xff")}, now));
    BOOST_TEST(table.find("a") == nullptr);
}

BOOST_AUTO_TEST_CASE(task_names_round_trip)
{
    const task_position position{3, 1, 17};
    const auto name = parse_task_name(make_task_name("5c0e7a21d94b36f8", position));
    BOOST_REQUIRE(name.has_value());
    BOOST_TEST(name->job == "5c0e7a21d94b36f8");
    BOOST_TEST((name->position == position));
    for (const char* text : {"", "a", "a.1", "a.1.2", "a.1.2.x", "a.1.2.3.4", ".1.2.3"})
        BOOST_TEST(!parse_task_name(text).has_value());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace wigeon
