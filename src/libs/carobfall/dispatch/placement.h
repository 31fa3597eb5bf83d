#pragma once

#include "carobfall/rpc/carobfall.pb.h"

#include <cstdint>
#include <functional>
#include <memory>
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
    std::uint32_t tasks{0};       ///< running and queued tasks of all entries
    std::uint32_t outstanding{0}; ///< attempts of this entry at the agent
    std::uint32_t room{0};        ///< most tasks that may be added now

    /// Tasks to a slot, with `added` more.
    [[nodiscard]] double load_with(std::uint32_t added) const;
    [[nodiscard]] std::uint32_t free_slots() const;
};

/// Gives the number of tasks for each candidate: at most its room each, at most `tasks` together.
/// Tasks that find no room are left out.
using placement_policy = std::function<std::vector<std::uint32_t>(
    const std::vector<placement_candidate>& candidates, std::uint32_t tasks)>;

/// Power of two choices: tasks go to the less loaded of two agents drawn at random; large jobs are
/// shared among few agents by their free slots. May be called by several threads at once if
/// `random` may be. The policies that were measured against it are in tests/measure.
[[nodiscard]] placement_policy make_two_choices(random_source random);

} // namespace carobfall
