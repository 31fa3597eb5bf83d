#pragma once

#include <absl/time/time.h>

#include <chrono>

namespace carobfall {

/// Time since the start of the machine, suspended time included, so that a process that was
/// suspended sees that its leases have ended. Never steps.
[[nodiscard]] absl::Time boot_now();

/// Duration for a timer of Boost.Asio, not negative.
[[nodiscard]] std::chrono::steady_clock::duration timer_duration(absl::Duration duration);

} // namespace carobfall
