#pragma once

#include "carobfall/jobs/job_request.h"

#include <absl/time/time.h>

#include <cstdint>

namespace carobfall {

/// The deadlines of a job, all counted from its arrival.
struct job_timing {
    absl::Duration objective; ///< response time objective
    absl::Time start_by;      ///< latest start of a task that meets the objective
    absl::Time late_start_by; ///< latest start of a task whose late answer is still useful
    absl::Time give_up;       ///< no caller waits for the answer after this time
};

/// `expected_run`: the longest expected run time of a task.
[[nodiscard]] job_timing timing_of(const job_request& request, absl::Duration expected_run,
                                   absl::Time arrival);

/// Whether a task that starts at `start` can end before `give_up`, assuming the shortest run time
/// that is plausible for `expected_run`.
[[nodiscard]] bool can_still_end(absl::Duration expected_run, absl::Time start, absl::Time give_up);

/// The decision on a job before any of its tasks is ordered.
struct admission_decision {
    bool admitted{true};
    absl::Duration retry_after;
};

/// Returns the longest expected wait with which a job is admitted. `slack`: the time within which
/// its tasks have to start. `queued_for`: age of the queue, counted from the last job that could
/// start at once.
///
/// Limits the queue when an overload lasts longer than the slack of a job. If the queue grew to the
/// slack, every job would start as late as possible, and a job that takes a little longer than
/// expected would be late. A shorter queue keeps the workers equally busy. A queue that has just
/// formed may be longer, because it is a burst that drains by itself.
[[nodiscard]] absl::Duration admitted_wait(std::uint32_t priority, absl::Duration slack,
                                           absl::Duration queued_for);

/// The time after which a refused caller may retry: `delay` within fixed bounds, spread by `random`
/// (0 to 1), so that refused callers do not return together.
[[nodiscard]] absl::Duration spread_retry(absl::Duration delay, double random);

/// Refuses a job if its last task would start too late, so that it takes no room from others. The
/// retry time covers the waiting work. `random` (0 to 1) spreads the retry times, so that refused
/// callers do not return together.
[[nodiscard]] admission_decision admit(const job_timing& timing, std::uint32_t priority,
                                       absl::Duration expected_run, absl::Duration expected_wait,
                                       absl::Duration queued_for, absl::Time now, double random);

} // namespace carobfall
