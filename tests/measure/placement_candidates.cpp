#include "placement_candidates.h"

#include "carobfall/dispatch/task_counts.h"

#include <algorithm>
#include <array>
#include <atomic>
#include <functional>
#include <memory>
#include <queue>
#include <utility>
#include <vector>

namespace carobfall::measure {
namespace {

using candidates_type = std::vector<placement_candidate>;
using counts_type = internal::task_counts;

struct kind_row {
    placement_kind kind;
    std::string_view name;
};

constexpr std::array kind_table{
    kind_row{placement_kind::random, "random"},
    kind_row{placement_kind::round_robin, "round_robin"},
    kind_row{placement_kind::two_choices, "two_choices"},
    kind_row{placement_kind::least_loaded, "least_loaded"},
};

counts_type place_random(const candidates_type& candidates, std::uint32_t tasks,
                         const random_source& random)
{
    counts_type counts(candidates.size(), 0);
    internal::add_each(candidates, counts, tasks, [&](const std::vector<std::size_t>& open) {
        return static_cast<std::size_t>(random() % open.size());
    });
    return counts;
}

counts_type place_round_robin(const candidates_type& candidates, std::uint32_t tasks,
                              std::atomic<std::uint64_t>& cursor)
{
    counts_type counts(candidates.size(), 0);
    internal::add_each(candidates, counts, tasks, [&](const std::vector<std::size_t>& open) {
        return static_cast<std::size_t>(cursor++ % open.size());
    });
    return counts;
}

counts_type place_least_loaded(const candidates_type& candidates, std::uint32_t tasks)
{
    counts_type counts(candidates.size(), 0);
    using scored = std::pair<double, std::size_t>;
    std::priority_queue<scored, std::vector<scored>, std::greater<>> open;
    for (const std::size_t index : internal::with_room(candidates, counts)) {
        open.emplace(candidates[index].load_with(0), index);
    }
    for (; tasks > 0 && !open.empty(); --tasks) {
        const std::size_t index = open.top().second;
        open.pop();
        if (++counts[index] < candidates[index].room) {
            open.emplace(candidates[index].load_with(counts[index]), index);
        }
    }
    return counts;
}

} // namespace

std::string_view name_of(placement_kind kind)
{
    for (const kind_row& row : kind_table) {
        if (row.kind == kind) {
            return row.name;
        }
    }
    return kind_table.front().name;
}

std::optional<placement_kind> placement_kind_from_name(std::string_view name)
{
    for (const kind_row& row : kind_table) {
        if (row.name == name) {
            return row.kind;
        }
    }
    return std::nullopt;
}

placement_policy make_placement(placement_kind kind, const random_source& random)
{
    switch (kind) {
    case placement_kind::random:
        return [random](const candidates_type& candidates, std::uint32_t tasks) {
            return place_random(candidates, tasks, random);
        };
    case placement_kind::round_robin:
        return [cursor = std::make_shared<std::atomic<std::uint64_t>>(0)](
                   const candidates_type& candidates, std::uint32_t tasks) {
            return place_round_robin(candidates, tasks, *cursor);
        };
    case placement_kind::least_loaded:
        return place_least_loaded;
    case placement_kind::two_choices:
        break;
    }
    return make_two_choices(random);
}

} // namespace carobfall::measure
