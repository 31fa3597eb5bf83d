#pragma once

#include <absl/time/time.h>

#include <chrono>
#include <functional>

namespace carobfall {

/// Wall-clock time of one reading of the steady clock.
struct clock_anchor {
    absl::Time wall;
    std::chrono::steady_clock::time_point steady;
};

/// Reads both clocks. The steady clock is read before and after the wall clock, several times, and
/// the closest pair is kept: a thread that was preempted between the two readings would leave every
/// later time of the process behind by that pause.
[[nodiscard]] clock_anchor
read_clock_anchor(const std::function<absl::Time()>& wall,
                  const std::function<std::chrono::steady_clock::time_point()>& steady);

} // namespace carobfall
