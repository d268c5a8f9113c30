// Best fit by accelerators, within one rack if the unit asks for it. With a speed preference, one pass sums up what
// fits in each speed class, a range of classes is chosen from these sums, and the tasks are packed into that range
// only.

#include "dispatch/placement.h"

#include <algorithm>
#include <array>
#include <iterator>
#include <limits>
#include <map>
#include <tuple>
#include <utility>

namespace wigeon {

namespace {

constexpr std::size_t no_row = std::numeric_limits<std::size_t>::max();

// The fastest classes that together have at least this share of the accelerators are kept for urgent work. A third of
// the fleet is fast; a few of its executors may be missing.
constexpr double fast_share = 0.3;

// Other work takes fast executors that it does not need only while this share of their accelerators stays free. Urgent
// work needs a third of them in the mean, and more in bursts.
constexpr double ample_free_share = 0.5;

// Classes that differ by at most this count as alike: the class of an executor is estimated, and may be one off.
constexpr std::int32_t like_class_distance = 1;

std::uint32_t count_present(present_counts present, std::size_t row)
{
    return present.empty() ? 0 : present[row];
}

// Places `need.count` tasks one by one on the executors of the given rows; nothing if they do not fit.
std::optional<std::vector<std::size_t>> pack_tasks(const placement_need& need,
                                                   std::span<const executor_capacity> executors,
                                                   std::span<const std::size_t> rows, present_counts present)
{
    std::vector<resources> free;
    std::vector<std::uint32_t> taken(rows.size(), 0);
    free.reserve(rows.size());
    for (const std::size_t row : rows)
        free.push_back(executors[row].free);
    std::vector<std::size_t> places;
    for (std::uint32_t task = 0; task < need.count; ++task) {
        std::size_t best = no_row;
        std::pair<std::int64_t, std::int64_t> best_score;
        for (std::size_t index = 0; index < rows.size(); ++index) {
            if (!need.per_task.fits_in(free[index]))
                continue;
            const std::size_t row = rows[index];
            if (need.max_per_executor > 0 && count_present(present, row) + taken[index] >= need.max_per_executor)
                continue;
            const resources left = free[index] - need.per_task;
            const std::pair score{left.accelerators, left.memory_mb};
            if (best == no_row || score < best_score) {
                best = index;
                best_score = score;
            }
        }
        if (best == no_row)
            return std::nullopt;
        free[best] -= need.per_task;
        ++taken[best];
        places.push_back(rows[best]);
    }
    return places;
}

std::int64_t count_fitting_tasks(const placement_need& need, const resources& available, std::uint32_t present)
{
    std::int64_t limit = need.count;
    if (need.max_per_executor > 0)
        limit = std::min<std::int64_t>(limit, need.max_per_executor > present ? need.max_per_executor - present : 0);
    return need.per_task.count_in(available, limit);
}

constexpr std::int32_t class_count = max_speed_class + 1;

// For work that prefers the fastest executors, those on which it is late count as slower than all others.
std::int32_t find_class(const placement_need& need, const executor_capacity& candidate)
{
    const bool is_late =
        need.preference == speed_preference::fastest && candidate.run_time_multiple > need.in_time_multiple;
    return std::clamp(candidate.speed_class, 0, max_speed_class) + (is_late ? class_count : 0);
}

// What fits in each class, and how much of the fleet it is.
struct class_sums {
    struct class_sum {
        std::int64_t fitting = 0;      // Tasks.
        std::int64_t accelerators = 0; // Used or not.
        std::int64_t free = 0;         // Accelerators.
        double pace = 0;               // The highest multiple among the executors where a task fits.
    };

    std::array<class_sum, std::size_t{2} * class_count> classes;
    std::int32_t slowest = 0; // Of the classes that have executors.

    void add(const placement_need& need, const executor_capacity& candidate, std::uint32_t present)
    {
        const std::int32_t speed_class = find_class(need, candidate);
        class_sum& sum = this->classes[static_cast<std::size_t>(speed_class)];
        this->slowest = std::max(this->slowest, speed_class);
        sum.accelerators += candidate.total.accelerators;
        sum.free += std::max<std::int64_t>(candidate.free.accelerators, 0);
        if (!need.per_task.fits_in(candidate.free))
            return;
        const std::int64_t fitting = count_fitting_tasks(need, candidate.free, present);
        sum.fitting += fitting;
        if (fitting > 0)
            sum.pace = std::max(sum.pace, candidate.run_time_multiple);
    }

    [[nodiscard]] const class_sum& at(std::int32_t speed_class) const
    {
        return this->classes[static_cast<std::size_t>(speed_class)];
    }
};

// The classes that are kept for urgent work.
struct fast_classes {
    std::int32_t last = 0;
    bool is_ample = false; // Enough is free for other work to take some.
};

fast_classes find_fast_classes(const placement_need& need, const class_sums& sums)
{
    std::int64_t total = 0;
    for (const class_sums::class_sum& sum : sums.classes)
        total += sum.accelerators;
    fast_classes fast;
    std::int64_t covered = 0;
    std::int64_t free = 0;
    for (std::int32_t speed_class = 0; speed_class <= sums.slowest; ++speed_class) {
        fast.last = speed_class;
        covered += sums.at(speed_class).accelerators;
        free += sums.at(speed_class).free;
        if (covered > 0 && static_cast<double>(covered) >= fast_share * static_cast<double>(total))
            break;
    }
    const std::int64_t left = free - need.per_task.accelerators * need.count;
    fast.is_ample = static_cast<double>(left) >= ample_free_share * static_cast<double>(covered);
    return fast;
}

// A range of classes for a unit. Lower grades are better.
struct class_range {
    std::int32_t first = 0;
    std::int32_t last = 0;
    std::tuple<int, std::int32_t, std::int32_t, std::int32_t> grade;
};

// The smallest bound for which the unit fits into classes from `first` up to it.
std::optional<std::int32_t> find_bound(const placement_need& need, const class_sums& sums, std::int32_t first)
{
    std::int64_t fitting = 0;
    for (std::int32_t last = first; last <= sums.slowest; ++last) {
        fitting += sums.at(last).fitting;
        if (fitting >= need.count)
            return last;
    }
    return std::nullopt;
}

// Among the ranges from `lowest` on whose classes are all at most as slow as `max_multiple`, the one of the most alike
// classes, and then the slowest. Returns nothing if the unit fits into none of them.
std::optional<class_range> find_slow_range(const placement_need& need, const class_sums& sums, std::int32_t lowest,
                                           double max_multiple, int tier)
{
    std::optional<class_range> best;
    for (std::int32_t first = lowest; first <= sums.slowest; ++first) {
        std::int64_t fitting = 0;
        for (std::int32_t last = first; last <= sums.slowest; ++last) {
            if (sums.at(last).pace > max_multiple)
                break;
            fitting += sums.at(last).fitting;
            if (fitting < need.count)
                continue;
            const std::int32_t spread = std::max(last - first - like_class_distance, 0);
            const class_range range{first, last, {tier, spread, -last, -first}};
            if (!best || range.grade < best->grade)
                best = range;
            break;
        }
    }
    return best;
}

// The smallest bound from `first` on; nothing if it does not fit, or has an executor slower than `max_multiple`.
std::optional<class_range> find_quick_range(const placement_need& need, const class_sums& sums, std::int32_t first,
                                            double max_multiple, int tier)
{
    const auto bound = find_bound(need, sums, first);
    if (!bound)
        return std::nullopt;
    for (std::int32_t speed_class = first; speed_class <= *bound; ++speed_class) {
        if (sums.at(speed_class).pace > max_multiple)
            return std::nullopt;
    }
    return class_range{first, *bound, {tier, *bound, 0, 0}};
}

// For work that is not urgent: the slowest executors on which it is in time even if its estimate is too low; else the
// fastest that fit. Those that are kept for urgent work are taken while many of them are free, if the work is late on
// all others, or if it fits on no others.
std::optional<class_range> find_sparing_range(const placement_need& need, const class_sums& sums,
                                              const fast_classes& fast)
{
    constexpr double any_multiple = std::numeric_limits<double>::infinity();
    const std::int32_t after_fast = fast.last + 1;
    if (auto range = find_slow_range(need, sums, after_fast, need.safe_multiple, 0))
        return range;
    if (fast.is_ample) {
        if (auto range = find_slow_range(need, sums, 0, need.safe_multiple, 1))
            return range;
        return find_quick_range(need, sums, 0, any_multiple, 2);
    }
    if (auto range = find_quick_range(need, sums, after_fast, need.in_time_multiple, 3))
        return range;
    if (auto range = find_quick_range(need, sums, 0, need.in_time_multiple, 4))
        return range;
    if (auto range = find_quick_range(need, sums, after_fast, any_multiple, 5))
        return range;
    return find_quick_range(need, sums, 0, any_multiple, 6);
}

// The range of classes in which the unit is placed; nothing if it does not fit on the executors of these rows.
std::optional<class_range> find_range(const placement_need& need, std::span<const executor_capacity> executors,
                                      std::span<const std::size_t> rows, present_counts present,
                                      const std::optional<fast_classes>& fast)
{
    class_sums sums;
    for (const std::size_t row : rows)
        sums.add(need, executors[row], count_present(present, row));
    if (need.preference == speed_preference::fastest)
        return find_quick_range(need, sums, 0, std::numeric_limits<double>::infinity(), 0);
    return find_sparing_range(need, sums, fast ? *fast : find_fast_classes(need, sums));
}

std::vector<std::size_t> select_rows(const placement_need& need, std::span<const executor_capacity> executors,
                                     std::span<const std::size_t> rows, const class_range& range)
{
    std::vector<std::size_t> selected;
    selected.reserve(rows.size());
    std::copy_if(rows.begin(), rows.end(), std::back_inserter(selected), [&](std::size_t row) {
        const std::int32_t speed_class = find_class(need, executors[row]);
        return speed_class >= range.first && speed_class <= range.last;
    });
    return selected;
}

// Places the unit on the executors of the given rows by its preference.
std::optional<std::vector<std::size_t>> place_tasks(const placement_need& need,
                                                    std::span<const executor_capacity> executors,
                                                    std::span<const std::size_t> rows, present_counts present)
{
    if (need.preference == speed_preference::none)
        return pack_tasks(need, executors, rows, present);
    const auto range = find_range(need, executors, rows, present, std::nullopt);
    if (!range)
        return std::nullopt;
    return pack_tasks(need, executors, select_rows(need, executors, rows, *range), present);
}

std::map<std::string_view, std::vector<std::size_t>> group_by_rack(const placement_need& need,
                                                                   std::span<const executor_capacity> executors)
{
    std::map<std::string_view, std::vector<std::size_t>> racks;
    for (std::size_t row = 0; row < executors.size(); ++row) {
        if (is_eligible(need, executors[row]))
            racks[executors[row].rack].push_back(row);
    }
    return racks;
}

// Whether the unit would fit into some rack if that rack were empty.
bool could_fit_in_rack(const placement_need& need, std::span<const executor_capacity> executors)
{
    const auto racks = group_by_rack(need, executors);
    return std::any_of(racks.begin(), racks.end(), [&](const auto& rack) {
        std::int64_t fitting = 0;
        for (const std::size_t row : rack.second)
            fitting += count_fitting_tasks(need, executors[row].total, 0);
        return fitting >= need.count;
    });
}

// The best rack by its range of speed classes, and then the one with the fewest free accelerators.
std::optional<std::vector<std::size_t>>
find_places_in_rack(const placement_need& need, std::span<const executor_capacity> executors, present_counts present)
{
    const auto racks = group_by_rack(need, executors);
    std::optional<fast_classes> fast; // Of all racks.
    if (need.preference == speed_preference::slowest) {
        class_sums sums;
        for (const auto& [rack, rows] : racks) {
            for (const std::size_t row : rows)
                sums.add(need, executors[row], count_present(present, row));
        }
        fast = find_fast_classes(need, sums);
    }
    std::optional<std::vector<std::size_t>> best;
    std::pair<decltype(class_range::grade), std::int64_t> best_score;
    for (const auto& [rack, rows] : racks) {
        std::int64_t fitting = 0;
        std::int64_t left = 0;
        for (const std::size_t row : rows) {
            fitting += count_fitting_tasks(need, executors[row].free, count_present(present, row));
            left += std::max<std::int64_t>(executors[row].free.accelerators, 0);
        }
        if (fitting < need.count)
            continue;
        std::optional<class_range> range = class_range{0, 2 * class_count, {}};
        if (need.preference != speed_preference::none)
            range = find_range(need, executors, rows, present, fast);
        if (!range)
            continue;
        const std::pair score{range->grade, left};
        if (best && score >= best_score)
            continue;
        auto places = pack_tasks(need, executors, select_rows(need, executors, rows, *range), present);
        if (places) {
            best = std::move(places);
            best_score = score;
        }
    }
    return best;
}

} // namespace

bool is_eligible(const placement_need& need, const executor_capacity& candidate)
{
    if (!candidate.is_permitted || candidate.is_quarantined || candidate.is_avoided || candidate.pool != need.pool)
        return false;
    if ((need.is_filling && candidate.has_serving) || (need.is_serving && candidate.has_filling))
        return false;
    if (!need.required_label.empty() &&
        std::find(candidate.labels.begin(), candidate.labels.end(), need.required_label) == candidate.labels.end())
        return false;
    return need.data_rack.empty() || need.may_leave_data_rack || candidate.rack == need.data_rack;
}

std::optional<std::vector<std::size_t>>
find_places(const placement_need& need, std::span<const executor_capacity> executors, present_counts present)
{
    if (need.count > 1 && need.same_rack && could_fit_in_rack(need, executors))
        return find_places_in_rack(need, executors, present);
    std::vector<std::size_t> near_data;
    std::vector<std::size_t> rows;
    for (std::size_t row = 0; row < executors.size(); ++row) {
        if (!is_eligible(need, executors[row]))
            continue;
        rows.push_back(row);
        if (!need.data_rack.empty() && executors[row].rack == need.data_rack)
            near_data.push_back(row);
    }
    if (!near_data.empty()) {
        auto places = place_tasks(need, executors, near_data, present);
        if (places)
            return places;
    }
    return place_tasks(need, executors, rows, present);
}

std::int32_t find_last_fast_class(std::span<const executor_capacity> executors)
{
    const placement_need any;
    class_sums sums;
    for (const executor_capacity& candidate : executors)
        sums.add(any, candidate, 0);
    return find_fast_classes(any, sums).last;
}

double find_pace(std::span<const executor_capacity> executors, std::span<const std::size_t> rows)
{
    double pace = 0;
    for (const std::size_t row : rows)
        pace = std::max(pace, executors[row].run_time_multiple);
    return pace;
}

bool could_ever_fit(const placement_need& need, std::span<const executor_capacity> executors)
{
    if (need.count > 1 && need.same_rack && could_fit_in_rack(need, executors))
        return true;
    std::int64_t fitting = 0;
    for (const executor_capacity& candidate : executors) {
        if (is_eligible(need, candidate))
            fitting += count_fitting_tasks(need, candidate.total, 0);
        if (fitting >= need.count)
            return true;
    }
    return false;
}

} // namespace wigeon
