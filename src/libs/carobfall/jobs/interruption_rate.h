#pragma once

#include <absl/time/time.h>

namespace carobfall {

/// Rate at which a worker is interrupted: it stops answering, or starts again without draining
/// first. Recent interruptions weigh most.
///
/// Load pattern: a tenth of the workers goes down and comes up again every second or two. Such a
/// worker has free room each time it comes up, so that it would get the most tasks and lose them.
class interruption_rate {
public:
    void record(absl::Time now);
    /// Interruptions per second.
    [[nodiscard]] double per_s(absl::Time now) const;

private:
    double rate_{0};
    absl::Time recorded_at_{absl::InfinitePast()};
};

/// Probability that a worker with this rate is interrupted within `duration`.
[[nodiscard]] double interruption_probability(double per_s, absl::Duration duration);

} // namespace carobfall
