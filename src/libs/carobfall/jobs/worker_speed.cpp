#include "carobfall/jobs/worker_speed.h"

#include <algorithm>
#include <cmath>
#include <cstddef>

namespace carobfall {
namespace {

// Weight of one run: the average covers about 20 runs, half a second on a busy worker.
constexpr double run_weight = 0.05;
// Time after which a deviation is halved if there are no new runs.
constexpr absl::Duration half_life = absl::Seconds(2);
constexpr double max_slowness = 10;
// With fewer active runs, the run times of one job could decide.
constexpr std::size_t min_paced_runs = 6;
// The median of a few runs differs from the average by less than this factor, unless the speed has
// changed. A limit for the pace alone would count only the longer half of the runs of a worker that
// is always slow.
constexpr double clear_change = 1.7;
// Weight of the pace of the active runs in one report. A worker reports several times in a tenth of
// a second.
constexpr double pace_weight = 0.2;

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
    add_sample(absl::FDivDuration(run, expected), run_weight, now);
}

void worker_speed::record_pace(std::vector<double> slowness_of_runs, absl::Time now)
{
    if (slowness_of_runs.size() < min_paced_runs) {
        return;
    }
    const auto middle =
        slowness_of_runs.begin() + static_cast<std::ptrdiff_t>(slowness_of_runs.size() / 2);
    std::nth_element(slowness_of_runs.begin(), middle, slowness_of_runs.end());
    const double change = *middle / slowness(now);
    if (change > clear_change || change < 1 / clear_change) {
        add_sample(*middle, pace_weight, now);
    }
}

void worker_speed::add_sample(double sample, double weight, absl::Time now)
{
    average_ = slowness(now) * (1 - weight) + std::min(sample, max_slowness) * weight;
    recorded_at_ = now;
}

} // namespace carobfall
