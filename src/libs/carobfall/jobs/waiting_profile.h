#pragma once

#include <absl/time/time.h>

#include <array>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace carobfall {

/// Room that the waiting tasks of one agent demand, by their rank in its queue: a task is delayed
/// by what is ahead of it and not by what follows. Ranks are grouped into a few classes to keep
/// reports small.
class waiting_profile {
public:
    waiting_profile() = default;
    /// `classes`: thousandths of a core in each class, the most urgent one first. Missing classes
    /// are empty; surplus ones are added to the last one.
    static waiting_profile from_classes(const std::vector<std::int64_t>& classes);

    /// `rank`: as `queue_rank` gives it.
    void add(absl::Duration rank, std::int64_t millicores);
    /// Returns the thousandths of a core that are ahead of a task of this rank, including its own
    /// class.
    [[nodiscard]] std::int64_t millicores_before(absl::Duration rank) const;
    /// Returns the classes without the empty ones at the end.
    [[nodiscard]] std::vector<std::int64_t> classes() const;

private:
    static constexpr std::size_t class_count = 10;

    [[nodiscard]] static std::size_t class_of(absl::Duration rank);

    std::array<std::int64_t, class_count> millicores_{};
};

} // namespace carobfall
