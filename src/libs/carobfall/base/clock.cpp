#include "carobfall/base/clock.h"

#include "carobfall/base/clock_anchor.h"

#include <absl/time/clock.h>

#include <chrono>

namespace carobfall {

absl::Time monotonic_now()
{
    using steady = std::chrono::steady_clock;
    static const clock_anchor start = read_clock_anchor(absl::Now, steady::now);
    return start.wall + absl::FromChrono(steady::now() - start.steady);
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
