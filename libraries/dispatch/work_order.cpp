// The key by which waiting jobs are sorted.

#include "dispatch/work_order.h"

#include <algorithm>

namespace wigeon {

namespace {

// Background work gives way to regular work of the same slack, but not for ever: a fifth of the objective of the users'
// batch jobs (3 x 8 s of work).
constexpr milliseconds background_patience{5'000};

// Tiers of the key; urgent ranks come before all others.
enum tier : std::uint8_t { guaranteed, urgent_in_time, urgent_late, in_time, late, useless };

} // namespace

bool is_in_time(const job_prospect& job, boot_time now)
{
    return now + job.chain <= job.objective;
}

std::string_view to_string(work_rank rank)
{
    switch (rank) {
    case work_rank::guaranteed_urgent:
        return "guaranteed";
    case work_rank::urgent:
        return "urgent";
    case work_rank::regular:
        return "regular";
    case work_rank::background:
        return "background";
    }
    return "unknown";
}

order_key find_order(const job_prospect& job, boot_time now)
{
    const milliseconds slack = job.objective - now - job.chain;
    const bool is_of_use = now + job.chain < job.last_use;
    const std::int64_t age_key = job.arrived.time_since_epoch().count();
    switch (job.rank) {
    case work_rank::guaranteed_urgent:
        return {tier::guaranteed, age_key};
    case work_rank::urgent:
        if (is_in_time(job, now))
            return {tier::urgent_in_time, slack.count()};
        return {is_of_use ? tier::urgent_late : tier::useless, age_key};
    case work_rank::regular:
    case work_rank::background:
        break;
    }
    const milliseconds patience = job.rank == work_rank::background ? background_patience : milliseconds(0);
    if (is_in_time(job, now))
        return {tier::in_time, (slack + patience).count()};
    return {is_of_use ? tier::late : tier::useless, age_key + patience.count()};
}

} // namespace wigeon
