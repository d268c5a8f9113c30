// Membership, the schedule of heartbeats and the announced demand.

#include "membership/demand_level.h"
#include "membership/heartbeat_schedule.h"
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
    Beat heartbeat;
    heartbeat.set_address("10.0.0.1:1");
    heartbeat.set_role("entry");
    heartbeat.set_incarnation(1);
    heartbeat.set_configuration_version(7);
    heartbeat.set_valid_ms(1'000);
    members.record_heartbeat(heartbeat, start);
    heartbeat.set_incarnation(2);
    heartbeat.set_configuration_version(0);
    members.record_heartbeat(heartbeat, start + milliseconds(10));
    BOOST_TEST(members.list_live("entry").size() == 1U);
    BOOST_TEST(members.list_live("entry").front().heartbeat.incarnation() == 2U);
    BOOST_TEST(members.newest_configuration_version() == 7U);
    BOOST_TEST(members.expire(start + milliseconds(1'500)) == 1U);
    BOOST_TEST(members.peak_live_count("entry") == 1U);
}

BOOST_AUTO_TEST_SUITE(the_level_of_demand)

BOOST_AUTO_TEST_CASE(is_constant_while_the_demand_stays_within_a_factor_and_follows_it_beyond)
{
    check_property("noise keeps the level, a lasting change moves it, and no demand makes it zero", [] {
        demand_level level;
        const auto base = *rc::gen::inRange<std::uint32_t>(1, 300);
        const auto draw = [](std::uint32_t low) { return *rc::gen::inRange<std::uint32_t>(low, low + low / 3 + 1); };
        for (int i = 0; i < 100; ++i)
            level.update(draw(base));
        const std::uint32_t stable_level = level.read();
        RC_ASSERT(stable_level * 2 >= base);
        for (int i = 0; i < 100; ++i)
            RC_ASSERT(level.update(draw(base)) == stable_level);
        for (int i = 0; i < 100; ++i)
            level.update(base * 10);
        RC_ASSERT(level.read() * 2 >= base * 10);
        for (int i = 0; i < 200; ++i)
            level.update(0);
        RC_ASSERT(level.read() == 0U);
        RC_ASSERT(level.update(1) == 1U);
    });
}

// After a rise, the level must not stay at the edge of the hysteresis band, where noise changes it. The case above
// failed for this reason with seed 20261201.
BOOST_AUTO_TEST_CASE(is_not_at_the_edge_of_its_hysteresis_after_a_rise)
{
    for (std::uint32_t base = 1; base < 300; ++base) {
        demand_level level;
        for (int i = 0; i < 100; ++i)
            level.update(base);
        const std::uint32_t stable_level = level.read();
        for (int i = 0; i < 100; ++i)
            level.update(base + base / 3);
        BOOST_TEST(level.read() == stable_level, "demand " << base << " moves the level from " << stable_level);
    }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(heartbeats)

BOOST_AUTO_TEST_CASE(are_rare_when_idle_and_immediate_after_a_change)
{
    heartbeat_schedule schedule({});
    Beat heartbeat;
    BOOST_TEST(schedule.is_due(heartbeat, start));
    BOOST_TEST(schedule.record_sent(heartbeat, start).count() == 14'000);
    BOOST_TEST(!schedule.is_due(heartbeat, start + milliseconds(3'999)));
    BOOST_TEST(schedule.is_due(heartbeat, start + milliseconds(4'000)));
    heartbeat.set_demand(1);
    BOOST_TEST(schedule.is_due(heartbeat, start + milliseconds(10)));
    BOOST_TEST(schedule.record_sent(heartbeat, start + milliseconds(10)).count() == 3'500);
    BOOST_TEST(!schedule.is_due(heartbeat, start + milliseconds(1'009)));
    BOOST_TEST(schedule.is_due(heartbeat, start + milliseconds(1'010)));
    heartbeat.set_is_leaving(true);
    BOOST_TEST(schedule.is_due(heartbeat, start + milliseconds(20)));
}

BOOST_AUTO_TEST_CASE(are_immediate_after_a_process_joined)
{
    heartbeat_schedule schedule({});
    const Beat heartbeat;
    schedule.record_sent(heartbeat, start);
    schedule.record_join(start + milliseconds(100));
    BOOST_TEST(schedule.is_due(heartbeat, start + milliseconds(100)));
}

BOOST_AUTO_TEST_CASE(never_let_a_live_process_expire)
{
    check_property("each heartbeat is still valid when the next one is sent, whatever the demand", [] {
        heartbeat_schedule schedule({});
        member_table members;
        Beat heartbeat;
        heartbeat.set_incarnation(1);
        heartbeat.set_role("entry");
        bool is_known = false;
        for (steady_time now = start; now < start + std::chrono::seconds(60); now += milliseconds(50)) {
            heartbeat.set_demand(*rc::gen::inRange<std::uint32_t>(0, 20) == 0 ? 1 : 0);
            if (schedule.is_due(heartbeat, now)) {
                heartbeat.set_valid_ms(static_cast<std::uint32_t>(schedule.record_sent(heartbeat, now).count()));
                members.record_heartbeat(heartbeat, now);
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
