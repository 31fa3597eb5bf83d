#pragma once

#include <absl/time/clock.h>
#include <absl/time/time.h>

namespace carobfall::testing {

/// Waits until the condition holds; false after the timeout. Only failing tests reach the timeout,
/// so it can be long.
template <typename Condition>
bool becomes_true(const Condition& condition, absl::Duration timeout = absl::Seconds(20))
{
    const absl::Time end = absl::Now() + timeout;
    while (!condition()) {
        if (absl::Now() >= end) {
            return false;
        }
        absl::SleepFor(absl::Milliseconds(2));
    }
    return true;
}

} // namespace carobfall::testing
