#pragma once

#include <absl/time/time.h>

namespace carobfall {

/// Maximum duration of a start lease that an entry grants and an agent accepts.
inline constexpr absl::Duration max_start_lease = absl::Seconds(2);

} // namespace carobfall
