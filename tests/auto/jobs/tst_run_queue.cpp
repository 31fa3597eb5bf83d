#include "carobfall/jobs/run_queue.h"

#include <doctest/doctest.h>

#include <vector>

using namespace carobfall;

namespace {

const absl::Time now = absl::FromUnixSeconds(1000);
constexpr resource_amounts worker_room{64000, 262144, 0};

waiting_task task(std::uint32_t priority, absl::Duration until_start, std::int64_t cpu = 6200)
{
    waiting_task waiting;
    waiting.priority = priority;
    waiting.start_by = now + until_start;
    waiting.received = now;
    waiting.demand = {cpu, 64, 0};
    return waiting;
}

} // namespace

// Guards against jobs with a long objective that occupy the worker while short jobs become late.
TEST_CASE("the task with the least time until its latest start goes first")
{
    const std::vector<waiting_task> waiting{task(0, absl::Milliseconds(500)),
                                            task(0, absl::Milliseconds(80))};
    CHECK(next_task(waiting, worker_room, now) == 1);
}

// Guards against a late task that delays the others until each of them is late as well.
TEST_CASE("a task that is late already goes after one that can be on time")
{
    const std::vector<waiting_task> waiting{task(0, absl::Milliseconds(-10)),
                                            task(2, absl::Milliseconds(400))};
    CHECK(next_task(waiting, worker_room, now) == 1);
}

// Guards against ignoring the operators' priority among equally urgent tasks.
TEST_CASE("a task goes before a slightly more urgent task of a lower priority")
{
    const std::vector<waiting_task> waiting{task(1, absl::Milliseconds(60)),
                                            task(0, absl::Milliseconds(90))};
    CHECK(next_task(waiting, worker_room, now) == 1);
    const std::vector<waiting_task> far_apart{task(1, absl::Milliseconds(60)),
                                              task(0, absl::Milliseconds(900))};
    CHECK(next_task(far_apart, worker_room, now) == 0);
}

TEST_CASE("late tasks go by priority and then in the order of their arrival")
{
    std::vector<waiting_task> waiting{task(1, absl::Milliseconds(-50)),
                                      task(0, absl::Milliseconds(-10)),
                                      task(0, absl::Milliseconds(-10))};
    waiting[2].received = now - absl::Milliseconds(5);
    CHECK(next_task(waiting, worker_room, now) == 2);
}

// Load pattern: the room of a full worker is fragmented.
TEST_CASE("a smaller task starts in room that is too small for the first task")
{
    const std::vector<waiting_task> waiting{task(0, absl::Milliseconds(10), 9400),
                                            task(0, absl::Milliseconds(90), 5000)};
    CHECK(next_task(waiting, {6000, 1000, 0}, now) == 1);
    CHECK(next_task(waiting, {4000, 1000, 0}, now) == std::nullopt);
}

// Guards against the start of a task while its entry is silent or another run of it is active.
TEST_CASE("a task that may not start is skipped")
{
    std::vector<waiting_task> waiting{task(0, absl::Milliseconds(10)),
                                      task(0, absl::Milliseconds(90))};
    waiting[0].startable = false;
    CHECK(next_task(waiting, worker_room, now) == 1);
    waiting[1].startable = false;
    CHECK(next_task(waiting, worker_room, now) == std::nullopt);
}
