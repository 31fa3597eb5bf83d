#pragma once

#include <absl/time/time.h>

#include <cstdint>
#include <functional>

namespace carobfall {

/// Source of the current time. Only threads and daemons hold a clock; other functions take the time
/// as an argument.
using clock_function = std::function<absl::Time()>;

/// Wall time at process start plus the steady time since then. It never goes back and doesn't
/// follow later steps of the system clock, so that leases and deadlines stay ordered.
[[nodiscard]] absl::Time monotonic_now();

/// Milliseconds since the Unix epoch, as in `deadline_unix_ms`.
[[nodiscard]] std::int64_t to_unix_ms(absl::Time time);
[[nodiscard]] absl::Time from_unix_ms(std::int64_t milliseconds);

} // namespace carobfall
