// Computes the key by which waiting jobs are sorted.

#include "dispatch/queue_order.h"

#include <algorithm>

namespace wigeon {

namespace {

// Added to the slack of background work, so that regular work of the same slack comes first but background work does
// not starve. A fifth of the deadline of the users' batch jobs (3 x 8 s of work).
constexpr milliseconds background_penalty{5'000};

// A job that can still meet its deadline, but only if it starts within this time, has no penalty for its account's
// share: jobs that have become late wait for all that have not, so on a fleet that stays full they would not start at
// all. The smallest time that a deadline leaves beside the work.
constexpr milliseconds on_time_rescue{250};

// The same for a late job, whose result would become worthless. Late work finds room more slowly.
constexpr milliseconds useful_rescue{1'000};

// Whether a delay would cost the job its deadline, or all its use.
bool has_to_start_soon(milliseconds slack, milliseconds useful_time)
{
    return slack >= milliseconds(0) ? slack <= on_time_rescue : useful_time <= useful_rescue;
}

// Tiers of the key, first to last. Urgent ranks come before all others while they are useful.
enum tier : std::uint8_t { guaranteed, urgent_on_time, urgent_late, on_time, late, expired };

} // namespace

bool can_meet_deadline(const job_timing& timing, boot_time now)
{
    return now + timing.critical_path <= timing.deadline;
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

order_key make_order_key(const job_timing& timing, boot_time now, milliseconds share_penalty)
{
    const milliseconds slack = timing.deadline - now - timing.critical_path;
    const milliseconds useful_time = timing.useful_until - now - timing.critical_path; // Left for its start.
    const bool is_useful = useful_time > milliseconds(0);
    if (has_to_start_soon(slack, useful_time))
        share_penalty = milliseconds(0);
    const std::int64_t arrival_ms = timing.arrived_at.time_since_epoch().count();
    switch (timing.rank) {
    case work_rank::guaranteed_urgent:
        return {tier::guaranteed, arrival_ms};
    case work_rank::urgent:
        if (can_meet_deadline(timing, now))
            return {tier::urgent_on_time, (slack + share_penalty).count()};
        return {is_useful ? tier::urgent_late : tier::expired, arrival_ms + share_penalty.count()};
    case work_rank::regular:
    case work_rank::background:
        break;
    }
    const milliseconds penalty =
        share_penalty + (timing.rank == work_rank::background ? background_penalty : milliseconds(0));
    if (can_meet_deadline(timing, now))
        return {tier::on_time, (slack + penalty).count()};
    return {is_useful ? tier::late : tier::expired, arrival_ms + penalty.count()};
}

} // namespace wigeon
