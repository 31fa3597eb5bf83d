#include "carobfall/base/pause_detector.h"

#include <doctest/doctest.h>

using namespace carobfall;

namespace {

const absl::Time begin = absl::FromUnixSeconds(1000);

absl::Time after(int milliseconds)
{
    return begin + absl::Milliseconds(milliseconds);
}

} // namespace

TEST_CASE("messages that are read right after a pause may be old")
{
    pause_detector pauses(absl::Seconds(1), absl::Milliseconds(200));
    pauses.observe(begin);
    CHECK_FALSE(pauses.is_settling(begin));
    pauses.observe(after(1000));
    CHECK(pauses.is_settling(after(1000)));
    pauses.observe(after(1100));
    CHECK(pauses.is_settling(after(1199)));
    CHECK_FALSE(pauses.is_settling(after(1200)));
}

// Guards against requests that are refused because the event loop was busy.
TEST_CASE("a short gap is no pause")
{
    pause_detector pauses(absl::Seconds(1), absl::Milliseconds(200));
    pauses.observe(begin);
    pauses.observe(after(999));
    CHECK_FALSE(pauses.is_settling(after(999)));
}
