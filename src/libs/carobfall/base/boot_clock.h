#pragma once

#include <absl/time/time.h>

#include <chrono>

namespace carobfall {

/// Monotonic time since the machine was booted. It includes suspended time, so that leases expire
/// while the machine is suspended.
[[nodiscard]] absl::Time boot_now();

/// Duration for a timer of Boost.Asio, not negative.
[[nodiscard]] std::chrono::steady_clock::duration timer_duration(absl::Duration duration);

} // namespace carobfall
