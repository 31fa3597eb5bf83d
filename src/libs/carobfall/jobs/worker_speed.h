#pragma once

#include <absl/time/time.h>

#include <vector>

namespace carobfall {

/// Lower bound of the slowness, the ratio of measured to expected run times. A lower value is an
/// error of the estimates.
inline constexpr double min_slowness = 0.5;

/// Slowness above which a worker counts as slow. Kinds of workers differ by a factor of up to 1.3
/// in speed, and differences between run times of jobs average out.
inline constexpr double slow_worker_threshold = 2;

/// Moving average of measured run times divided by expected ones. Detects workers that become slow
/// or hang. The weight of old measurements decays, so that a worker without work is tried again
/// when it may have recovered.
class worker_speed {
public:
    /// Records a run that has ended.
    void record(absl::Duration run, absl::Duration expected, absl::Time now);
    /// Records how much slower than expected the active runs proceed, one value per run. Only a
    /// large change for most of them counts, because expected run times are inaccurate.
    ///
    /// Load pattern: some workers become five times slower for some seconds. Runs then end five
    /// times more rarely, so that their ends alone would show it after seconds.
    void record_pace(std::vector<double> slowness_of_runs, absl::Time now);
    /// Returns 1 if runs take as long as expected, and more if they take longer.
    [[nodiscard]] double slowness(absl::Time now) const;

private:
    void add_sample(double sample, double weight, absl::Time now);

    double average_{1};
    absl::Time recorded_at_{absl::InfinitePast()};
};

} // namespace carobfall
