#pragma once

#include <absl/time/time.h>

#include <array>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace carobfall {

/// Room that the waiting tasks of one agent ask for, by their rank in its queue: what goes before a
/// task delays it, what follows doesn't. Kept in a few classes of ranks, so that a report of it
/// stays small.
class waiting_profile {
public:
    waiting_profile() = default;
    /// `classes`: thousandths of a core in each class, the most urgent one first. Missing ones are
    /// empty, surplus ones count as the last one.
    static waiting_profile from_classes(const std::vector<std::int64_t>& classes);

    /// `rank`: as `queue_rank` gives it.
    void add(absl::Duration rank, std::int64_t millicores);
    /// Thousandths of a core that go before a task of this rank, those of its own class included.
    [[nodiscard]] std::int64_t millicores_before(absl::Duration rank) const;
    /// Without the empty classes at the end.
    [[nodiscard]] std::vector<std::int64_t> classes() const;

private:
    static constexpr std::size_t class_count = 10;

    [[nodiscard]] static std::size_t class_of(absl::Duration rank);

    std::array<std::int64_t, class_count> millicores_{};
};

} // namespace carobfall
