#pragma once

#include "carobfall/jobs/job_request.h"

#include <absl/time/time.h>

#include <cstdint>
#include <optional>
#include <span>

namespace carobfall {

/// The properties of a waiting task that determine when it starts.
struct waiting_task {
    std::uint32_t priority{0};
    absl::Time start_by; ///< latest start that meets the objective
    absl::Time received;
    resource_amounts demand;
    bool startable{true}; ///< its entry permits starts and no other run of the task is left
};

/// Returns the rank of a task in the queue; the lowest rank goes first. `until_start_by`: time left
/// for a start on time. The rank of a task that is late already is infinite.
[[nodiscard]] absl::Duration queue_rank(std::uint32_t priority, absl::Duration until_start_by);

/// Whether the left task starts before the right one if there is room for either.
[[nodiscard]] bool precedes(const waiting_task& left, const waiting_task& right, absl::Time now);

/// Returns the position of the task to start next in `room`, or nothing if none fits.
///
/// During short overloads, tasks that can still meet their objective go first, by urgency, so that
/// a kind of job with a long objective yields to one with a short objective without being starved.
/// Tasks that are late already follow in the order of the operators' priority. Smaller tasks may
/// overtake one that does not fit, because the room of a full worker is fragmented.
[[nodiscard]] std::optional<std::size_t> next_task(std::span<const waiting_task> waiting,
                                                   const resource_amounts& room, absl::Time now);

} // namespace carobfall
