#pragma once

#include "carobfall/dispatch/placement.h"

#include <cstddef>
#include <cstdint>
#include <vector>

/// Helpers of the placement policies, including those in tests/measure.
namespace carobfall::internal {

using task_counts = std::vector<std::uint32_t>;

/// Indices of the candidates with room for more tasks than `counts` assigns to them.
[[nodiscard]] std::vector<std::size_t> with_room(const std::vector<placement_candidate>& candidates,
                                                 const task_counts& counts);

/// Assigns tasks one at a time to the candidate that `choose` selects. `choose` receives the
/// indices of the candidates with room and returns a position in that list.
template <typename Choose>
void add_each(const std::vector<placement_candidate>& candidates, task_counts& counts,
              std::uint32_t tasks, const Choose& choose)
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

} // namespace carobfall::internal
