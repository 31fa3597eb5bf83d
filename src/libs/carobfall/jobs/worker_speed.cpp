#include "carobfall/jobs/worker_speed.h"

#include <algorithm>
#include <cmath>

namespace carobfall {
namespace {

// Weight of one run: the average covers about 20 runs, half a second on a busy worker.
constexpr double run_weight = 0.05;
// Time after which a deviation is halved if there are no new runs.
constexpr absl::Duration half_life = absl::Seconds(2);
constexpr double max_slowness = 10;

} // namespace

double worker_speed::slowness(absl::Time now) const
{
    const double half_lives = absl::FDivDuration(now - recorded_at_, half_life);
    return 1 + (average_ - 1) * std::exp2(-std::max(half_lives, 0.0));
}

void worker_speed::record(absl::Duration run, absl::Duration expected, absl::Time now)
{
    if (expected <= absl::ZeroDuration()) {
        return;
    }
    const double run_slowness = std::min(absl::FDivDuration(run, expected), max_slowness);
    average_ = slowness(now) * (1 - run_weight) + run_slowness * run_weight;
    recorded_at_ = now;
}

} // namespace carobfall
