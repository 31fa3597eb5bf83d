#include "carobfall/jobs/failure_rate.h"

#include <algorithm>
#include <cmath>

namespace carobfall {
namespace {

// About 10 runs decide; a few jobs whose tasks fail everywhere don't.
constexpr double run_weight = 0.1;
// Workers that fail do so for some seconds.
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
