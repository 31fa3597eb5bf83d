#include "carobfall/base/boot_clock.h"

#include <algorithm>
#include <ctime>

namespace carobfall {

absl::Time boot_now()
{
    timespec now{};
    clock_gettime(CLOCK_BOOTTIME, &now);
    return absl::TimeFromTimespec(now);
}

std::chrono::steady_clock::duration timer_duration(absl::Duration duration)
{
    return absl::ToChronoNanoseconds(std::max(duration, absl::ZeroDuration()));
}

} // namespace carobfall
