#include "carobfall/jobs/placement_explanation.h"

#include "carobfall/jobs/task_order.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <random>
#include <set>
#include <string>
#include <vector>

using namespace carobfall;

namespace {

const absl::Time now = absl::UnixEpoch() + absl::Hours(1);
constexpr absl::Duration expected_run = absl::Milliseconds(200);

agent_view agent(const std::string& name, std::int64_t free_millicores)
{
    agent_view view;
    view.name = name;
    view.service = "adviser";
    view.usable = true;
    view.capacity = {64000, 262144, 0};
    view.load.free = {free_millicores, 262144, 0};
    view.load.released_millicores_per_s = 320000;
    return view;
}

job_request job(std::uint32_t tasks)
{
    job_request request;
    request.service = "adviser";
    request.demand = {6200, 64, 0};
    request.task_count = tasks;
    request.slack_factor = 1.6;
    request.target = absl::Milliseconds(60);
    request.time_limit = absl::Seconds(1);
    return request;
}

placement_explanation explain(const std::vector<agent_view>& agents, const job_request& request,
                              std::uint64_t seed = 1)
{
    std::mt19937_64 generator(seed);
    std::uniform_real_distribution<double> distribution(0.0, 1.0);
    const admission_shares shares;
    const placement_settings settings;
    const placement_inputs inputs{agents,
                                  expected_run,
                                  now - absl::Seconds(1),
                                  shares,
                                  settings,
                                  [](const std::string& name) {
                                      return absl::Milliseconds(static_cast<double>(name.size()));
                                  },
                                  [&] { return distribution(generator); }};
    return explain_placement(inputs, request, now);
}

/// Workers of different rooms, speeds and queues.
std::vector<agent_view> random_agents(std::mt19937_64& generator)
{
    std::vector<agent_view> agents;
    for (int i = 0; i < 12; ++i) {
        agent_view view =
            agent("agent-" + std::to_string(i), static_cast<std::int64_t>(generator() % 30) * 1000);
        view.usable = generator() % 5 != 0;
        view.rack = generator() % 2 == 0 ? "r1" : "r2";
        view.slowness = 1 + static_cast<double>(generator() % 30) / 10;
        view.failure_share = generator() % 4 == 0 ? 0.3 : 0;
        view.load.waiting.add(absl::ZeroDuration(), static_cast<std::int64_t>(generator() % 20000));
        agents.push_back(view);
    }
    return agents;
}

} // namespace

// Guards against an explanation that shows another choice than the one made for jobs, or candidates
// that were evaluated in another way than the choice.
TEST_CASE("the explanation agrees with the placement for the same random numbers")
{
    std::mt19937_64 generator(20261206);
    for (std::uint64_t seed = 0; seed < 200; ++seed) {
        const std::vector<agent_view> agents = random_agents(generator);
        job_request request = job(1 + seed % 9);
        request.data_rack = seed % 2 == 0 ? "r1" : "";
        request.max_tasks_per_agent = seed % 3;
        const placement_explanation explained = explain(agents, request, seed);
        std::mt19937_64 same(seed);
        std::uniform_real_distribution<double> distribution(0.0, 1.0);
        const job_timing timing = timing_of(request, expected_run, now);
        const job_placement placement = place_tasks(
            agents, request, make_task_time(request, timing, expected_run, now), request.task_count,
            {}, [&] { return distribution(same); }, {}, now);
        REQUIRE(explained.placement.agents == placement.agents);
        REQUIRE(explained.placement.waits == placement.waits);
        if (placement.agents.empty()) {
            continue;
        }
        const explained_agent& first = explained.agents.front();
        REQUIRE(first.position == placement.agents.front());
        REQUIRE(first.candidate.wait == placement.waits.front());
        for (const explained_agent& other : explained.agents) {
            REQUIRE(other.tasks ==
                    std::count(placement.agents.begin(), placement.agents.end(), other.position));
            // Places with and without the data are compared by more than the lateness.
            if (other.obstacle == placement_obstacle::none && other.has_data == first.has_data) {
                REQUIRE(other.candidate.lateness_ms >= 0.9 * first.candidate.lateness_ms);
            }
        }
    }
}

// Guards against an agent that is passed over without a reason or with a wrong one.
TEST_CASE("each obstacle is named, and agents with an obstacle come last")
{
    std::vector<agent_view> agents{agent("unusable", 60000), agent("other_service", 60000),
                                   agent("too_small", 60000), agent("label_missing", 60000),
                                   agent("fits", 60000)};
    agents[0].usable = false;
    agents[1].service = "other";
    agents[2].capacity = {1000, 1000, 0};
    for (agent_view& view : agents) {
        if (view.name != "label_missing") {
            view.labels = {"ssd"};
        }
    }
    job_request request = job(3);
    request.required_label = "ssd";
    request.max_tasks_per_agent = 2;
    const placement_explanation explained = explain(agents, request);
    REQUIRE(explained.agents.size() == agents.size());
    CHECK(agents[explained.agents[0].position].name == "fits");
    CHECK(explained.agents[0].obstacle == placement_obstacle::none);
    CHECK(name_of(explained.agents[0].obstacle_afterwards) == "task_limit");
    CHECK(explained.agents[0].tasks == 2);
    for (std::size_t i = 1; i < explained.agents.size(); ++i) {
        CHECK(name_of(explained.agents[i].obstacle) == agents[explained.agents[i].position].name);
        CHECK(explained.agents[i].tasks == 0);
    }
    CHECK_FALSE(explained.admission.decision.admitted);
    CHECK(name_of(explained.admission.reason) == "no_worker");
    CHECK(explained.newest_report == absl::Milliseconds(4)); // "fits"
    CHECK(explained.oldest_report == absl::Milliseconds(13));
}

// Load pattern: all workers are full. Guards against an admission that differs from `admit`.
TEST_CASE("the admission is explained with the wait that decided it")
{
    std::vector<agent_view> agents{agent("a", 20000)};
    CHECK(explain(agents, job(3)).admission.reason == admission_reason::starts_at_once);
    CHECK(explain(agents, job(4)).admission.reason == admission_reason::wait_acceptable);
    agents[0].load.waiting.add(absl::ZeroDuration(), 64000);
    const placement_explanation refused = explain(agents, job(1));
    CHECK(refused.admission.reason == admission_reason::overloaded);
    CHECK_FALSE(refused.admission.decision.admitted);
    CHECK(refused.admission.decision.retry_after >= absl::Seconds(1));
    CHECK(refused.admission.queued_for == absl::Seconds(1));
    CHECK(refused.placement.longest_wait > refused.admitted_wait);
    const admission_decision same =
        admit(refused.timing, 0, expected_run, refused.placement.longest_wait,
              refused.admission.queued_for, now, 0);
    CHECK(same.admitted == refused.admission.decision.admitted);
}

// Guards against near and far workers that are mixed up.
TEST_CASE("a candidate away from the data is marked and slower")
{
    std::vector<agent_view> agents{agent("near", 20000), agent("away", 20000)};
    agents[0].rack = "r1";
    agents[1].rack = "r2";
    job_request request = job(1);
    request.data_rack = "r1";
    for (const explained_agent& explained : explain(agents, request).agents) {
        const bool near = agents[explained.position].name == "near";
        CHECK(explained.has_data == near);
        CHECK((explained.candidate.slowness > 1) != near);
    }
}
