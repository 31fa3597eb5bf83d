#include "carobfall/jobs/run_progress.h"

#include <algorithm>

namespace carobfall {
namespace {

// Lowest progress that allows a prediction. Progress is reported in whole percent, so that a
// prediction from a lower value would be off by more than a tenth.
constexpr int min_percent_done = 5;
// A run without enough progress after this time and after `hang_factor` times its expected run time
// counts as hanging.
constexpr absl::Duration hang_time = absl::Milliseconds(150);
constexpr double hang_factor = 2;
// Tolerance of predicted run times, because the percentage is rounded: a run that is late by less
// than this share goes on.
constexpr double prediction_tolerance = 0.1;
constexpr int percent = 100;

} // namespace

std::optional<absl::Duration> predicted_run(const run_progress& run, absl::Time now)
{
    const absl::Duration passed = now - run.ordered_at;
    if (run.percent_done >= min_percent_done) {
        return passed * percent / std::min(run.percent_done, percent);
    }
    if (passed > hang_time && passed > hang_factor * run.expected_run) {
        return passed * percent / std::max(run.percent_done, 1);
    }
    return std::nullopt;
}

bool ends_too_late(const run_progress& run, absl::Time now)
{
    const std::optional<absl::Duration> predicted = predicted_run(run, now);
    return predicted && run.ordered_at + *predicted * (1 - prediction_tolerance) > run.give_up;
}

} // namespace carobfall
