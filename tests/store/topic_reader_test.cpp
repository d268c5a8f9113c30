// Tests that a reader delivers each key's newest record, whatever is appended or trimmed while it loads the pages.

#include <boost/test/unit_test.hpp>

#include "models/scripted_store.h"
#include "net/asio_scheduler.h"
#include "store/topic_reader.h"

namespace wigeon {

namespace {

class recording_consumer : public topic_consumer {
public:
    void apply(const stored_record& record, boot_time) override
    {
        if (record.content.value)
            this->values[record.content.key] = *record.content.value;
        else
            this->values.erase(record.content.key);
        if (this->on_apply)
            this->on_apply();
    }

    void finish_load(const std::map<std::string, std::uint64_t, std::less<>>& keys, boot_time) override
    {
        std::erase_if(this->values, [&](const auto& entry) { return !keys.contains(entry.first); });
    }

    void finish_read(std::size_t, boot_time, boot_time) override { ++this->reads; }

    std::map<std::string, std::string> values;
    std::function<void()> on_apply;
    std::size_t reads = 0;
};

struct reader_fixture {
    boost::asio::io_context loop;
    asio_scheduler scheduler{this->loop};
    scripted_store store{this->loop};
    recording_consumer consumer;
    std::shared_ptr<topic_reader> reader =
        std::make_shared<topic_reader>(this->scheduler, this->store, "keyed.topic",
                                       read_timing{milliseconds(0), milliseconds(10)}, bulk_pace, this->consumer);

    void put(const std::string& key, const std::string& value)
    {
        const std::vector<keyed_record> records{{key, value}};
        this->store.model.append("keyed.topic", records, {});
    }

    void remove(const std::string& key)
    {
        const std::vector<keyed_record> records{{key, std::nullopt}};
        this->store.model.append("keyed.topic", records, {});
    }

    // Runs the loop until a read of everything that is in the store now has succeeded or failed. Returns whether it
    // succeeded.
    bool refresh()
    {
        bool is_answered = false;
        bool is_current = false;
        this->reader->refresh([&](bool current) {
            is_answered = true;
            is_current = current;
        });
        // A loop that has run out of work stays stopped and runs no further handlers until it is restarted.
        this->loop.restart();
        while (!is_answered && this->loop.run_one() > 0)
            continue;
        BOOST_REQUIRE(is_answered);
        return is_current;
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(topic_reader_story)

BOOST_FIXTURE_TEST_CASE(reads_pages_and_then_what_follows, reader_fixture)
{
    for (const char* key : {"a", "b", "c", "d", "e"})
        this->put(key, "old");
    this->reader->start();
    BOOST_TEST(this->refresh());
    BOOST_TEST(this->consumer.values.size() == 5U);
    this->put("b", "new");
    this->remove("c");
    BOOST_TEST(this->refresh());
    BOOST_TEST(this->consumer.values["b"] == "new");
    BOOST_TEST(!this->consumer.values.contains("c"));
}

BOOST_FIXTURE_TEST_CASE(never_falls_back_to_an_older_record_of_a_page_read_earlier, reader_fixture)
{
    for (const char* key : {"a", "b", "c", "d"})
        this->put(key, "1");
    bool is_changed = false;
    this->consumer.on_apply = [&] {
        // While the first page is applied, a key of a later page changes twice.
        if (std::exchange(is_changed, true))
            return;
        this->put("d", "2");
        this->put("d", "3");
    };
    std::string last_seen;
    bool has_fallen_back = false;
    this->reader->start();
    const auto change_key_once = this->consumer.on_apply;
    this->consumer.on_apply = [&] {
        change_key_once();
        const std::string seen = this->consumer.values["d"];
        has_fallen_back = has_fallen_back || seen < last_seen;
        last_seen = seen;
    };
    BOOST_TEST(this->refresh());
    BOOST_TEST(!has_fallen_back);
    BOOST_TEST(this->consumer.values["d"] == "3");
}

BOOST_FIXTURE_TEST_CASE(reloads_when_old_records_were_trimmed, reader_fixture)
{
    this->put("a", "1");
    this->put("gone", "1");
    this->reader->start();
    BOOST_TEST(this->refresh());
    this->put("a", "2");
    this->remove("gone");
    this->store.model.trim_history("keyed.topic");
    BOOST_TEST(this->refresh());
    BOOST_TEST(this->consumer.values["a"] == "2");
    BOOST_TEST(!this->consumer.values.contains("gone"));
}

BOOST_FIXTURE_TEST_CASE(is_refreshed_while_a_read_waits_for_a_record, reader_fixture)
{
    this->put("a", "1");
    this->reader->start();
    BOOST_TEST(this->refresh());
    this->reader->set_timing({milliseconds(60'000), milliseconds(0)});
    this->store.ignores_long_polls = true;
    this->loop.run_for(milliseconds(50));
    this->put("a", "2");
    BOOST_TEST(this->refresh());
    BOOST_TEST(this->consumer.values["a"] == "2");
}

BOOST_FIXTURE_TEST_CASE(does_not_advance_its_freshness_on_failed_reads, reader_fixture)
{
    this->reader->start();
    BOOST_TEST(this->refresh());
    const auto as_of = this->reader->current_as_of();
    this->store.read_fault = store_fault::unreachable;
    BOOST_TEST(!this->refresh());
    BOOST_TEST((this->reader->current_as_of() == as_of));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace wigeon
