#include "../support/fake_table_service.h"

#include <doctest/doctest.h>

using namespace carobfall;
using namespace carobfall::testing;

// Guards against a fake that applies refused transactions; other tests rely on the fake.
TEST_CASE("transactions of the fake table service are atomic and require their conditions to hold")
{
    fake_table_service table;
    REQUIRE(table.commit({{{"a", 0}}, {{"a", "1"}, {"b", "1"}}}).has_value());
    const std::uint64_t version = table.read("a").value()->version;
    CHECK(table.commit({{{"a", 0}}, {{"b", "2"}}}).error().kind == error_kind::conflict);
    CHECK(table.read("b").value()->value == "1");
    table.lose_answers(1);
    CHECK(table.commit({{{"a", version}}, {{"b", std::nullopt}}}).error().kind ==
          error_kind::outcome_unknown);
    CHECK(table.scan("").value().size() == 1);
    table.lose_commits(1);
    CHECK(table.commit({{}, {{"c", "1"}}}).error().kind == error_kind::outcome_unknown);
    CHECK_FALSE(table.read("c").value().has_value());
    table.set_outage(true);
    CHECK(table.read("a").error().kind == error_kind::unavailable);
}
