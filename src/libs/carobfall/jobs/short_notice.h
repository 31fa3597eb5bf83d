#pragma once

#include "carobfall/jobs/run_progress.h"

#include <absl/time/time.h>

namespace carobfall {

/// Whether a run should be stopped because its worker is going to leave long before the run ends,
/// so that its entry runs the task elsewhere before the worker is gone.
///
/// Load pattern: workers leave 1.8 s after their notice, while runs last up to 3.6 s. A worker may
/// stay longer than it states, and a stop discards work. So a run goes on unless its progress shows
/// that it ends far beyond the stated time, and unless stopping it loses clearly less time than its
/// loss would.
///
/// `serves_until`: until when the worker certainly serves; infinite if unknown. Once this time has
/// passed, the worker stays longer than it has stated, and nothing more is known. `slowness`: of
/// the worker.
[[nodiscard]] bool worker_leaves_first(const run_progress& run, double slowness,
                                       absl::Time serves_until, absl::Time now);

} // namespace carobfall
