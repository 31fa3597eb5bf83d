#include "carobfall/jobs/short_notice.h"

#include "carobfall/jobs/run_bounds.h"

#include <algorithm>
#include <optional>

namespace carobfall {
namespace {

// A stop takes 50 ms at the worker, and its task then travels to its entry and to another agent.
constexpr absl::Duration restart_cost = absl::Milliseconds(100);
// Workers may stay somewhat longer than they state.
constexpr double overstay_share = 0.25;
constexpr absl::Duration min_overstay = absl::Milliseconds(100);
// Tolerance of predicted run times, because the progress is in whole percent.
constexpr double prediction_tolerance = 0.1;
// The time that a loss of the run costs has to exceed the time that a stop costs by this factor. So
// stopping pays off even if only one in three workers leaves when it has stated.
constexpr double clear_loss_factor = 2;

} // namespace

bool worker_leaves_first(const run_progress& run, double slowness, absl::Time serves_until,
                         absl::Time now)
{
    const std::optional<absl::Duration> predicted = predicted_run(run, now);
    if (!predicted || serves_until == absl::InfiniteFuture() || serves_until <= now) {
        return false;
    }
    const absl::Duration left = serves_until - now;
    const absl::Time earliest_end = run.ordered_at + *predicted * (1 - prediction_tolerance);
    if (earliest_end <= serves_until + std::max(left * overstay_share, min_overstay)) {
        return false;
    }
    const absl::Duration stop_loss = now - run.ordered_at + restart_cost;
    // The end of a run on a worker that is gone is proven when its lease has ended.
    const absl::Duration leave_loss = left + lease_time;
    if (stop_loss * clear_loss_factor > leave_loss) {
        return false;
    }
    return now + restart_cost + *predicted / std::max(slowness, 1.0) <= run.give_up;
}

} // namespace carobfall
