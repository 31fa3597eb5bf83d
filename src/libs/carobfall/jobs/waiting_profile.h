#pragma once

#include <absl/time/time.h>

#include <array>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace carobfall {

/// Room that the waiting tasks of one agent demand, by rank in the queue of the agent. A task is
/// delayed only by the tasks ahead of it. Ranks are grouped into a few classes to keep reports
/// small.
class waiting_profile {
public:
    waiting_profile() = default;
    /// `classes`: thousandths of a core in each class, the most urgent one first. Missing classes
    /// are empty; surplus ones are added to the last one.
    static waiting_profile from_classes(const std::vector<std::int64_t>& classes);

    /// `rank`: the result of `queue_rank` for the task.
    void add(absl::Duration rank, std::int64_t millicores);
    /// Returns the thousandths of a core that tasks ahead of this rank demand, including all tasks
    /// in the same class.
    [[nodiscard]] std::int64_t millicores_before(absl::Duration rank) const;
    /// Returns the classes without the empty ones at the end.
    [[nodiscard]] std::vector<std::int64_t> classes() const;

private:
    static constexpr std::size_t class_count = 10;

    [[nodiscard]] static std::size_t class_of(absl::Duration rank);

    std::array<std::int64_t, class_count> millicores_{};
};

} // namespace carobfall
