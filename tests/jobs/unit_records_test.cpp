// Records of single units and the progress of a whole job say the same.

#include <map>
#include <string>

#include <boost/test/unit_test.hpp>

#include "jobs/unit_records.h"

namespace wigeon {

namespace {

const std::string job = "5c0e7a21d94b36f8";

// A gang of two tasks on two executors that are also used by a single task, and a unit that is done.
records::JobProgress make_progress()
{
    records::JobProgress progress;
    for (const char* id : {"e1", "e2", "e3"}) {
        records::ExecutorLife& incarnation = *progress.add_executors();
        incarnation.set_id(id);
        incarnation.set_born_ms(7);
    }
    records::UnitProgress& gang = *progress.add_units();
    gang.set_run(2);
    gang.set_failures(1);
    gang.set_counted_run(1);
    gang.set_checkpoint("saved");
    gang.add_placed_on(2);
    gang.add_placed_on(1);
    gang.add_placed_on(2);
    records::UnitProgress& single = *progress.add_units();
    single.set_occurrence(3);
    single.set_step(1);
    single.set_first_task(17);
    single.set_run(1);
    single.add_placed_on(0);
    records::UnitProgress& ended = *progress.add_units();
    ended.set_step(1);
    ended.set_first_task(4);
    ended.set_done(true);
    return progress;
}

std::vector<std::string> list_executors(const records::JobProgress& progress, const records::UnitProgress& unit)
{
    std::vector<std::string> ids;
    for (const std::uint32_t row : unit.placed_on())
        ids.push_back(progress.executors(static_cast<int>(row)).id());
    return ids;
}

} // namespace

BOOST_AUTO_TEST_SUITE(unit_records_story)

BOOST_AUTO_TEST_CASE(restore_the_progress_from_which_they_were_made)
{
    const records::JobProgress original = make_progress();
    unit_progress_map loaded;
    for (const keyed_record& record : make_unit_records(job, original))
        BOOST_TEST(add_unit_record(record, loaded));
    BOOST_REQUIRE(loaded.size() == 1U);
    const records::JobProgress& restored = loaded.at(job);
    BOOST_REQUIRE(restored.units_size() == original.units_size());
    for (int row = 0; row < original.units_size(); ++row) {
        const records::UnitProgress& before = original.units(row);
        const records::UnitProgress& after = restored.units(row);
        BOOST_TEST(make_unit_key(job, after) == make_unit_key(job, before));
        BOOST_TEST(after.run() == before.run());
        BOOST_TEST(after.failures() == before.failures());
        BOOST_TEST(after.counted_run() == before.counted_run());
        BOOST_TEST(after.checkpoint() == before.checkpoint());
        BOOST_TEST(after.done() == before.done());
        BOOST_TEST(list_executors(restored, after) == list_executors(original, before),
                   boost::test_tools::per_element());
    }
}

BOOST_AUTO_TEST_CASE(that_cannot_be_read_change_nothing)
{
    unit_progress_map loaded;
    records::UnitRecord without_executor;
    without_executor.mutable_progress()->add_placed_on(0);
    const std::string key = job + ".0.0.0";
    BOOST_TEST(!add_unit_record({key, without_executor.SerializeAsString()}, loaded));
    BOOST_TEST(!add_unit_record({key, std::string("\xff\xff")}, loaded));
    BOOST_TEST(!add_unit_record({key, std::nullopt}, loaded));
    BOOST_TEST(!add_unit_record({"no task", records::UnitRecord().SerializeAsString()}, loaded));
    BOOST_TEST(loaded.empty());
}

// Guards against a new leader that holds each unit that was ever done (review case 7).
BOOST_AUTO_TEST_SUITE(of_finished_occurrences)

BOOST_AUTO_TEST_CASE(are_collected_as_ranges_and_the_others_unit_by_unit)
{
    records::Submission submission;
    submission.set_occurrences(20);
    submission.add_steps()->set_count(2);
    submission.add_steps()->set_gang(true);
    job_table jobs;
    jobs.apply_submission_record({job, submission.SerializeAsString()}, boot_time{});
    std::map<std::string, std::string> stored; // The store lists records in the order of their keys.
    const auto add = [&stored](const task_position& position, bool is_done) {
        records::UnitRecord record;
        record.mutable_progress()->set_done(is_done);
        record.mutable_progress()->set_run(is_done ? 0 : 1);
        stored[make_task_name(job, position)] = record.SerializeAsString();
    };
    for (std::uint32_t occurrence = 0; occurrence < 13; ++occurrence) {
        for (const task_position& position : {task_position{occurrence, 0, 0}, {occurrence, 0, 1}, {occurrence, 1, 0}})
            add(position, occurrence != 4 || position.step == 0);
    }
    add({15, 0, 0}, true); // Its other units were not placed.
    unit_progress_collector collector(jobs);
    for (const auto& [key, content] : stored)
        BOOST_TEST(collector.add({key, content}));
    const unit_progress_map collected = collector.finish();
    const records::JobProgress& progress = collected.at(job);
    BOOST_REQUIRE(progress.finished_size() == 2);
    BOOST_TEST(progress.finished(0).first() == 0U);
    BOOST_TEST(progress.finished(0).count() == 4U);
    BOOST_TEST(progress.finished(1).first() == 5U);
    BOOST_TEST(progress.finished(1).count() == 8U);
    BOOST_TEST(progress.units_size() == 4);
}

BOOST_AUTO_TEST_CASE(of_an_unknown_job_are_kept_unit_by_unit)
{
    const job_table no_jobs;
    unit_progress_collector collector(no_jobs);
    records::UnitRecord done;
    done.mutable_progress()->set_done(true);
    BOOST_TEST(collector.add({make_task_name(job, {0, 0, 0}), done.SerializeAsString()}));
    BOOST_TEST(!collector.add({"no-task-name", done.SerializeAsString()}));
    BOOST_TEST(collector.finish().at(job).units_size() == 1);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

} // namespace wigeon
