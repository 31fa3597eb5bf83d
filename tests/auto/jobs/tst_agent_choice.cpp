#include "carobfall/jobs/agent_choice.h"

#include <doctest/doctest.h>

#include <vector>

using namespace carobfall;

namespace {

constexpr resource_amounts capacity{64000, 262144, 0};
const task_time payout{absl::Milliseconds(900), absl::Milliseconds(580)};
const task_time eligibility{absl::Milliseconds(60), absl::Milliseconds(80)};

agent_view agent(const std::string& name, std::int64_t free_millicores, double slowness = 1)
{
    agent_view view;
    view.name = name;
    view.service = "adviser";
    view.usable = true;
    view.capacity = capacity;
    view.free = {free_millicores, 262144, 0};
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

} // namespace

// Load pattern: a third of the workers take 1.35 times as long. Guards against placing by the
// earliest end alone, which left them idle while urgent tasks waited at the fast ones.
TEST_CASE("a slower worker with room takes a task that is still on time there")
{
    const std::vector<agent_view> agents{agent("fast", 7000), agent("slow", 60000, 1.35)};
    CHECK(choose_agent(agents, job(), payout, half) == 1);
}

TEST_CASE("a worker that would make the task late is left for one that does not")
{
    const std::vector<agent_view> agents{agent("fast", 7000), agent("very slow", 60000, 5)};
    CHECK(choose_agent(agents, job(), eligibility, half) == 0);
}

// Load pattern: a worker fails at once all that it starts and so always has room.
TEST_CASE("a worker whose runs fail gets work only when the others are full for long")
{
    std::vector<agent_view> agents{agent("sound", 0), agent("failing", 64000)};
    agents[0].waiting_core_ms = 10000; // about 160 ms
    agents[1].failure_share = 0.9;
    CHECK(choose_agent(agents, job(), eligibility, half) == 0);
}

// Load pattern: all workers are full; the shortest queue ends first.
TEST_CASE("without room the least work that waits decides")
{
    std::vector<agent_view> agents{agent("long", 0), agent("short", 0)};
    agents[0].waiting_core_ms = 60000;
    agents[1].waiting_core_ms = 6000;
    CHECK(choose_agent(agents, job(), eligibility, half) == 1);
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
    agents[4].tasks_of_job = 2;
    job_request request = job();
    request.required_label = "a";
    request.max_tasks_per_agent = 2;
    CHECK(choose_agent(agents, request, payout, half) == std::nullopt);
    agents[3].labels = {"a"};
    CHECK(choose_agent(agents, request, payout, half) == 3);
}

TEST_CASE("a worker where a task of the job has failed is the last choice")
{
    std::vector<agent_view> agents{agent("failed here", 64000), agent("full", 0)};
    agents[0].avoided = true;
    agents[1].waiting_core_ms = 30000;
    CHECK(choose_agent(agents, job(), payout, half) == 1);
    agents.pop_back();
    CHECK(choose_agent(agents, job(), payout, half) == 0);
}
