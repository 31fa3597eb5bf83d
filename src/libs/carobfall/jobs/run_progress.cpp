#include "carobfall/jobs/run_progress.h"

#include <algorithm>

namespace carobfall {
namespace {

// The share that is done is known to a whole percent: before this it would be off by a tenth.
constexpr int enough_percent = 5;
// A run that has done nothing in this time, and in twice its expected time, hangs.
constexpr absl::Duration hang_time = absl::Milliseconds(150);
constexpr double hang_factor = 2;
// A prediction that is late by less than this is within what the percentage can tell.
constexpr double prediction_tolerance = 0.1;
constexpr int percent = 100;

} // namespace

std::optional<absl::Duration> predicted_run(const run_progress& run, absl::Time now)
{
    const absl::Duration passed = now - run.ordered_at;
    if (run.percent_done >= enough_percent) {
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
