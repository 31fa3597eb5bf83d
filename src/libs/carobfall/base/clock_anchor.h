#pragma once

#include <absl/time/time.h>

#include <chrono>
#include <functional>

namespace carobfall {

/// Readings of the wall clock and the steady clock at the same moment.
struct clock_anchor {
    absl::Time wall;
    std::chrono::steady_clock::time_point steady;
};

/// Reads the steady clock before and after the wall clock, several times, and keeps the attempt
/// with the shortest gap. If the thread were preempted between the two readings, every later time
/// of the process would be off by the length of the pause.
[[nodiscard]] clock_anchor
read_clock_anchor(const std::function<absl::Time()>& wall,
                  const std::function<std::chrono::steady_clock::time_point()>& steady);

} // namespace carobfall
