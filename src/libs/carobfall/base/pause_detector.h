#pragma once

#include <absl/time/time.h>

namespace carobfall {

/// Detects that the process was paused or its machine suspended, from gaps between regular
/// observations of the time. What the process reads right after a pause may be as old as the pause.
class pause_detector {
public:
    /// `shortest_pause`: gap between two observations that counts as a pause, much longer than the
    /// interval of the observations. `settling_time`: time after a pause in which messages that
    /// arrived during the pause are still read.
    pause_detector(absl::Duration shortest_pause, absl::Duration settling_time)
        : shortest_pause_(shortest_pause), settling_time_(settling_time)
    {}

    void observe(absl::Time now);
    /// Whether a message that is read now may have arrived during a pause.
    [[nodiscard]] bool is_settling(absl::Time now) const
    {
        return now - resumed_at_ < settling_time_;
    }

private:
    const absl::Duration shortest_pause_;
    const absl::Duration settling_time_;
    absl::Time observed_at_{absl::InfiniteFuture()}; ///< infinite before the first observation
    absl::Time resumed_at_{absl::InfinitePast()};
};

} // namespace carobfall
