#include "carobfall/dispatch/placement.h"

#include "carobfall/dispatch/task_counts.h"

#include <absl/random/random.h>

#include <algorithm>
#include <utility>

namespace carobfall {
namespace {

using candidates_type = std::vector<placement_candidate>;
using counts_type = internal::task_counts;

// Agents are drawn until their free slots are this many times the number of tasks. Few agents keep
// the number of start batches low; a factor of 1 would fill every drawn agent completely.
constexpr std::uint64_t spread_factor = 2;

// Draws two positions in `open` at random and returns the position of the less loaded candidate.
std::size_t better_of_two(const candidates_type& candidates, const counts_type& counts,
                          const std::vector<std::size_t>& open, const random_source& random)
{
    if (open.size() == 1) {
        return 0;
    }
    const std::size_t first = random() % open.size();
    std::size_t second = random() % (open.size() - 1);
    second += second >= first ? 1 : 0;
    const double first_load = candidates[open[first]].load_with(counts[open[first]]);
    const double second_load = candidates[open[second]].load_with(counts[open[second]]);
    return second_load < first_load ? second : first;
}

// Draws candidates with free slots by two choices until they have enough free slots in total.
std::vector<std::size_t> draw_for(const candidates_type& candidates, std::uint32_t tasks,
                                  const random_source& random)
{
    std::vector<std::size_t> open;
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        if (std::min(candidates[i].free_slots(), candidates[i].room) > 0) {
            open.push_back(i);
        }
    }
    const counts_type no_counts(candidates.size(), 0);
    std::vector<std::size_t> drawn;
    for (std::uint64_t free = 0; free < spread_factor * tasks && !open.empty();) {
        const std::size_t position = better_of_two(candidates, no_counts, open, random);
        drawn.push_back(open[position]);
        free += candidates[open[position]].free_slots();
        open[position] = open.back();
        open.pop_back();
    }
    return drawn;
}

// Distributes the tasks among the drawn candidates in proportion to their free slots. Returns the
// number of tasks placed.
std::uint32_t share_by_free_slots(const candidates_type& candidates,
                                  const std::vector<std::size_t>& drawn, std::uint32_t tasks,
                                  counts_type& counts)
{
    std::uint64_t total = 0;
    for (const std::size_t index : drawn) {
        total += candidates[index].free_slots();
    }
    std::uint64_t before = 0;
    std::uint32_t placed = 0;
    for (const std::size_t index : drawn) {
        // Rounds the cumulative sum, so that the shares add up to `tasks`.
        const std::uint64_t after = before + candidates[index].free_slots();
        const std::uint64_t share = tasks * after / total - tasks * before / total;
        before = after;
        const auto limit = std::min(candidates[index].free_slots(), candidates[index].room);
        counts[index] = static_cast<std::uint32_t>(std::min<std::uint64_t>(share, limit));
        placed += counts[index];
    }
    return placed;
}

counts_type place_two_choices(const candidates_type& candidates, std::uint32_t tasks,
                              const random_source& random)
{
    counts_type counts(candidates.size(), 0);
    const std::vector<std::size_t> drawn = draw_for(candidates, tasks, random);
    const std::uint32_t placed = share_by_free_slots(candidates, drawn, tasks, counts);
    internal::add_each(candidates, counts, tasks - placed,
                       [&](const std::vector<std::size_t>& open) {
                           return better_of_two(candidates, counts, open, random);
                       });
    return counts;
}

} // namespace

random_source make_random_source()
{
    return [] {
        thread_local absl::BitGen generator;
        return absl::Uniform<std::uint64_t>(generator);
    };
}

double placement_candidate::load_with(std::uint32_t added) const
{
    return (static_cast<double>(tasks) + added) / std::max<std::uint32_t>(1, slots);
}

std::uint32_t placement_candidate::free_slots() const
{
    return slots - std::min(slots, tasks);
}

std::vector<std::size_t> internal::with_room(const candidates_type& candidates,
                                             const task_counts& counts)
{
    std::vector<std::size_t> indices;
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        if (counts[i] < candidates[i].room) {
            indices.push_back(i);
        }
    }
    return indices;
}

placement_policy make_two_choices(random_source random)
{
    return [random = std::move(random)](const candidates_type& candidates, std::uint32_t tasks) {
        return place_two_choices(candidates, tasks, random);
    };
}

} // namespace carobfall
