#include "carobfall/jobs/operator_view.h"

#include <doctest/doctest.h>

using namespace carobfall;

namespace {

const absl::Time start = absl::UnixEpoch();

fleet::operator_state state(std::uint64_t version)
{
    fleet::operator_state result;
    result.set_version(version);
    result.set_configuration_version(version);
    for (const char* prefix : {"/a/", "/a/b/", "/c/"}) {
        fleet::route* route = result.add_routes();
        route->set_host("advice.example");
        route->set_prefix(prefix);
        route->set_name(prefix);
    }
    return result;
}

} // namespace

// Guards against a configuration that reverts when a peer or a delayed read of the store delivers
// an earlier version.
TEST_CASE("only a later version replaces the operator state")
{
    operator_view view;
    int changes = 0;
    view.on_change([&changes] { ++changes; });
    CHECK(view.adopt(state(7), start));
    CHECK_FALSE(view.adopt(state(7), start));
    CHECK_FALSE(view.adopt(state(3), start));
    CHECK(view.version() == 7);
    CHECK(changes == 1);
}

TEST_CASE("the longest prefix of the host selects the route")
{
    operator_view view;
    CHECK_FALSE(view.has_configuration());
    CHECK(view.find_route("advice.example", "/a/b/1") == nullptr);
    REQUIRE(view.adopt(state(1), start));
    CHECK(view.find_route("advice.example", "/a/b/1")->name() == "/a/b/");
    CHECK(view.find_route("advice.example", "/a/1")->name() == "/a/");
    CHECK(view.find_route("advice.example", "/d/1") == nullptr);
    CHECK(view.find_route("other.example", "/a/1") == nullptr);
}

TEST_CASE("a data centre is out of service until a later version omits it")
{
    operator_view view;
    fleet::operator_state out = state(2);
    out.add_data_centres_out("guro");
    REQUIRE(view.adopt(out, start));
    CHECK(view.is_out("guro"));
    CHECK_FALSE(view.is_out("mapo"));
    REQUIRE(view.adopt(state(3), start));
    CHECK_FALSE(view.is_out("guro"));
}

// Guards against a flood of frames after a restart of all processes: each reads the store at
// another version, and 100 of them passed on 2,100 states in the first second, which overloaded
// small entries.
TEST_CASE("a later version with the same content is not reported as a change nor needed by peers")
{
    operator_view view;
    int changes = 0;
    view.on_change([&changes] { ++changes; });
    REQUIRE(view.adopt(state(7), start));
    const operator_state_stamp before = view.stamp();
    fleet::operator_state same = state(7);
    same.set_version(9);
    CHECK_FALSE(view.adopt(same, start));
    CHECK(view.version() == 9);
    CHECK(changes == 1);
    operator_view peer;
    CHECK(peer.needs(view.stamp()));
    REQUIRE(peer.adopt(state(7), start));
    CHECK(peer.stamp().digest == before.digest);
    CHECK_FALSE(peer.needs(view.stamp()));
    fleet::operator_state other = state(7);
    other.set_configuration_version(8);
    operator_view differing_peer;
    REQUIRE(differing_peer.adopt(other, start));
    CHECK(differing_peer.needs(view.stamp()));
}

// Guards against an operator state that reverts: a process that receives no later reads would keep
// a low version, and the older state of a peer would count as later.
TEST_CASE("the later version of a peer with the same content is adopted")
{
    operator_view view;
    REQUIRE(view.adopt(state(7), start));
    view.confirm({20, view.stamp().digest});
    CHECK(view.version() == 20);
    CHECK_FALSE(view.adopt(state(15), start));
    view.confirm({30, view.stamp().digest + 1});
    CHECK(view.version() == 20);
    CHECK(view.adopt(state(21), start));
}

TEST_CASE("a process without operator state adopts no version of a peer")
{
    operator_view view;
    view.confirm({20, 0});
    CHECK(view.version() == 0);
    operator_view peer;
    CHECK_FALSE(peer.needs(view.stamp()));
    CHECK(view.adopt(state(1), start));
}

// Guards against operators who can't tell whether a change is in force everywhere.
TEST_CASE("a process counts as behind from the first stamp of a later state until it holds it")
{
    operator_view view;
    event_log log("entry", "mapo");
    metrics_registry metrics;
    REQUIRE(view.adopt(state(7), start));
    view.observe({9, view.stamp().digest}, start);
    CHECK(view.behind_for(start + absl::Seconds(1)) == absl::ZeroDuration());
    view.observe({9, view.stamp().digest + 1}, start + absl::Seconds(1));
    view.observe({12, view.stamp().digest + 2}, start + absl::Seconds(2));
    CHECK(view.behind_for(start + absl::Seconds(3)) == absl::Seconds(2));
    REQUIRE(view.adopt(state(9), start + absl::Seconds(3)));
    CHECK(view.behind_for(start + absl::Seconds(3)) == absl::Seconds(2));
    REQUIRE(view.adopt(state(12), start + absl::Seconds(4)));
    CHECK(view.behind_for(start + absl::Seconds(5)) == absl::ZeroDuration());
    view.record_adoption("agent", log, metrics, start + absl::Seconds(4));
    CHECK(metrics.distribution("operator_state_behind_ms").sum() == doctest::Approx(3000));
}
