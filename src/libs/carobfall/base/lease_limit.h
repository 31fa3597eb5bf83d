#pragma once

#include <absl/time/time.h>

namespace carobfall {

/// Longest validity of a start lease: the most that an entry grants and an agent accepts.
inline constexpr absl::Duration max_start_lease = absl::Seconds(2);

} // namespace carobfall
