#pragma once

#include <absl/time/time.h>

namespace carobfall {

/// Slowness from which on a worker is doubted: kinds of workers differ by up to 1.3 in speed, and
/// run times of jobs average out.
inline constexpr double slow_worker = 2;

/// Measured run times of a worker against the expected ones. Answers workers that turn slow or hang
/// and recover: old measurements lose their weight, so that a worker without work is tried again.
class worker_speed {
public:
    void record(absl::Duration run, absl::Duration expected, absl::Time now);
    /// 1 if runs take as long as expected.
    [[nodiscard]] double slowness(absl::Time now) const;

private:
    double average_{1};
    absl::Time recorded_at_{absl::InfinitePast()};
};

} // namespace carobfall
