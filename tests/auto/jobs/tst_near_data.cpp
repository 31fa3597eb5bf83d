#include "carobfall/jobs/near_data.h"

#include "load_replay.h"

#include "carobfall/jobs/task_placement.h"

#include <doctest/doctest.h>

#include <string>
#include <vector>

using namespace carobfall;

namespace {

const absl::Time now = absl::FromUnixSeconds(1000);
const task_time quote{absl::Milliseconds(200), absl::Milliseconds(165), absl::Milliseconds(265)};
constexpr std::int64_t capacity_millicores = 64000;
constexpr double released_millicores_per_s = 320000;

/// An agent that reported 20 ms ago. With `wait`, its worker is full and has this much work queued.
agent_view agent(const std::string& rack, absl::Duration wait)
{
    agent_view view;
    view.rack = rack;
    view.service = "adviser";
    view.usable = true;
    view.capacity = {capacity_millicores, 262144, 0};
    view.load.free = {wait > absl::ZeroDuration() ? 0 : capacity_millicores, 262144, 0};
    view.load.released_millicores_per_s = released_millicores_per_s;
    view.load.waiting.add(
        absl::ZeroDuration(),
        static_cast<std::int64_t>(released_millicores_per_s * absl::ToDoubleSeconds(wait)));
    view.reported_at = now - absl::Milliseconds(20);
    return view;
}

job_placement place_one(const std::vector<agent_view>& agents, double remote_slowdown = 1.5)
{
    job_request request;
    request.service = "adviser";
    request.demand = {3200, 64, 0};
    request.data_rack = "a";
    return place_tasks(
        agents, request, quote, 1, {}, [] { return 0.5; }, {remote_slowdown}, now);
}

bool is_away(const std::vector<agent_view>& agents, double remote_slowdown = 1.5)
{
    return place_one(agents, remote_slowdown).away.at(0);
}

/// Returns the share of jobs on time. The workers have about twice the cores that the jobs need.
double on_time_share(const std::vector<double>& data_shares)
{
    load_pattern load;
    load.kinds = {{"hold", 19, 0, 8, 32, absl::Milliseconds(60)},
                  {"booking", 3.5, 2, 4, 16, absl::Milliseconds(900)},
                  {"quote", 55, 1, 2, 8, absl::Milliseconds(200)}};
    for (std::size_t i = 0; i < 12; ++i) {
        replayed_worker worker;
        worker.cpu_millicores = 50000;
        worker.rack = rack_name(i % 4);
        load.workers.push_back(worker);
    }
    load.data_shares = data_shares;
    replayed_result all;
    for (load.seed = 1; load.seed <= 4; ++load.seed) {
        for (const replayed_result& result : replay(load)) {
            all += result;
        }
    }
    MESSAGE(all.jobs, " jobs, on time ", all.on_time_share(), ", refused ", all.refused, ", late ",
            all.late, ", given up ", all.given_up, ", near ", all.near, ", away ", all.away);
    return all.on_time_share();
}

} // namespace

// Load pattern: calm. Guards against runs away from the data while the rack has room (with room
// alone as the weight, four tenths of the runs went away), and against waits that cost more time.
TEST_CASE("in calm periods a task waits near its data only if it ends sooner there")
{
    CHECK_FALSE(is_away({agent("a", {}), agent("b", {}), agent("c", {})}));
    CHECK(is_away({agent("a", absl::Milliseconds(120)), agent("b", {})}));
    // Only one of two workers in the rack is full.
    CHECK(place_one({agent("a", absl::Milliseconds(5)), agent("b", {}), agent("a", {})})
              .agents.at(0) == 2);
}

// Load pattern: the rack with the data is full for a short or for a long time. Guards against a
// fixed wait, which is too long for the factor 1.5 or too short for the factor 3.
TEST_CASE("a task waits for a short time in a full rack, depending on the factor")
{
    CHECK_FALSE(is_away({agent("a", absl::Milliseconds(30)), agent("b", {})}, 3));
    CHECK(is_away({agent("a", absl::Milliseconds(30)), agent("b", {})}, 1.2));
    CHECK(is_away({agent("a", absl::Milliseconds(900)), agent("b", {})}, 3));
    const job_placement waiting =
        place_one({agent("a", absl::Milliseconds(30)), agent("b", {})}, 3);
    CHECK(waiting.worthwhile_waits.at(0) > absl::Milliseconds(60));
    CHECK(waiting.worthwhile_waits.at(0) < absl::Milliseconds(400));
}

// Load pattern: all racks are full. Guards against runs that take longer and delay the others when
// room is scarce.
TEST_CASE("if all racks are full, a task pays for the longer use of cores away from its data")
{
    const data_place near{absl::Milliseconds(120), {}, {}, absl::Milliseconds(200), {}, 1};
    data_place far{absl::Milliseconds(5), {}, {}, absl::Milliseconds(300), {}, 1};
    const absl::Duration slack = absl::Milliseconds(600);
    CHECK(choose_near_or_far(near, far, near.run, slack).near);
    far.full_share = 0;
    CHECK_FALSE(choose_near_or_far(near, far, near.run, slack).near);
    // On time far from the data is better than late near it.
    far.full_share = 1;
    CHECK_FALSE(choose_near_or_far(near, far, near.run, absl::Milliseconds(180)).near);
}

// Load pattern: the rack with the data loses its workers while tasks wait there. Guards against
// waiting for a rack that can't run the task.
TEST_CASE("a task whose rack has no usable worker is placed elsewhere at once")
{
    std::vector<agent_view> agents{agent("a", absl::Milliseconds(10)), agent("b", {})};
    CHECK_FALSE(is_away(agents, 3));
    agents[0].usable = false;
    CHECK(is_away(agents, 3));
    CHECK(place_one({agent("a", absl::Milliseconds(10))}).agents.size() == 1);
}

// Load pattern: the report of the rack is 500 ms old. Guards against waiting in a queue that may
// have grown meanwhile, and against leaving a rack that has enough room for what may have come.
TEST_CASE("an old report makes a wait near the data less worthwhile, unless there is much room")
{
    std::vector<agent_view> agents{agent("a", absl::Milliseconds(30)), agent("b", {})};
    CHECK_FALSE(is_away(agents, 2));
    agents[0].reported_at = now - absl::Milliseconds(500);
    CHECK(is_away(agents, 2));
    data_place near{{}, absl::Milliseconds(300), absl::Milliseconds(500), quote.expected_run, {},
                    0};
    CHECK(cautious_wait(near) == absl::ZeroDuration());
    near.room_time = absl::Milliseconds(50);
    CHECK(cautious_wait(near) > absl::Milliseconds(50));
}

// Load pattern: half of the cores are in use, and nine tenths of the demand have their data on one
// of four racks. Guards against a queue in this rack while the others have
// room: 0.88 of the jobs were on time when a task did not count the tasks behind it.
TEST_CASE("with nine tenths of the demand on one rack, jobs are on time on the others")
{
    CHECK(on_time_share({0.9, 0.04, 0.03, 0.03}) >= 0.96);
    CHECK(on_time_share({1, 1, 1, 1}) >= 0.99);
}
