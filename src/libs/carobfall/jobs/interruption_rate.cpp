#include "carobfall/jobs/interruption_rate.h"

#include <algorithm>
#include <cmath>

namespace carobfall {
namespace {

// Mean age of the interruptions that count. Workers that go down and come up by turns do so every
// few seconds; a worker that has restarted once counts as reliable after some tens of seconds.
constexpr absl::Duration memory = absl::Seconds(10);

} // namespace

double interruption_rate::per_s(absl::Time now) const
{
    if (rate_ == 0) {
        return 0;
    }
    const absl::Duration age = std::max(now - recorded_at_, absl::ZeroDuration());
    return rate_ * std::exp(-absl::FDivDuration(age, memory));
}

void interruption_rate::record(absl::Time now)
{
    rate_ = per_s(now) + 1 / absl::ToDoubleSeconds(memory);
    recorded_at_ = now;
}

double interruption_probability(double per_s, absl::Duration duration)
{
    return 1 - std::exp(-per_s * std::max(absl::ToDoubleSeconds(duration), 0.0));
}

} // namespace carobfall
