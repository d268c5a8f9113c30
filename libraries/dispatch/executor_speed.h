// Estimates how long work runs on each executor, as a multiple of the fleet's median executor. Made for fleets whose
// executors run the same work at different speeds that nothing announces, and in which single executors become several
// times slower for some seconds. No I/O, no clock.
//
// The logarithm of a task's progress rate is modelled as the level of its step less the executor's logarithmic
// multiple. The tasks of one step on several executors share the error of the caller's estimate, which the level
// absorbs; the steps on one executor share its speed. Both are found in turn, with medians.

#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "base/time.h"
#include "dispatch/placement.h"

namespace wigeon {

// A running task as one poll reports it. The views are used only during the call.
struct task_observation {
    std::string_view task;
    std::uint32_t run = 0;
    std::string_view step; // The same for all tasks whose estimate has the same error.
    milliseconds estimate{0};
    std::uint32_t percent = 0;
    bool is_resumed = false; // Begins with the restore of a checkpoint.
    bool is_bound = false;   // Progresses at the pace of the slowest of several executors.
};

// A task that one poll reports as completed.
struct end_observation {
    std::string_view task;
    std::uint32_t run = 0;
};

struct speed_estimate {
    double multiple = 1.0;           // Expected run time as a multiple of the fleet's median.
    double confidence = 0;           // From 0 (nothing is known) to 1.
    std::optional<milliseconds> age; // Of the newest sample; none: there is none.
};

// Ratio of the run times of two neighbouring speed classes.
constexpr double speed_class_ratio = 1.25;

class executor_speed {
public:
    // Takes the progress that one poll of an executor reported; `clock` is the executor's own steady clock. Reports of
    // former incarnations, and reports that are not newer than the last one, are ignored. A new incarnation keeps a
    // weak prior.
    void observe(std::string_view executor, std::uint64_t incarnation_ms, milliseconds clock,
                 std::span<const task_observation> running, std::span<const end_observation> ended, boot_time now);

    // The executor has a new incarnation.
    void restart(std::string_view executor, std::uint64_t incarnation_ms);
    void remove(std::string_view executor);

    // Computes the estimates anew if the last computation is speed_update_interval old. `tightest_stretch` is the
    // smallest stretch of any queue; none: there is no queue.
    void update(std::optional<double> tightest_stretch, boot_time now);

    [[nodiscard]] speed_estimate find(std::string_view executor, boot_time now) const;

    // Whether the fleet counts as uneven: at the 90th percentile, work runs at least `tightest_stretch` times as long
    // as at the median, so a job that is planned for a median executor is late on a slow one.
    [[nodiscard]] bool is_uneven() const { return this->counts_as_uneven; }

    // Run time on a slow executor, at the 90th percentile, as a multiple of the median; 1 while too few are known.
    [[nodiscard]] double slow_multiple() const;

    // 0 for the fastest class of the fleet.
    [[nodiscard]] std::int32_t find_class(double multiple) const;

private:
    // The typical logarithmic rate (percent a second) of a step's tasks on the median executor.
    struct step_level {
        double expected = 0; // From the caller's estimate.
        double level = 0;
        double level_weight = 0; // Number of values behind the level; the caller's estimate counts for a part of one.
        double median = 0;       // Of the values.
        std::vector<double> scratch; // Only during a computation.
    };

    struct progress_point {
        milliseconds clock{0};
        std::uint32_t percent = 0;
    };

    struct rate_sample {
        std::shared_ptr<step_level> step;
        double log_rate = 0;
        double weight = 0;           // 1 for a rate without measurement error.
        bool is_lower_bound = false; // The rate is at least this.
        boot_time taken_at;
    };

    struct tracked_task {
        std::string task;
        std::uint32_t run = 0;
        std::uint32_t first_percent = 0;
        milliseconds absent_at{0}; // The newest report without the task; 0: there is none.
        bool is_bound = false;
        bool is_seen = false;               // In the report that is being applied.
        std::vector<progress_point> points; // Oldest first; empty before the first progress.
        rate_sample sample;                 // Of its newest stretch of time; its weight is 0 before the first one.
    };

    struct executor_state {
        std::uint64_t incarnation_ms = 0;
        milliseconds clock{0}; // Of the newest report.
        std::vector<tracked_task> running;
        std::vector<rate_sample> ended; // Of tasks that ended, oldest first.
        double prior = 0;               // Logarithmic multiple, known from earlier.
        double prior_weight = 0;
        double log_multiple = 0;
        double weight = 0; // Sum of the weights of the samples behind it.
        std::optional<boot_time> newest_sample;
    };

    std::shared_ptr<step_level> find_step(const task_observation& observed);
    // Returns the change of the task's logarithmic rate, if it has an earlier one.
    static std::optional<double> sample_progress(tracked_task& task, const progress_point& point, boot_time now);
    static void sample_end(executor_state& state, const tracked_task& task, milliseconds clock, boot_time now);
    static void keep_ended(executor_state& state, const rate_sample& sample);
    static void forget_former_speed(executor_state& state);
    static void drop_old_samples(executor_state& state, boot_time now);
    // The logarithmic rate, or the expected one if only a bound is known.
    static double find_rate(const rate_sample& sample, const executor_state& state);
    // The level according to the other samples of the step, and what a sample that is compared with it is worth.
    static std::pair<double, double> find_level_without(const rate_sample& sample, const executor_state& state);
    void compute_levels();
    // Returns false if the executor has no samples; the multiple then stays.
    static bool compute_multiple(executor_state& state, boot_time now);
    void compute_multiples(boot_time now);
    void center_multiples(boot_time now);
    void update_evenness(std::optional<double> tightest_stretch, boot_time now);

    std::map<std::string, executor_state, std::less<>> executors;
    std::unordered_map<std::string, std::shared_ptr<step_level>> steps;
    std::optional<boot_time> updated_at;
    std::vector<double> known_multiples; // Logarithmic, sorted, of executors with enough samples.
    bool counts_as_uneven = false;
    std::optional<boot_time> differs_since; // Since when the measured fleet contradicts counts_as_uneven.
};

// A round may follow within milliseconds; speeds change within seconds.
constexpr milliseconds speed_update_interval{250};

} // namespace wigeon
