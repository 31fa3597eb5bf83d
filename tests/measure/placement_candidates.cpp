#include "placement_candidates.h"

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
using counts_type = std::vector<std::uint32_t>;

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

double load_with(const placement_candidate& candidate, std::uint32_t added)
{
    const double tasks = static_cast<double>(candidate.reported) + candidate.outstanding + added;
    return tasks / std::max<std::uint32_t>(1, candidate.slots);
}

std::vector<std::size_t> with_room(const candidates_type& candidates, const counts_type& counts)
{
    std::vector<std::size_t> indices;
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        if (counts[i] < candidates[i].room) {
            indices.push_back(i);
        }
    }
    return indices;
}

// Adds tasks one at a time to the candidate that `choose` picks from those with room.
template <typename Choose>
void add_each(const candidates_type& candidates, counts_type& counts, std::uint32_t tasks,
              Choose choose)
{
    std::vector<std::size_t> open = with_room(candidates, counts);
    for (; tasks > 0 && !open.empty(); --tasks) {
        const std::size_t position = choose(open);
        const std::size_t index = open[position];
        if (++counts[index] >= candidates[index].room) {
            open.erase(open.begin() + static_cast<std::ptrdiff_t>(position));
        }
    }
}

counts_type place_random(const candidates_type& candidates, std::uint32_t tasks,
                         const random_source& random)
{
    counts_type counts(candidates.size(), 0);
    add_each(candidates, counts, tasks, [&](const std::vector<std::size_t>& open) {
        return static_cast<std::size_t>(random() % open.size());
    });
    return counts;
}

counts_type place_round_robin(const candidates_type& candidates, std::uint32_t tasks,
                              std::atomic<std::uint64_t>& cursor)
{
    counts_type counts(candidates.size(), 0);
    add_each(candidates, counts, tasks, [&](const std::vector<std::size_t>& open) {
        return static_cast<std::size_t>(cursor++ % open.size());
    });
    return counts;
}

counts_type place_least_loaded(const candidates_type& candidates, std::uint32_t tasks)
{
    counts_type counts(candidates.size(), 0);
    using scored = std::pair<double, std::size_t>;
    std::priority_queue<scored, std::vector<scored>, std::greater<>> open;
    for (const std::size_t index : with_room(candidates, counts)) {
        open.emplace(load_with(candidates[index], 0), index);
    }
    for (; tasks > 0 && !open.empty(); --tasks) {
        const std::size_t index = open.top().second;
        open.pop();
        if (++counts[index] < candidates[index].room) {
            open.emplace(load_with(candidates[index], counts[index]), index);
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
