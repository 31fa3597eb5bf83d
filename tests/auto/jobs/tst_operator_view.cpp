#include "carobfall/jobs/operator_view.h"

#include <doctest/doctest.h>

using namespace carobfall;

namespace {

fleet::operator_state state(std::uint64_t version)
{
    fleet::operator_state decided;
    decided.set_version(version);
    decided.set_configuration_version(version);
    for (const char* prefix : {"/a/", "/a/b/", "/c/"}) {
        fleet::route* route = decided.add_routes();
        route->set_host("advice.example");
        route->set_prefix(prefix);
        route->set_name(prefix);
    }
    return decided;
}

} // namespace

// Guards against a configuration that reverts when a peer or an old read delivers an earlier one.
TEST_CASE("only a later version replaces what is held")
{
    operator_view view;
    int changes = 0;
    view.on_change([&changes] { ++changes; });
    CHECK(view.adopt(state(7)));
    CHECK_FALSE(view.adopt(state(7)));
    CHECK_FALSE(view.adopt(state(3)));
    CHECK(view.version() == 7);
    CHECK(changes == 1);
}

TEST_CASE("the longest prefix of the host selects the route")
{
    operator_view view;
    CHECK_FALSE(view.has_configuration());
    CHECK(view.find_route("advice.example", "/a/b/1") == nullptr);
    REQUIRE(view.adopt(state(1)));
    CHECK(view.find_route("advice.example", "/a/b/1")->name() == "/a/b/");
    CHECK(view.find_route("advice.example", "/a/1")->name() == "/a/");
    CHECK(view.find_route("advice.example", "/d/1") == nullptr);
    CHECK(view.find_route("other.example", "/a/1") == nullptr);
}

TEST_CASE("a data centre is out until a later version leaves it away")
{
    operator_view view;
    fleet::operator_state out = state(2);
    out.add_data_centres_out("guro");
    REQUIRE(view.adopt(out));
    CHECK(view.is_out("guro"));
    CHECK_FALSE(view.is_out("mapo"));
    REQUIRE(view.adopt(state(3)));
    CHECK_FALSE(view.is_out("guro"));
}
