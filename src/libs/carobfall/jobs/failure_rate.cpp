#include "carobfall/jobs/failure_rate.h"

#include <algorithm>
#include <cmath>

namespace carobfall {
namespace {

// Weight of one run: the average covers about 10 runs, so that a few jobs whose tasks fail on every
// worker have little effect.
constexpr double run_weight = 0.1;
// Time after which the share is halved without new runs. Faults of workers last some seconds.
constexpr absl::Duration half_life = absl::Seconds(2);

} // namespace

double failure_rate::share(absl::Time now) const
{
    const double half_lives = absl::FDivDuration(now - recorded_at_, half_life);
    return average_ * std::exp2(-std::max(half_lives, 0.0));
}

void failure_rate::record(bool failed, absl::Time now)
{
    average_ = share(now) * (1 - run_weight) + (failed ? run_weight : 0);
    recorded_at_ = now;
}

} // namespace carobfall
