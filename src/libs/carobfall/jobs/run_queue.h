#pragma once

#include "carobfall/jobs/job_request.h"

#include <absl/time/time.h>

#include <cstdint>
#include <optional>
#include <span>

namespace carobfall {

/// What decides when a waiting task starts.
struct waiting_task {
    std::uint32_t priority{0};
    absl::Time start_by; ///< latest start that meets the objective
    absl::Time received;
    resource_amounts demand;
    bool startable{true}; ///< its entry is heard and no other run of the task is left
};

/// Place in the queue of a task that has this much time to start on time: less goes first. Infinite
/// for a task that is late already.
[[nodiscard]] absl::Duration queue_rank(std::uint32_t priority, absl::Duration until_start_by);

/// The task to start next in `room`, or nothing.
///
/// Answers short overloads: tasks that can still meet their objective go first, the most urgent one
/// before the others, so that a kind with a long objective yields to one with a short one without
/// being starved. Tasks that are late already follow by the operators' priority. Smaller
/// tasks may pass one that doesn't fit, because the room of a full worker is in small pieces.
[[nodiscard]] std::optional<std::size_t> next_task(std::span<const waiting_task> waiting,
                                                   const resource_amounts& room, absl::Time now);

} // namespace carobfall
