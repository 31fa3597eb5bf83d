#include "load_replay.h"

#include <doctest/doctest.h>

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

using namespace carobfall;

namespace {

constexpr double growth = 2.4;
constexpr double demand_per_room = 1.3;
constexpr std::size_t seat_hold = 0;
constexpr std::size_t quote = 2;

double cores_of(const replayed_kind& kind)
{
    return kind.jobs_per_s * kind.mean_tasks * absl::ToDoubleSeconds(kind.mean_run);
}

/// One kind arrives at 2.4 times its usual rate, and the demand is 1.3 times the room of the 13
/// workers. With shares, the weights are the usual demands.
load_pattern grown_kind(std::size_t grown, bool with_shares, std::uint64_t seed)
{
    load_pattern load;
    load.kinds = {{"seat-hold", 206, 0, 8, 32, absl::Milliseconds(60)},
                  {"booking", 37.5, 2, 4, 16, absl::Milliseconds(900)},
                  {"quote", 600, 1, 2, 8, absl::Milliseconds(200)}};
    admission_settings_builder shares;
    for (const replayed_kind& kind : load.kinds) {
        shares.weight(kind.name, cores_of(kind));
    }
    if (with_shares) {
        load.admission = shares.build().value();
    }
    load.mean_task_millicores = 3500;
    constexpr std::size_t workers = 13;
    double room = 0;
    for (std::size_t i = 0; i < workers; ++i) {
        load.workers.push_back({i % 3 == 2 ? 48000 : 32000, 1});
        room += static_cast<double>(load.workers.back().cpu_millicores);
    }
    load.kinds[grown].jobs_per_s *= growth;
    double demand = 0;
    for (const replayed_kind& kind : load.kinds) {
        demand += cores_of(kind) * static_cast<double>(load.mean_task_millicores);
    }
    for (replayed_kind& kind : load.kinds) {
        kind.jobs_per_s *= demand_per_room * room / demand;
    }
    load.seed = seed;
    return load;
}

std::vector<replayed_result> replay_grown_kind(std::size_t grown, bool with_shares)
{
    std::vector<replayed_result> sum(3);
    constexpr std::uint64_t seeds = 2;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        const std::vector<replayed_result> results = replay(grown_kind(grown, with_shares, seed));
        for (std::size_t i = 0; i < results.size(); ++i) {
            sum[i] += results[i];
        }
    }
    for (const replayed_result& result : sum) {
        MESSAGE(sum[grown].kind, " has grown, ",
                std::string(with_shares ? "shares on: " : "shares off: "), result.kind, ": ",
                result.jobs, " jobs, on time ", result.on_time_share(), ", late ", result.late,
                ", refused ", result.refused, ", given up ", result.given_up);
    }
    return sum;
}

double refused_part(const replayed_result& result)
{
    return static_cast<double>(result.refused) / static_cast<double>(result.jobs);
}

} // namespace

// Load pattern: one kind at 2.4 times its usual rate, demand of 1.3 times the room. Guards against
// refusals of the kinds that have not grown.
TEST_CASE("with shares, kinds within their share are refused at most half as often")
{
    for (std::size_t grown = seat_hold; grown <= quote; ++grown) {
        const std::vector<replayed_result> results = replay_grown_kind(grown, true);
        for (std::size_t kind = 0; kind < results.size(); ++kind) {
            if (kind != grown) {
                CHECK(2 * refused_part(results[kind]) <= refused_part(results[grown]));
            }
            // Longer queues must not replace refusals by answers that come too late.
            CHECK(results[kind].given_up <= results[kind].jobs / 50);
            CHECK(results[kind].late <= results[kind].jobs / 10);
        }
    }
}

// The same load without shares shows that the pattern contains the fault.
TEST_CASE("without shares, quotes are refused in place of the seat holds that have grown")
{
    const std::vector<replayed_result> results = replay_grown_kind(seat_hold, false);
    CHECK(refused_part(results[quote]) > 5 * refused_part(results[seat_hold]));
}
