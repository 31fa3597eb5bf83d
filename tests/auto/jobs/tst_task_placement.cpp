#include "carobfall/jobs/task_placement.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <optional>
#include <random>
#include <utility>
#include <vector>

using namespace carobfall;

namespace {

const absl::Time now = absl::FromUnixSeconds(1000);
constexpr resource_amounts capacity{64000, 262144, 0};
const task_time payout{absl::Milliseconds(900), absl::Milliseconds(580), absl::Milliseconds(780)};
const task_time eligibility{absl::Milliseconds(60), absl::Milliseconds(80), absl::Milliseconds(80)};
// Rate at which a full worker releases room when its runs take 0.2 s.
constexpr double released_millicores_per_s = 320000;

agent_view agent(const std::string& name, std::int64_t free_millicores, double slowness = 1)
{
    agent_view view;
    view.name = name;
    view.service = "adviser";
    view.usable = true;
    view.capacity = capacity;
    view.load.free = {free_millicores, 262144, 0};
    view.load.released_millicores_per_s = released_millicores_per_s;
    view.slowness = slowness;
    return view;
}

job_request job()
{
    job_request request;
    request.service = "adviser";
    request.demand = {6200, 64, 0};
    return request;
}

double half()
{
    return 0.5;
}

/// Returns the position of the agent that is chosen for one task.
std::optional<std::size_t> choose_agent(const std::vector<agent_view>& agents,
                                        const job_request& request, const task_time& time,
                                        placement_limits limits = {})
{
    const job_placement placement =
        place_tasks(agents, request, time, 1, std::move(limits), half, {}, now);
    return placement.agents.empty() ? std::nullopt : std::optional(placement.agents.front());
}

/// Adds work that is ahead of every task and takes `wait` on a full worker.
void add_wait(agent_view& view, absl::Duration wait)
{
    view.load.waiting.add(
        absl::ZeroDuration(),
        static_cast<std::int64_t>(released_millicores_per_s * absl::ToDoubleSeconds(wait)));
}

} // namespace

// Load pattern: a third of the workers take 1.35 times as long. Guards against placement by the
// earliest end alone: the slow workers were idle while urgent tasks waited at the fast workers.
TEST_CASE("a slower worker with room takes a task that is still on time there")
{
    const std::vector<agent_view> agents{agent("fast", 7000), agent("slow", 60000, 1.35)};
    CHECK(choose_agent(agents, job(), payout) == 1);
}

TEST_CASE("a worker where the task would be late is not chosen if another ends it on time")
{
    const std::vector<agent_view> agents{agent("fast", 7000), agent("very slow", 60000, 5)};
    CHECK(choose_agent(agents, job(), eligibility) == 0);
}

// Load pattern: a worker fails every run at once and therefore always has room.
TEST_CASE("a worker whose runs fail gets no work while the wait at another worker is short")
{
    std::vector<agent_view> agents{agent("sound", 0), agent("failing", 64000)};
    add_wait(agents[0], absl::Milliseconds(160));
    agents[1].failure_share = 0.9;
    CHECK(choose_agent(agents, job(), eligibility) == 0);
}

// Load pattern: all workers are full, and the shortest queue ends first.
TEST_CASE("if all workers are full, the worker with the least waiting work is chosen")
{
    std::vector<agent_view> agents{agent("long", 0), agent("short", 0)};
    add_wait(agents[0], absl::Milliseconds(940));
    add_wait(agents[1], absl::Milliseconds(94));
    CHECK(choose_agent(agents, job(), eligibility) == 1);
}

// Load pattern: 13 entries place tasks at once with the same reports. Guards against all of them
// choosing the emptiest worker: within 30 ms, 13 tasks were sent to a worker with room for 9, while
// 60 of 74 workers had room.
TEST_CASE("workers with nearly the same room get nearly the same number of tasks")
{
    std::vector<agent_view> agents{agent("emptiest", 64000)};
    for (int i = 0; i < 9; ++i) {
        agents.push_back(agent("others", 58000));
    }
    std::mt19937_64 generator(1);
    std::uniform_real_distribution<double> uniform(0, 1);
    std::vector<int> tasks(agents.size());
    constexpr int placements = 2000;
    for (int i = 0; i < placements; ++i) {
        const job_placement placement = place_tasks(
            agents, job(), eligibility, 1, {}, [&] { return uniform(generator); }, {}, now);
        ++tasks[placement.agents.at(0)];
    }
    const auto even = placements / static_cast<int>(agents.size());
    for (const int count : tasks) {
        CHECK(count > even / 2);
        CHECK(count < even * 2);
    }
}

TEST_CASE("workers that may not run the task are never chosen")
{
    std::vector<agent_view> agents{agent("unusable", 64000), agent("other service", 64000),
                                   agent("too small", 64000), agent("no label", 64000),
                                   agent("enough of the job", 64000)};
    agents[0].usable = false;
    agents[1].service = "matcher";
    agents[2].capacity = {4000, 64, 0};
    agents[2].labels = {"a"};
    agents[4].labels = {"a"};
    const placement_limits limits{{0, 0, 0, 0, 2}, {}};
    job_request request = job();
    request.required_label = "a";
    request.max_tasks_per_agent = 2;
    CHECK(choose_agent(agents, request, payout, limits) == std::nullopt);
    agents[3].labels = {"a"};
    CHECK(choose_agent(agents, request, payout, limits) == 3);
}

// Load pattern: a tenth of the workers goes down and comes up by turns. Guards against a worker
// that gets the most tasks because it has just come up, and against workers that stay unused after
// all of them have restarted.
TEST_CASE("a worker that was interrupted gets fewer tasks while others have room")
{
    std::mt19937 generator(1);
    std::uniform_real_distribution<double> uniform(0, 1);
    const auto placed_on_first = [&](double first_rate, double second_rate) {
        std::vector<agent_view> agents{agent("a", 64000), agent("b", 64000)};
        agents[0].interruptions_per_s = first_rate;
        agents[1].interruptions_per_s = second_rate;
        int placed = 0;
        for (int i = 0; i < 1000; ++i) {
            const job_placement placement = place_tasks(
                agents, job(), eligibility, 1, {}, [&] { return uniform(generator); }, {}, now);
            placed += placement.agents.front() == 0 ? 1 : 0;
        }
        return placed;
    };
    CHECK(placed_on_first(0.3, 0) < 50);
    CHECK(placed_on_first(0.1, 0.1) > 400);
    // A run that would often be lost costs more than a short wait elsewhere.
    std::vector<agent_view> agents{agent("a", 64000), agent("b", 0)};
    agents[0].interruptions_per_s = 1;
    add_wait(agents[1], absl::Milliseconds(20));
    CHECK(choose_agent(agents, job(), payout) == 1);
}

TEST_CASE("a worker where a task of the job has failed is chosen last")
{
    std::vector<agent_view> agents{agent("failed here", 64000), agent("full", 0)};
    const placement_limits limits{{}, {true, false}};
    add_wait(agents[1], absl::Milliseconds(470));
    CHECK(choose_agent(agents, job(), payout, limits) == 1);
    agents.pop_back();
    CHECK(choose_agent(agents, job(), payout, limits) == 0);
}

// Load pattern: all workers are full. One of them has a long queue of payouts, and screening jobs
// precede payouts in a queue. Guards against sending all urgent tasks to the worker with the least
// total work: they waited for each other there, and 397 of 1858 were late on a day of high load.
TEST_CASE("work behind a task in the queue does not add to the wait of the task")
{
    std::vector<agent_view> agents{agent("payouts", 0), agent("screenings", 0)};
    agents[0].load.waiting.add(payout.rank, 300000);
    agents[1].load.waiting.add(eligibility.rank, 20000);
    CHECK(choose_agent(agents, job(), eligibility) == 0);
    CHECK(choose_agent(agents, job(), payout) == 1);
}

// Load pattern: all workers are full. Guards against sending all tasks to the first worker of the
// list as long as they are on time there.
TEST_CASE("waiting tasks are spread over workers that are equally full")
{
    const std::vector<agent_view> agents{agent("one", 0), agent("two", 0), agent("three", 0)};
    const job_placement placement = place_tasks(agents, job(), payout, 6, {}, half, {}, now);
    REQUIRE(placement.agents.size() == 6);
    for (std::size_t position = 0; position < agents.size(); ++position) {
        CHECK(std::count(placement.agents.begin(), placement.agents.end(), position) == 2);
    }
    CHECK(placement.longest_wait >= absl::Milliseconds(2 * 6200 / 320));
}

// Guards against sending tasks that need no processor to workers without memory for them.
TEST_CASE("a worker without memory for a task has no room for it")
{
    std::vector<agent_view> agents{agent("no memory", 64000), agent("room", 100)};
    agents[0].load.free.memory_mib = 10;
    job_request request = job();
    request.demand.cpu_millicores = 0;
    CHECK(choose_agent(agents, request, eligibility) == 1);
    CHECK(place_tasks({agents.data(), 1}, request, eligibility, 1, {}, half, {}, now).longest_wait >
          absl::ZeroDuration());
}
