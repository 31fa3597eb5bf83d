#include "carobfall/base/clock.h"

#include <absl/time/clock.h>

#include <chrono>

namespace carobfall {

absl::Time monotonic_now()
{
    using steady = std::chrono::steady_clock;
    static const absl::Time start_wall = absl::Now();
    static const steady::time_point start_steady = steady::now();
    return start_wall + absl::FromChrono(steady::now() - start_steady);
}

std::int64_t to_unix_ms(absl::Time time)
{
    return absl::ToUnixMillis(time);
}

absl::Time from_unix_ms(std::int64_t milliseconds)
{
    return absl::FromUnixMillis(milliseconds);
}

} // namespace carobfall
