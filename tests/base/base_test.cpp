// Tests of the parsers for external input, of rings, metrics and the error table.

#include "base/bounded_ring.h"
#include "base/error_kind.h"
#include "base/json.h"
#include "base/metrics.h"
#include "base/network.h"
#include "base/time.h"
#include "state/configuration.h"
#include "support/property.h"
#include "wigeon.pb.h"

namespace wigeon::test {

BOOST_AUTO_TEST_SUITE(base_story)

BOOST_AUTO_TEST_SUITE(parsers)

BOOST_AUTO_TEST_CASE(accept_any_text_or_throw_malformed_request)
{
    check_property("arbitrary bytes never crash the JSON parser", [](const std::string& text) {
        JobRequest job;
        try {
            parse_json(text, job);
        }
        catch (const error& failure) {
            RC_ASSERT(failure.kind() == error_kind::malformed_request);
        }
    });
    check_property("a damaged document is parsed or refused", [] {
        std::string text = R"({"account": "a", "job_class": "b", "tasks": 2, "adjacency": "ADJACENCY_RACK"})";
        text[*rc::gen::inRange<std::size_t>(0, text.size())] = *rc::gen::arbitrary<char>();
        JobRequest job;
        try {
            parse_json(text, job);
        }
        catch (const error& failure) {
            RC_ASSERT(failure.kind() == error_kind::malformed_request);
        }
    });
}

BOOST_AUTO_TEST_CASE(name_the_unknown_field_and_refuse_negative_sizes)
{
    JobRequest job;
    const auto names = [](const char* field) {
        return [field](const error& e) { return std::string(e.what()).find(field) != std::string::npos; };
    };
    BOOST_CHECK_EXCEPTION(parse_json(R"({"acount": "x"})", job), error, names("acount"));
    BOOST_CHECK_EXCEPTION(parse_json(R"({"tasks": -1})", job), error, names("tasks"));
}

BOOST_AUTO_TEST_CASE(accept_only_whole_addresses)
{
    BOOST_TEST(parse_address("127.0.0.1:80").port == 80);
    for (const char* bad : {"", ":", "host", "host:", ":80", "host:70000", "host:8x"})
        BOOST_CHECK_THROW(parse_address(bad), error);
    check_property("arbitrary addresses are parsed or refused", [](const std::string& text) {
        try {
            parse_address(text);
        }
        catch (const error&) {
        }
    });
}

BOOST_AUTO_TEST_CASE(quote_what_callers_send_into_json)
{
    check_property("a quoted text is read back as it was", [] {
        const auto text = *rc::gen::container<std::string>(rc::gen::inRange<char>(1, 127));
        ControlSettings message;
        parse_json("{\"output\": " + quote_json(text) + "}", message);
        RC_ASSERT(message.output() == text);
    });
}

BOOST_AUTO_TEST_CASE(limit_the_length_and_characters_of_names)
{
    BOOST_TEST(is_valid_name("tampere-1"));
    BOOST_TEST(!is_valid_name(""));
    BOOST_TEST(!is_valid_name(std::string(65, 'a')));
    BOOST_TEST(!is_valid_name("a/b"));
    BOOST_TEST(!is_valid_name("a\"b"));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_CASE(each_error_states_whether_the_request_ran)
{
    for (std::size_t i = 0; i < error_kind_count; ++i) {
        const error_response& response = find_error_response(static_cast<error_kind>(i));
        BOOST_TEST(response.status >= 400);
        BOOST_TEST(response.is_retryable == (response.retry_after_ms > 0));
        const std::string body = format_error_body(error(response.kind, "detail"));
        BOOST_TEST(body.find(to_string(response.execution)) != std::string::npos);
    }
}

BOOST_AUTO_TEST_CASE(a_full_ring_refuses_and_a_closed_one_drains)
{
    bounded_ring<int> ring(2);
    BOOST_TEST(ring.try_push(1));
    BOOST_TEST(ring.try_push(2));
    BOOST_TEST(!ring.try_push(3));
    ring.close();
    BOOST_TEST(*ring.pop(milliseconds(0)) == 1);
    BOOST_TEST(*ring.pop(milliseconds(0)) == 2);
    BOOST_TEST(!ring.pop(milliseconds(0)).has_value());
}

BOOST_AUTO_TEST_CASE(metrics_bound_their_series)
{
    metrics registry;
    for (int i = 0; i < 5000; ++i)
        registry.count("series" + std::to_string(i));
    registry.observe_ms("latency", 3.0);
    const std::string text = registry.format();
    BOOST_TEST(text.find("wigeon_metric_series_dropped_total 904") != std::string::npos);
    BOOST_TEST(text.find("latency_count 1") != std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace wigeon::test
