// Takes rate samples from reports, and finds the levels of steps and the multiples of executors from them.

#include "dispatch/executor_speed.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <numbers>
#include <utility>

namespace wigeon {

namespace {

// Rates over a shorter time are mostly the error of the clock readings and of the whole percents.
constexpr milliseconds min_sample_time{500};

// A rate is taken over the newest stretch of time with this progress, so that the rounding of both reports to whole
// percents changes it by a quarter at most.
constexpr std::uint32_t min_sample_percent = 4;

constexpr std::size_t max_points = 8;
constexpr std::uint32_t complete_percent = 100;

// Standard deviation of the difference of two rounded percentages.
constexpr double rounding_error_percent = 0.41;

// Variance of the logarithm of the work of the tasks of one step, which callers expect to vary by 15 to 30%.
constexpr double work_variance = 0.25 * 0.25;

// Number of samples that the caller's estimate of a step counts for. Estimates are wrong by a factor of up to two.
constexpr double estimate_weight = 0.3;

// Number of samples that count for the fleet's median in each executor's estimate.
constexpr double median_weight = 0.5;

// Number of samples that the former estimate of a restarted executor counts for at most.
constexpr double restart_weight = 0.5;

constexpr std::size_t max_ended_samples = 12;
constexpr milliseconds max_sample_age{30'000};

// Slower executors are known to be so by a factor of 8 at most. A task that is stuck must not set a larger multiple.
const double max_log_multiple = std::log(10.0);

// Samples that differ more from the executor's median don't count: the task is odd, not the executor.
const double max_deviation = std::log(1.8);

// A change of speed by more than this is one of the executor, not the variation of the work.
const double min_speed_change = std::log(2.0);

// Samples not older than this are compared with the earlier ones to detect a change.
constexpr milliseconds recent_time{1'500};

// The estimate of an executor without new samples returns to the median with this half-life. Executors that are several
// times slower are so only for seconds.
constexpr milliseconds estimate_half_life{20'000};
constexpr milliseconds straggler_half_life{5'000};
const double min_straggler = std::log(2.5);

// Estimates of executors count for the evenness of the fleet with this much behind them, and for this long: once slow
// executors get less work, the fleet must not seem even because of that.
constexpr double min_known_weight = 3;
constexpr milliseconds max_known_age{120'000};
constexpr std::size_t min_known_executors = 10;

// The level of a step is kept when it would be computed from less than this part of the samples.
constexpr double min_level_part = 0.6;

// An executor without newer samples keeps its multiple: two polls have brought none.
constexpr milliseconds max_computed_age{2'500};

// The fleet counts as uneven, or no longer, once the measurement has said so for this long.
constexpr milliseconds uneven_after{1'000};
constexpr milliseconds even_after{5'000};
// Distance of the logarithmic limits for both changes.
constexpr double evenness_hysteresis = 0.08;

// A gang's estimate may be wrong by two, and its work varies.
const double bound_margin = std::log(2.0) + 0.3;

double find_percentile(std::span<const double> sorted, double part)
{
    return sorted[static_cast<std::size_t>(part * static_cast<double>(sorted.size() - 1))];
}

double find_median(std::vector<double>& values)
{
    const auto middle = values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
    std::nth_element(values.begin(), middle, values.end());
    if (values.size() % 2 == 1)
        return *middle;
    return (*middle + *std::max_element(values.begin(), middle)) / 2;
}

struct value_center {
    double median = 0;
    double mean = 0;  // Of the values near the median, which uses them better than the median does.
    double count = 0; // Of these.
};

value_center find_center(std::vector<double>& values)
{
    const double median = find_median(values);
    double sum = 0;
    double count = 0;
    for (const double value : values) {
        if (std::abs(value - median) > max_deviation)
            continue;
        sum += value;
        ++count;
    }
    return count > 0 ? value_center{median, sum / count, count} : value_center{median, median, 1};
}

double find_weight(double percent)
{
    const double error = rounding_error_percent / percent;
    return work_variance / (work_variance + error * error);
}

double find_log_rate(double percent, milliseconds duration)
{
    constexpr double ms_per_second = 1'000;
    return std::log(percent * ms_per_second / static_cast<double>(duration.count()));
}

// The expected logarithm of a rate that is only known to be at least `bound`, given the rate that is expected without
// that knowledge, and the part of a sample that the knowledge is worth.
struct imputed_rate {
    double log_rate = 0;
    double information = 0;
};

imputed_rate impute(double bound, double expected)
{
    const double deviation = std::sqrt(work_variance);
    // Beyond this the bound can't be met by the variation of the work, and the quotient below loses its precision.
    constexpr double max_distance = 4;
    const double distance = std::min((bound - expected) / deviation, max_distance);
    const double density = std::exp(-distance * distance / 2) / std::sqrt(2 * std::numbers::pi);
    const double hazard = density / (std::erfc(distance / std::numbers::sqrt2) / 2);
    return {std::max(expected + deviation * hazard, bound), std::clamp(hazard * (hazard - distance), 0.0, 1.0)};
}

// Part of an estimate that is left at this age.
double find_freshness(double log_multiple, milliseconds age)
{
    const milliseconds half_life = log_multiple > min_straggler ? straggler_half_life : estimate_half_life;
    return std::exp2(-static_cast<double>(age.count()) / static_cast<double>(half_life.count()));
}

} // namespace

std::shared_ptr<executor_speed::step_level> executor_speed::find_step(const task_observation& observed)
{
    std::shared_ptr<step_level>& step = this->steps[std::string(observed.step)];
    if (step == nullptr) {
        step = std::make_shared<step_level>();
        step->expected = find_log_rate(complete_percent, std::max(observed.estimate, milliseconds(1)));
        step->level = step->expected;
    }
    return step;
}

std::optional<double> executor_speed::sample_progress(tracked_task& task, const progress_point& point, boot_time now)
{
    // Before the first progress a task may still start, or restore its checkpoint.
    if (task.points.empty() && point.percent <= task.first_percent)
        return std::nullopt;
    if (!task.points.empty() && point.percent < task.points.back().percent)
        task.points.clear();
    std::optional<double> change;
    const double former = task.sample.log_rate;
    const bool has_former = task.sample.weight > 0;
    bool is_newest = true;
    for (auto start = task.points.rbegin(); start != task.points.rend(); ++start) {
        const milliseconds duration = point.clock - start->clock;
        if (duration < min_sample_time)
            continue;
        const std::uint32_t gained = point.percent - start->percent;
        // The end of the work lies somewhere before a report of 100 percent.
        if (point.percent >= complete_percent)
            break;
        const bool has_slowed =
            is_newest && has_former && find_log_rate(gained + 1, duration) < former - min_speed_change;
        is_newest = false;
        if (gained < min_sample_percent && !has_slowed)
            continue;
        const double percent = std::max<double>(gained, 0.5);
        task.sample.log_rate = find_log_rate(percent, duration);
        task.sample.weight = find_weight(std::max<double>(gained, 1));
        task.sample.taken_at = now;
        if (has_former)
            change = task.sample.log_rate - former;
        break;
    }
    task.points.push_back(point);
    if (task.points.size() > max_points)
        task.points.erase(task.points.begin());
    return change;
}

void executor_speed::keep_ended(executor_state& state, const rate_sample& sample)
{
    state.ended.push_back(sample);
    if (state.ended.size() > max_ended_samples)
        state.ended.erase(state.ended.begin());
}

// A task that ended between two reports has ended at an unknown time between them, and has started at an unknown time
// before its first report. If there is no rate from reports, both give a lower bound of it. Without these bounds, only
// the tasks with most work would count on a fast executor, and it would seem slower than it is.
void executor_speed::sample_end(executor_state& state, const tracked_task& task, milliseconds clock, boot_time now)
{
    if (task.is_bound)
        return;
    if (task.sample.weight > 0) {
        keep_ended(state, task.sample);
        return;
    }
    if (task.points.empty())
        return;
    const progress_point& first = task.points.front();
    rate_sample sample = task.sample;
    sample.log_rate = find_log_rate(std::max<double>(complete_percent - first.percent, 1), clock - first.clock);
    if (task.absent_at > milliseconds(0) && task.first_percent == 0)
        sample.log_rate = std::max(sample.log_rate, find_log_rate(first.percent, first.clock - task.absent_at));
    sample.weight = 1;
    sample.is_lower_bound = true;
    sample.taken_at = now;
    keep_ended(state, sample);
    state.newest_sample = now;
}

void executor_speed::forget_former_speed(executor_state& state)
{
    state.ended.clear();
    state.prior_weight = 0;
}

void executor_speed::restart(std::string_view executor, std::uint64_t incarnation_ms)
{
    const auto found = this->executors.find(executor);
    if (found == this->executors.end() || incarnation_ms <= found->second.incarnation_ms)
        return;
    executor_state& state = found->second;
    executor_state restarted;
    restarted.incarnation_ms = incarnation_ms;
    restarted.prior = state.log_multiple;
    restarted.prior_weight = std::min(state.weight, restart_weight);
    restarted.newest_sample = state.newest_sample;
    restarted.log_multiple = state.log_multiple * restarted.prior_weight / (restarted.prior_weight + median_weight);
    state = std::move(restarted);
}

void executor_speed::remove(std::string_view executor)
{
    const auto found = this->executors.find(executor);
    if (found != this->executors.end())
        this->executors.erase(found);
}

void executor_speed::observe(std::string_view executor, std::uint64_t incarnation_ms, milliseconds clock,
                             std::span<const task_observation> running, std::span<const end_observation> ended,
                             boot_time now)
{
    this->restart(executor, incarnation_ms);
    auto found = this->executors.find(executor);
    if (found == this->executors.end()) {
        if (running.empty())
            return;
        found = this->executors.try_emplace(std::string(executor)).first;
        found->second.incarnation_ms = incarnation_ms;
    }
    executor_state& state = found->second;
    if (incarnation_ms < state.incarnation_ms || clock <= state.clock)
        return;
    const milliseconds former_clock = std::exchange(state.clock, clock);
    std::size_t compared = 0;
    std::size_t slowed = 0;
    std::size_t sped_up = 0;
    for (tracked_task& task : state.running)
        task.is_seen = false;
    for (const task_observation& observed : running) {
        auto known = std::find_if(state.running.begin(), state.running.end(), [&observed](const tracked_task& task) {
            return task.run == observed.run && task.task == observed.task;
        });
        if (known == state.running.end()) {
            tracked_task task;
            task.task = observed.task;
            task.run = observed.run;
            task.is_bound = observed.is_bound;
            task.absent_at = former_clock;
            task.first_percent = observed.is_resumed ? observed.percent : 0;
            task.sample.step = this->find_step(observed);
            state.running.push_back(std::move(task));
            known = state.running.end() - 1;
        }
        known->is_seen = true;
        const auto change = sample_progress(*known, {clock, observed.percent}, now);
        if (known->sample.taken_at == now && known->sample.weight > 0)
            state.newest_sample = now;
        if (!change || known->is_bound)
            continue;
        ++compared;
        slowed += *change < -min_speed_change ? 1 : 0;
        sped_up += *change > min_speed_change ? 1 : 0;
    }
    // The work of a task does not change while it runs, so a changed rate of most tasks is a change of the executor.
    if (std::max(slowed, sped_up) * 2 > compared)
        forget_former_speed(state);
    for (const tracked_task& task : state.running) {
        const bool is_done = std::any_of(ended.begin(), ended.end(), [&task](const end_observation& end) {
            return end.run == task.run && end.task == task.task;
        });
        if (!task.is_seen && is_done)
            sample_end(state, task, clock, now);
    }
    std::erase_if(state.running, [](const tracked_task& task) { return !task.is_seen; });
}

// Drops samples that are too old, and those from before a change of speed.
void executor_speed::drop_old_samples(executor_state& state, boot_time now)
{
    std::erase_if(state.ended, [now](const rate_sample& sample) { return now - sample.taken_at > max_sample_age; });
    std::vector<double> recent;
    std::vector<double> former;
    const auto add = [&recent, &former, now](const rate_sample& sample) {
        if (sample.is_lower_bound)
            return;
        (now - sample.taken_at <= recent_time ? recent : former).push_back(sample.step->level - sample.log_rate);
    };
    for (const rate_sample& sample : state.ended)
        add(sample);
    for (const tracked_task& task : state.running) {
        if (task.sample.weight > 0 && !task.is_bound)
            add(task.sample);
    }
    if (recent.size() < 2 || former.empty())
        return;
    if (std::abs(find_median(recent) - find_median(former)) < min_speed_change)
        return;
    state.prior_weight = 0;
    std::erase_if(state.ended, [now](const rate_sample& sample) { return now - sample.taken_at > recent_time; });
}

double executor_speed::find_rate(const rate_sample& sample, const executor_state& state)
{
    if (!sample.is_lower_bound)
        return sample.log_rate;
    return impute(sample.log_rate, sample.step->level - state.log_multiple).log_rate;
}

void executor_speed::compute_levels()
{
    for (auto& [name, step] : this->steps)
        step->scratch.clear();
    for (const auto& [id, state] : this->executors) {
        for (const rate_sample& sample : state.ended)
            sample.step->scratch.push_back(find_rate(sample, state) + state.log_multiple);
        for (const tracked_task& task : state.running) {
            if (task.sample.weight > 0 && !task.is_bound)
                task.sample.step->scratch.push_back(task.sample.log_rate + state.log_multiple);
        }
    }
    std::vector<double> errors;
    for (auto& [name, step] : this->steps) {
        if (step->scratch.empty())
            continue;
        const value_center center = find_center(step->scratch);
        // Once most samples of the step are gone, the others are still compared with the level that all of them gave.
        if (center.count < step->level_weight * min_level_part) {
            step->scratch.clear();
            continue;
        }
        step->median = center.median;
        step->level = center.mean;
        step->level_weight = center.count;
        errors.push_back(step->level - step->expected);
    }
    // The estimates of callers may be wrong by a common factor, and the whole fleet may be slower than they assume.
    const double common_error = errors.empty() ? 0 : find_median(errors);
    for (auto& [name, step] : this->steps) {
        if (step->scratch.empty())
            continue;
        const double sum = step->level * step->level_weight + (step->expected + common_error) * estimate_weight;
        step->level_weight += estimate_weight;
        step->level = sum / step->level_weight;
    }
}

// A sample that were compared with a level of which it is a part would only repeat the executor's former multiple.
std::pair<double, double> executor_speed::find_level_without(const rate_sample& sample, const executor_state& state)
{
    const step_level& step = *sample.step;
    const double own = find_rate(sample, state) + state.log_multiple;
    if (step.level_weight <= 1 || std::abs(own - step.median) > max_deviation)
        return {step.level, 1.0};
    const double others = step.level_weight - 1;
    return {(step.level * step.level_weight - own) / others, others / step.level_weight};
}

bool executor_speed::compute_multiple(executor_state& state, boot_time now)
{
    std::vector<double> values;
    std::vector<double> weights;
    double bound = std::numeric_limits<double>::infinity();
    const auto add = [&values, &weights, &state](const rate_sample& sample) {
        const auto [level, worth] = find_level_without(sample, state);
        const imputed_rate imputed = sample.is_lower_bound ? impute(sample.log_rate, level - state.log_multiple)
                                                           : imputed_rate{sample.log_rate, sample.weight};
        values.push_back(level - imputed.log_rate);
        weights.push_back(imputed.information * worth);
    };
    for (const rate_sample& sample : state.ended)
        add(sample);
    for (const tracked_task& task : state.running) {
        if (task.sample.weight <= 0 || now - task.sample.taken_at > max_sample_age)
            continue;
        if (task.is_bound)
            bound = std::min(bound, task.sample.step->expected - task.sample.log_rate + bound_margin);
        else
            add(task.sample);
    }
    if (!values.empty()) {
        std::vector<double> copy = values;
        const double median = find_median(copy);
        double sum = state.prior * state.prior_weight;
        state.weight = 0;
        for (std::size_t row = 0; row < values.size(); ++row) {
            if (values.size() > 2 && std::abs(values[row] - median) > max_deviation)
                continue;
            sum += values[row] * weights[row];
            state.weight += weights[row];
        }
        state.log_multiple = sum / (state.weight + state.prior_weight + median_weight);
    }
    state.log_multiple = std::clamp(std::min(state.log_multiple, bound), -max_log_multiple, max_log_multiple);
    return !values.empty();
}

// The levels of steps and the multiples of the executors that run them are known up to a common factor only. It is kept
// such that executors that were known before stay the same at the median; otherwise executors without work, whose
// multiples are not computed anew, would drift against the others.
void executor_speed::compute_multiples(boot_time now)
{
    std::vector<double> drifts;
    std::vector<executor_state*> computed;
    for (auto& [id, state] : this->executors) {
        if (!state.newest_sample || now - *state.newest_sample > max_computed_age)
            continue;
        const double former = state.log_multiple;
        const bool is_known = state.weight >= min_known_weight;
        if (!compute_multiple(state, now))
            continue;
        computed.push_back(&state);
        if (is_known)
            drifts.push_back(state.log_multiple - former);
    }
    if (drifts.size() < min_known_executors)
        return;
    const double drift = find_median(drifts);
    for (executor_state* state : computed)
        state->log_multiple -= drift;
}

// Multiples are relative to the fleet's median. An executor without samples keeps its former multiple.
void executor_speed::center_multiples(boot_time now)
{
    std::vector<double> sampled;
    for (const auto& [id, state] : this->executors) {
        if (state.weight >= 1 && state.newest_sample && now - *state.newest_sample <= max_known_age)
            sampled.push_back(state.log_multiple);
    }
    if (sampled.empty())
        return;
    const double median = find_median(sampled);
    for (auto& [id, state] : this->executors) {
        if (state.newest_sample && now - *state.newest_sample <= max_computed_age)
            state.log_multiple -= median;
    }
}

double executor_speed::slow_multiple() const
{
    if (this->known_multiples.size() < min_known_executors)
        return 1;
    return std::exp(find_percentile(this->known_multiples, 0.9) - find_percentile(this->known_multiples, 0.5));
}

void executor_speed::update_evenness(std::optional<double> tightest_stretch, boot_time now)
{
    this->known_multiples.clear();
    for (const auto& [id, state] : this->executors) {
        if (state.weight >= min_known_weight && state.newest_sample && now - *state.newest_sample <= max_known_age)
            this->known_multiples.push_back(state.log_multiple);
    }
    std::sort(this->known_multiples.begin(), this->known_multiples.end());
    bool is_measured_uneven = false;
    if (tightest_stretch && *tightest_stretch > 1) {
        const double limit = std::log(*tightest_stretch) - (this->counts_as_uneven ? evenness_hysteresis : 0);
        is_measured_uneven = std::log(this->slow_multiple()) >= limit;
    }
    if (is_measured_uneven == this->counts_as_uneven) {
        this->differs_since.reset();
        return;
    }
    if (!this->differs_since)
        this->differs_since = now;
    if (now - *this->differs_since < (is_measured_uneven ? uneven_after : even_after))
        return;
    this->counts_as_uneven = is_measured_uneven;
    this->differs_since.reset();
}

void executor_speed::update(std::optional<double> tightest_stretch, boot_time now)
{
    if (this->updated_at && now - *this->updated_at < speed_update_interval)
        return;
    this->updated_at = now;
    for (auto& [id, state] : this->executors)
        drop_old_samples(state, now);
    // One pass is enough, since each computation begins with the result of the last one.
    this->compute_levels();
    this->compute_multiples(now);
    this->center_multiples(now);
    std::erase_if(this->steps, [](const auto& entry) { return entry.second.use_count() == 1; });
    this->update_evenness(tightest_stretch, now);
}

speed_estimate executor_speed::find(std::string_view executor, boot_time now) const
{
    const auto found = this->executors.find(executor);
    if (found == this->executors.end() || !found->second.newest_sample)
        return {};
    const executor_state& state = found->second;
    const milliseconds age = std::max(now - *state.newest_sample, milliseconds(0));
    const double freshness = find_freshness(state.log_multiple, age);
    const double weight = state.weight + state.prior_weight;
    return {std::exp(state.log_multiple * freshness), freshness * weight / (weight + 1), age};
}

std::int32_t executor_speed::find_class(double multiple) const
{
    if (this->known_multiples.empty())
        return 0;
    const double fastest = find_percentile(this->known_multiples, 0.15);
    const double steps_away = (std::log(multiple) - fastest) / std::log(speed_class_ratio);
    return static_cast<std::int32_t>(std::clamp<double>(std::round(steps_away), 0, max_speed_class));
}

} // namespace wigeon
