// Feeds mutated input to the wire decoders. A malformed message must be decoded or refused with `error`; it must
// not crash the process or throw another exception.

#include <span>

#include <boost/test/unit_test.hpp>

#include "base/error_kind.h"
#include "platform/advice_client.h"
#include "platform/caller_interface.h"
#include "platform/executor_client.h"
#include "platform/json_document_decoder.h"
#include "platform/node_settings.h"
#include "platform/store_client.h"
#include "support/property.h"

namespace wigeon::platform {

namespace {

// Deletes, duplicates or overwrites parts of the text, up to five times.
std::string mutate(std::string text)
{
    const auto changes = *rc::gen::inRange(0, 6);
    for (int i = 0; i < changes && !text.empty(); ++i) {
        const auto from = *rc::gen::inRange<std::size_t>(0, text.size());
        const auto length = *rc::gen::inRange<std::size_t>(1, 1 + std::min<std::size_t>(text.size() - from, 24));
        switch (*rc::gen::inRange(0, 4)) {
        case 0:
            text.erase(from, length);
            break;
        case 1:
            text.insert(from, text.substr(from, length));
            break;
        case 2:
            text[from] = static_cast<char>(*rc::gen::inRange(0, 256));
            break;
        default:
            text.replace(from, length,
                         *rc::gen::element<std::string>("null", "[]", "{}", "-1", "1e999", "\"\\u0000\"",
                                                        "18446744073709551616", "\xff", "true", "0.5"));
            break;
        }
    }
    return text;
}

// Feeds mutations of the sample, and drawn bytes of which some are marks of JSON.
template <typename Decode>
void check_decoder(const std::string& name, const std::string& sample, Decode decode)
{
    const auto check = [&](const std::string& text) {
        try {
            decode(text);
        }
        catch (const error&) {
            // A refusal with a reason is allowed; any other exception fails the property.
        }
    };
    wigeon::test::check_property(name, [&] { check(mutate(sample)); });
    wigeon::test::check_property(name + ", drawn bytes", [&] {
        const auto byte = rc::gen::oneOf(rc::gen::arbitrary<char>(), rc::gen::elementOf(std::string("{}[]:,\"\\0-e")));
        check(*rc::gen::container<std::string>(byte));
    });
}

} // namespace

BOOST_AUTO_TEST_SUITE(mutated_wire_story)

BOOST_AUTO_TEST_CASE(settings_are_read_or_refused)
{
    check_decoder("settings",
                  R"({"node-name":"n1","zone":"z1","ip":"127.0.0.1","listen-addrs":{"frontend":"127.0.0.1:1",)"
                  R"("ready":"127.0.0.1:2"},"port-range":[7000,7015],"limits":{"cpu-share":0.25,"memory-mb":260,)"
                  R"("max-fds":4100},"platform":{"address":"127.0.0.1:3"},"bounds":{"hold-max-ms":6000,"stop-ms":200,)"
                  R"("revoke-ms":5000,"grace-s":6,"status_s":120},"advice":null})",
                  [](const std::string& text) { parse_node_settings(text); });
}

BOOST_AUTO_TEST_CASE(documents_are_read_or_skipped)
{
    const json_document_decoder documents;
    check_decoder("configuration",
                  R"({"version":3,"routes":[{"name":"r","host":"h","path-prefix":"/p/","service":"s","priority":2,)"
                  R"("max-attempts":3,"stretch":1.5,"target-duration-ms":100,"advice":{"decide-ms":5,"each-ms":1}}],)"
                  R"("tenants":[{"name":"t","api-keys":["k"],"guaranteed":{"gpu":8}}],"limits":{"max-body-bytes":9}})",
                  [&](const std::string& text) {
                      std::string problem;
                      if (!documents.decode_policy(text, problem))
                          RC_ASSERT(!problem.empty());
                  });
    check_decoder("executor's entry",
                  R"({"service":"s","address":"10.0.0.1:80","zone":"z","state":"ready","headroom":{"cpu":1,"mem-mb":2,)"
                  R"("gpu":3},"labels":["a","r1-3"],"born":5})",
                  [&](const std::string& text) {
                      std::string problem;
                      if (!documents.decode_executor("e", text, problem))
                          RC_ASSERT(!problem.empty());
                  });
}

BOOST_AUTO_TEST_CASE(answers_are_decoded_or_give_a_reason)
{
    check_decoder("poll",
                  R"({"clock-ms":482113,"born":17,"running":[["j.0.0.1",2,"c",41,3]],)"
                  R"("ended":[[58,"j.0.0.9",1,"broken",""]]})",
                  [](const std::string& text) {
                      const poll_result poll = decode_poll({call_outcome::answered, 200, text});
                      RC_ASSERT(poll.outcome == request_outcome::accepted || !poll.reason.empty());
                  });
    check_decoder("refusal", R"({"clock-ms":482113,"reason":"fence"})", [](const std::string& text) {
        RC_ASSERT(!decode_order({call_outcome::answered, 409, text}).reason.empty());
    });
    check_decoder("advice", R"({"good":[["e1","t1"],["e2","t2"]],"valid-ms":3000})", [](const std::string& text) {
        decode_advice({call_outcome::answered, 200, text});
    });
}

BOOST_AUTO_TEST_CASE(submissions_are_accepted_or_refused)
{
    check_decoder("submission",
                  R"({"spec":"text","steps":[{"count":4,"cpu":500,"mem-mb":256,"estimate-ms":900,"affinity":"r1-3"},)"
                  R"({"count":20,"cpu":2000,"mem-mb":1024,"estimate-ms":7000,"after":[0],"checkpointing":true,)"
                  R"("gang":true,"anti-affinity":2}],"times":3,"start-at-ms":1,"interval-ms":2})",
                  [](const std::string& text) { decode_submission(text); });
}

BOOST_AUTO_TEST_CASE(records_are_read_or_counted_as_unreadable)
{
    const std::vector<keyed_record> records{
        {"a", std::string("one")}, {"b", std::nullopt}, {"c", std::string(300, 'x')}};
    check_decoder("records", std::string(16, '\0') + encode_keyed_records(records), [](const std::string& text) {
        const read_result read = decode_records(text, 0, true);
        RC_ASSERT(read.records.size() + read.unreadable_count <= text.size());
    });
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace wigeon::platform
