#pragma once

#include "carobfall/rpc/carobfall.pb.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <vector>

namespace carobfall {

/// Source of uniformly distributed 64-bit numbers; tests use one with a fixed seed.
using random_source = std::function<std::uint64_t()>;

/// A thread-safe source that is seeded from the system.
[[nodiscard]] random_source make_random_source();

/// An agent that may be assigned tasks now.
struct placement_candidate {
    std::shared_ptr<const rpc::agent_info> info;
    std::uint32_t slots{0};
    std::uint32_t tasks{0};       ///< running and queued tasks of all entries
    std::uint32_t outstanding{0}; ///< open attempts of this entry at the agent
    std::uint32_t room{0};        ///< maximum number of tasks that may be added now

    /// Tasks per slot after adding `added` tasks.
    [[nodiscard]] double load_with(std::uint32_t added) const;
    [[nodiscard]] std::uint32_t free_slots() const;
};

/// Returns the number of tasks to place at each candidate: at most its `room` each and at most
/// `tasks` in total. Tasks that exceed the room of all candidates are not placed.
using placement_policy = std::function<std::vector<std::uint32_t>(
    const std::vector<placement_candidate>& candidates, std::uint32_t tasks)>;

/// Power of two choices: selects the less loaded of two random agents until the selected ones have
/// twice as many free slots as there are tasks. Divides the tasks in proportion to these slots and
/// places the rest one by one. Thread-safe if `random` is. tests/measure compares other policies.
[[nodiscard]] placement_policy make_two_choices(random_source random);

} // namespace carobfall
