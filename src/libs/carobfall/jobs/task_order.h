#pragma once

#include "carobfall/fleet/fleet.pb.h"
#include "carobfall/jobs/job_request.h"
#include "carobfall/jobs/job_timing.h"
#include "carobfall/jobs/task_placement.h"

#include <absl/time/time.h>

#include <cstdint>

namespace carobfall {

/// Returns the timing that the placement of a task of the job at `now` depends on.
[[nodiscard]] task_time make_task_time(const job_request& request, const job_timing& timing,
                                       absl::Duration expected_run, absl::Time now);

/// Returns the order for one task of the job, sent at `now` to an agent where it is better off
/// than elsewhere if it waits for up to `worthwhile_wait`. That is the expected wait, or more near
/// the data of the task. `expected_run`: at that agent.
///
/// Several entries may place tasks at an agent at once. The agent returns a task whose wait has
/// become longer than that, and the entry places it again with later reports. After a few such
/// orders the task stays where it is placed, so that it is not passed on indefinitely while all
/// queues grow.
[[nodiscard]] fleet::task_order make_task_order(const job_request& request,
                                                const job_timing& timing,
                                                absl::Duration expected_run, std::uint32_t index,
                                                std::uint32_t attempt,
                                                absl::Duration worthwhile_wait, absl::Time now);

} // namespace carobfall
