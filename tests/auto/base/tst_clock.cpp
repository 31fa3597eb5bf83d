#include "carobfall/base/clock_anchor.h"

#include <absl/time/clock.h>
#include <doctest/doctest.h>

using namespace carobfall;

// Guards against an entry that refuses deadlines as too far ahead because it was preempted while
// it read its clocks at the start.
TEST_CASE("a pause between the readings of the clocks does not move the anchor")
{
    using steady = std::chrono::steady_clock;
    const absl::Time wall_start = absl::FromUnixSeconds(1'800'000'000);
    absl::Duration elapsed;
    int readings = 0;
    const auto pause = [&](int first, int second) {
        elapsed += ++readings == first || readings == second ? absl::Milliseconds(40)
                                                             : absl::Microseconds(1);
    };
    const auto wall = [&] {
        const absl::Time now = wall_start + elapsed;
        pause(2, 5);
        return now;
    };
    const auto steady_now = [&] {
        const steady::time_point now{absl::ToChronoNanoseconds(elapsed)};
        pause(1, 4);
        return now;
    };
    const clock_anchor anchor = read_clock_anchor(wall, steady_now);
    const absl::Duration error =
        (anchor.wall - wall_start) - absl::FromChrono(anchor.steady.time_since_epoch());
    CHECK(absl::AbsDuration(error) <= absl::Microseconds(1));
}
