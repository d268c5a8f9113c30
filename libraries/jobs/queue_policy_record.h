// The policy of a queue as it is recorded with each job, for a leader whose configuration no longer has the queue.

#pragma once

#include "jobs.pb.h"
#include "jobs/fleet_policy.h"

namespace wigeon {

records::QueuePolicy make_queue_policy_record(const queue_policy& queue);

// Returns the policy under which the job was accepted. If its record has none, the job is neither placed nor failed.
queue_policy restore_accepted_policy(const records::Submission& submission);

} // namespace wigeon
