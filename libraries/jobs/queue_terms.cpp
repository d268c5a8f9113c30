// Converts between queue policies and their records.

#include "jobs/queue_terms.h"

#include <limits>

namespace wigeon {

records::QueueTerms make_queue_terms(const queue_policy& queue)
{
    records::QueueTerms terms;
    terms.set_pool(queue.pool);
    terms.set_priority(queue.priority);
    terms.set_max_attempts(queue.max_attempts);
    terms.set_stretch(queue.stretch);
    terms.set_target_duration_ms(queue.target_duration.count());
    if (queue.advice) {
        terms.mutable_advisor()->set_base_ms(queue.advice->base_time.count());
        terms.mutable_advisor()->set_per_executor_ms(queue.advice->time_per_executor.count());
    }
    return terms;
}

queue_policy restore_accepted_policy(const records::Submission& submission)
{
    queue_policy queue;
    queue.name = submission.queue();
    if (!submission.has_accepted_terms()) {
        // No executor is in the pool without a name. The limit of attempts applies once the queue is configured again.
        queue.max_attempts = std::numeric_limits<std::uint32_t>::max();
        return queue;
    }
    const records::QueueTerms& terms = submission.accepted_terms();
    queue.pool = terms.pool();
    queue.priority = terms.priority();
    queue.max_attempts = terms.max_attempts();
    queue.stretch = terms.stretch();
    queue.target_duration = milliseconds(terms.target_duration_ms());
    if (terms.has_advisor())
        queue.advice =
            advisor_latency{milliseconds(terms.advisor().base_ms()), milliseconds(terms.advisor().per_executor_ms())};
    return queue;
}

} // namespace wigeon
