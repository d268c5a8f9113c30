// Compares the records that are kept for peers with a model that keeps all records.

#include "replica/record_history.h"

#include <map>

#include "support/property.h"

namespace wigeon::test {

BOOST_AUTO_TEST_SUITE(replica_story)

BOOST_AUTO_TEST_SUITE(the_history_of_records)

BOOST_AUTO_TEST_CASE(hands_over_all_that_is_missing_or_nothing)
{
    check_property("whatever the sizes and gaps", [] {
        const std::size_t limit = 200;
        record_history history(limit);
        std::map<std::uint64_t, std::string> all;
        std::uint64_t offset = *rc::gen::inRange<std::uint64_t>(0, 5);
        const std::uint64_t begin = offset;
        std::uint64_t last_gap = offset;
        for (int i = 0; i < 60; ++i) {
            if (*rc::gen::inRange(0, 20) == 0) {
                offset += 3;
                last_gap = offset;
            }
            all[offset] = std::to_string(offset) + std::string(*rc::gen::inRange<std::size_t>(0, 12), 'x');
            history.add(offset, all[offset]);
            ++offset;
        }
        for (std::uint64_t from = begin; from < offset; ++from) {
            const LogPage page = history.make_page(from);
            if (page.records_size() == 0)
                continue;
            RC_ASSERT(page.first_offset() == from);
            RC_ASSERT(page.first_offset() + static_cast<std::uint64_t>(page.records_size()) == offset);
            for (int i = 0; i < page.records_size(); ++i)
                RC_ASSERT(page.records(i) == all.at(from + static_cast<std::uint64_t>(i)));
        }
        // The newest records since the last gap are kept exactly as long as their total size is within the limit.
        std::size_t bytes = 0;
        for (std::uint64_t from = offset; from-- > last_gap;) {
            bytes += all.at(from).size();
            RC_ASSERT((history.make_page(from).records_size() > 0) == (bytes <= limit));
        }
    });
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

} // namespace wigeon::test
