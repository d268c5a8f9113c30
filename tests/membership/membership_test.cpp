// Members and the times of their beats.

#include "membership/beat_schedule.h"
#include "membership/demand_level.h"
#include "membership/member_table.h"
#include "support/property.h"

namespace wigeon::test {

namespace {

const steady_time start{std::chrono::hours(1)};

} // namespace

BOOST_AUTO_TEST_SUITE(membership_story)

BOOST_AUTO_TEST_CASE(a_process_restarted_at_the_same_address_is_another_member)
{
    member_table members;
    Beat beat;
    beat.set_address("10.0.0.1:1");
    beat.set_role("entry");
    beat.set_incarnation(1);
    beat.set_configuration_version(7);
    beat.set_valid_ms(1'000);
    members.note_beat(beat, start);
    beat.set_incarnation(2);
    beat.set_configuration_version(0);
    members.note_beat(beat, start + milliseconds(10));
    BOOST_TEST(members.list_live("entry").size() == 1U);
    BOOST_TEST(members.list_live("entry").front().beat.incarnation() == 2U);
    BOOST_TEST(members.newest_version() == 7U);
    BOOST_TEST(members.expire(start + milliseconds(1'500)) == 1U);
    BOOST_TEST(members.largest_size("entry") == 1U);
}

BOOST_AUTO_TEST_SUITE(the_level_of_demand)

BOOST_AUTO_TEST_CASE(rests_while_the_demand_stays_within_a_factor_and_follows_it_beyond)
{
    check_property("a noisy demand has one level, a lasting change another, none is zero", [] {
        demand_level level;
        const auto base = *rc::gen::inRange<std::uint32_t>(1, 300);
        const auto draw = [](std::uint32_t low) { return *rc::gen::inRange<std::uint32_t>(low, low + low / 3 + 1); };
        for (int i = 0; i < 100; ++i)
            level.update(draw(base));
        const std::uint32_t settled = level.read();
        RC_ASSERT(settled * 2 >= base);
        for (int i = 0; i < 100; ++i)
            RC_ASSERT(level.update(draw(base)) == settled);
        for (int i = 0; i < 100; ++i)
            level.update(base * 10);
        RC_ASSERT(level.read() * 2 >= base * 10);
        for (int i = 0; i < 200; ++i)
            level.update(0);
        RC_ASSERT(level.read() == 0U);
        RC_ASSERT(level.update(1) == 1U);
    });
}

// Where it settles may not depend on the way there. Found with the seed 20261201 of the case above.
BOOST_AUTO_TEST_CASE(is_far_from_its_edges_after_a_climb)
{
    for (std::uint32_t base = 1; base < 300; ++base) {
        demand_level level;
        for (int i = 0; i < 100; ++i)
            level.update(base);
        const std::uint32_t settled = level.read();
        for (int i = 0; i < 100; ++i)
            level.update(base + base / 3);
        BOOST_TEST(level.read() == settled, "demand " << base << " moves the level from " << settled);
    }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(beats)

BOOST_AUTO_TEST_CASE(are_seldom_at_rest_and_sent_at_once_for_news)
{
    beat_schedule schedule({});
    Beat beat;
    BOOST_TEST(schedule.is_due(beat, start));
    BOOST_TEST(schedule.note_sent(beat, start).count() == 14'000);
    BOOST_TEST(!schedule.is_due(beat, start + milliseconds(3'999)));
    BOOST_TEST(schedule.is_due(beat, start + milliseconds(4'000)));
    beat.set_demand(1);
    BOOST_TEST(schedule.is_due(beat, start + milliseconds(10)));
    BOOST_TEST(schedule.note_sent(beat, start + milliseconds(10)).count() == 3'500);
    BOOST_TEST(!schedule.is_due(beat, start + milliseconds(1'009)));
    BOOST_TEST(schedule.is_due(beat, start + milliseconds(1'010)));
    beat.set_is_leaving(true);
    BOOST_TEST(schedule.is_due(beat, start + milliseconds(20)));
}

BOOST_AUTO_TEST_CASE(come_soon_for_a_process_that_joined)
{
    beat_schedule schedule({});
    const Beat beat;
    schedule.note_sent(beat, start);
    schedule.note_join(start + milliseconds(100));
    BOOST_TEST(schedule.is_due(beat, start + milliseconds(100)));
}

BOOST_AUTO_TEST_CASE(never_let_a_living_process_count_as_gone)
{
    check_property("between two beats, whatever the work, less time passes than the first one allows", [] {
        beat_schedule schedule({});
        member_table members;
        Beat beat;
        beat.set_incarnation(1);
        beat.set_role("entry");
        bool is_known = false;
        for (steady_time now = start; now < start + std::chrono::seconds(60); now += milliseconds(50)) {
            beat.set_demand(*rc::gen::inRange<std::uint32_t>(0, 20) == 0 ? 1 : 0);
            if (schedule.is_due(beat, now)) {
                beat.set_valid_ms(static_cast<std::uint32_t>(schedule.note_sent(beat, now).count()));
                members.note_beat(beat, now);
                is_known = true;
            }
            RC_ASSERT(members.expire(now) == 0U);
            RC_ASSERT(!is_known || members.list_live("entry").size() == 1U);
        }
    });
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

} // namespace wigeon::test
