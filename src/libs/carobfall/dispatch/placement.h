#pragma once

#include "carobfall/rpc/carobfall.pb.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string_view>
#include <vector>

namespace carobfall {

/// Source of uniform 64-bit numbers, so that tests can fix the seed.
using random_source = std::function<std::uint64_t()>;

/// A thread-safe source that is seeded from the system.
[[nodiscard]] random_source make_random_source();

/// An agent that may get tasks now.
struct placement_candidate {
    std::shared_ptr<const rpc::agent_info> info;
    std::uint32_t slots{0};
    std::uint32_t reported{0};    ///< running and queued tasks in the last report of the agent
    std::uint32_t outstanding{0}; ///< attempts of this entry at the agent
    std::uint32_t room{0};        ///< most tasks that may be added now

    [[nodiscard]] double load() const;
    [[nodiscard]] std::uint32_t free_slots() const;
};

/// Gives the number of tasks for each candidate: at most its room each, at most `tasks` together.
/// Tasks that find no room are left out.
using placement_policy = std::function<std::vector<std::uint32_t>(
    const std::vector<placement_candidate>& candidates, std::uint32_t tasks)>;

enum class placement_kind { random, round_robin, two_choices, least_loaded };

[[nodiscard]] std::string_view name_of(placement_kind kind);
[[nodiscard]] std::optional<placement_kind> placement_kind_from_name(std::string_view name);

/// The policies may be called by several threads at once if `random` may be.
[[nodiscard]] placement_policy make_placement(placement_kind kind, const random_source& random);

} // namespace carobfall
