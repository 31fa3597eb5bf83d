#include "fakes.h"
#include "placement_candidates.h"

#include "carobfall/dispatch/placement.h"

#include <doctest/doctest.h>

#include <numeric>

using namespace carobfall;
using namespace carobfall::measure;
using namespace carobfall::testing;

namespace {

std::vector<placement_candidate> candidates_with(const std::vector<std::uint32_t>& reported,
                                                 std::uint32_t slots = 8, std::uint32_t room = 12)
{
    std::vector<placement_candidate> candidates;
    for (const std::uint32_t load : reported) {
        candidates.push_back({nullptr, slots, load, 0, room - std::min(room, load)});
    }
    return candidates;
}

std::uint32_t sum(const std::vector<std::uint32_t>& counts)
{
    return std::accumulate(counts.begin(), counts.end(), 0U);
}

constexpr std::array all_kinds{placement_kind::random, placement_kind::round_robin,
                               placement_kind::two_choices, placement_kind::least_loaded};

} // namespace

// Guards against tasks that are dropped or placed at agents without room.
TEST_CASE("every policy places as many tasks as there is room for")
{
    const auto candidates = candidates_with({0, 3, 12, 11, 6});
    for (const placement_kind kind : all_kinds) {
        CAPTURE(name_of(kind));
        const placement_policy place = make_placement(kind, seeded_random());
        for (const std::uint32_t tasks : {0U, 1U, 7U, 28U, 670U}) {
            const auto counts = place(candidates, tasks);
            CHECK(sum(counts) == std::min(tasks, 28U));
            for (std::size_t i = 0; i < counts.size(); ++i) {
                CHECK(counts[i] <= candidates[i].room);
            }
        }
        CHECK(place({}, 5).empty());
        CHECK(placement_kind_from_name(name_of(kind)) == kind);
    }
}

TEST_CASE("two choices place fewer tasks on loaded agents than a random choice")
{
    const auto candidates = candidates_with({0, 0, 7, 7});
    const auto on_loaded = [&](placement_kind kind) {
        const placement_policy place = make_placement(kind, seeded_random());
        std::uint32_t tasks = 0;
        for (int i = 0; i < 1000; ++i) {
            const auto counts = place(candidates, 1);
            tasks += counts[2] + counts[3];
        }
        return tasks;
    };
    CHECK(on_loaded(placement_kind::random) > 400);
    // The probability of drawing both loaded agents is 1/6.
    CHECK(on_loaded(placement_kind::two_choices) < 200);
    CHECK(on_loaded(placement_kind::least_loaded) == 0);
}

// Guards against start batches of a single task each for large jobs.
TEST_CASE("large jobs are distributed over few agents in proportion to their free slots")
{
    const placement_policy place = make_two_choices(seeded_random());
    const auto counts = place(candidates_with(std::vector<std::uint32_t>(400, 0)), 670);
    CHECK(sum(counts) == 670);
    const auto used = std::count_if(counts.begin(), counts.end(), [](auto n) { return n > 0; });
    CHECK(used <= 168);
    CHECK(*std::max_element(counts.begin(), counts.end()) <= 4);

    const auto uneven = place(candidates_with({0, 4, 6}), 7);
    CHECK(uneven == std::vector<std::uint32_t>{4, 2, 1});
}
