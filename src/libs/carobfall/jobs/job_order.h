#pragma once

#include "carobfall/fleet/fleet.pb.h"
#include "carobfall/jobs/agent_choice.h"
#include "carobfall/jobs/job_request.h"
#include "carobfall/jobs/job_timing.h"

#include <absl/time/time.h>

#include <cstdint>

namespace carobfall {

/// What placing tasks of the job at `now` needs to know of their time.
[[nodiscard]] task_time placing_time(const job_request& request, const job_timing& timing,
                                     absl::Duration expected_run, absl::Time now);

/// The order for one task of the job, sent at `now` to an agent where it is expected to wait for
/// `expected_wait`.
///
/// Answers load that many entries place at once: where others have come first the agent returns the
/// task, and the entry places it with what it knows by then. The last of a few orders waits
/// wherever it comes, so that a task doesn't wander while all queues grow.
[[nodiscard]] fleet::task_order order_for(const job_request& request, const job_timing& timing,
                                          absl::Duration expected_run, std::uint32_t index,
                                          std::uint32_t attempt, absl::Duration expected_wait,
                                          absl::Time now);

} // namespace carobfall
