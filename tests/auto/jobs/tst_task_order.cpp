#include "carobfall/jobs/task_order.h"

#include <doctest/doctest.h>

using namespace carobfall;

namespace {

const absl::Time now = absl::FromUnixSeconds(1000);
constexpr std::uint32_t last_attempt = 9;

fleet::task_order order_with(std::uint32_t attempt, absl::Duration expected_wait)
{
    job_request request;
    request.time_limit = absl::Seconds(5);
    request.target = absl::Milliseconds(60);
    const absl::Duration run = absl::Milliseconds(100);
    return make_task_order(request, timing_of(request, run, now), run, 0, attempt, expected_wait,
                           now);
}

} // namespace

// Guards against a task that is returned because of a few milliseconds of waiting.
TEST_CASE("an order allows a little more than the expected wait")
{
    CHECK(order_with(1, absl::ZeroDuration()).longest_wait_ms() > 0);
    CHECK(order_with(1, absl::Milliseconds(40)).longest_wait_ms() > 40);
}

// Load pattern: all queues grow at once. Guards against a task that is returned again and again.
TEST_CASE("the last orders for a task set no limit for the wait")
{
    CHECK(order_with(last_attempt, absl::ZeroDuration()).longest_wait_ms() == 0);
}

// Load pattern: a worker becomes slow while a task waits there that other agents have returned.
// Guards against a task that can't leave the queue any more.
TEST_CASE("later orders allow a wait of a share of the time that is left")
{
    const std::uint32_t first = order_with(1, absl::ZeroDuration()).longest_wait_ms();
    const std::uint32_t later = order_with(4, absl::ZeroDuration()).longest_wait_ms();
    CHECK(later > first);
    CHECK(later < order_with(4, absl::ZeroDuration()).late_start_by_ms() / 2);
}

// Guards against a task that starts on a worker of another kind than the one it was placed for.
TEST_CASE("an order states the label that the worker must have")
{
    job_request request;
    request.required_label = "a";
    const absl::Duration run = absl::Milliseconds(100);
    const fleet::task_order order = make_task_order(request, timing_of(request, run, now), run, 0,
                                                    1, absl::ZeroDuration(), now);
    CHECK(order.required_label() == "a");
}
