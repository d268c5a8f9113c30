// Converts between queue policies and their records.

#include "jobs/queue_policy_record.h"

#include <limits>

namespace wigeon {

records::QueuePolicy make_queue_policy_record(const queue_policy& queue)
{
    records::QueuePolicy record;
    record.set_pool(queue.pool);
    record.set_priority(queue.priority);
    record.set_max_attempts(queue.max_attempts);
    record.set_stretch(queue.stretch);
    record.set_target_duration_ms(queue.target_duration.count());
    if (queue.advice) {
        record.mutable_advisor()->set_base_ms(queue.advice->base_time.count());
        record.mutable_advisor()->set_per_executor_ms(queue.advice->time_per_executor.count());
    }
    return record;
}

queue_policy restore_accepted_policy(const records::Submission& submission)
{
    queue_policy queue;
    queue.name = submission.queue();
    if (!submission.has_accepted_policy()) {
        // No executor is in the pool without a name. The limit of attempts applies once the queue is configured again.
        queue.max_attempts = std::numeric_limits<std::uint32_t>::max();
        return queue;
    }
    const records::QueuePolicy& record = submission.accepted_policy();
    queue.pool = record.pool();
    queue.priority = record.priority();
    queue.max_attempts = record.max_attempts();
    queue.stretch = record.stretch();
    queue.target_duration = milliseconds(record.target_duration_ms());
    if (record.has_advisor())
        queue.advice =
            advisor_latency{milliseconds(record.advisor().base_ms()), milliseconds(record.advisor().per_executor_ms())};
    return queue;
}

} // namespace wigeon
