#include "region_simulation.h"

#include <doctest/doctest.h>

using namespace carobfall;
using namespace carobfall::test;

namespace {

bool is_fresh(region_simulation& region, int index)
{
    return region.at(index).replica->fresh_for(region.now) > absl::ZeroDuration();
}

std::uint64_t version_at(region_simulation& region, int index)
{
    return region.at(index).replica->current()->version;
}

rpc::push_configuration_request push_of(std::uint64_t first, std::uint64_t last)
{
    rpc::push_configuration_request push;
    push.set_version(last);
    for (std::uint64_t version = first; version <= last; ++version) {
        push.add_changes()->set_version(version);
    }
    return push;
}

} // namespace

// Guards against a region that stops working because only the table service is down.
TEST_CASE(
    "in a store outage a majority keeps its configuration fresh and an isolated entry doesn't")
{
    region_simulation region(3, 0);
    region.run(10);
    region.table.set_outage(true);
    region.cut(0, 1);
    region.cut(0, 2);
    region.run(8);
    CHECK_FALSE(is_fresh(region, 0));
    CHECK(is_fresh(region, 1));
    CHECK(is_fresh(region, 2));
}

// Guards against an entry that counts replies of members with a later version as confirmation.
TEST_CASE("an outdated entry is fresh only after it has received the latest version")
{
    region_simulation region(3, 0);
    region.run(10);
    region.table.set_outage(true);
    region.run(1);
    region.at(0).replica->receive(push_of(2, 2));
    region.at(1).replica->receive(push_of(2, 2));
    region.now += absl::Seconds(10);
    region.at(2).members->send_heartbeats(region.now);
    CHECK_FALSE(is_fresh(region, 2));
    region.run(4);
    CHECK(version_at(region, 2) == 2);
    CHECK(is_fresh(region, 2));
}

// Guards against a majority of members that have not read the store since they joined.
TEST_CASE("a member that has not read the store since its view took effect confirms nothing")
{
    region_simulation region(2, 0);
    region.run(8);
    rpc::activate_view_request activate;
    *activate.mutable_proposal() = region.at(0).members->state().effective();
    activate.mutable_proposal()->mutable_view()->set_number(9);
    region.at(0).members->activate(activate, region.now);
    region.at(1).members->activate(activate, region.now);
    region.table.set_outage(true);
    region.run(8);
    CHECK_FALSE(is_fresh(region, 0));
    CHECK(region.at(1).replica->reported_version() == unconfirmed_version);
}

TEST_CASE("the version never decreases, and a push after a gap is not applied")
{
    region_simulation region(1, 0);
    region.store_version = 5;
    region.run(2);
    configuration_replica& replica = *region.at(0).replica;
    CHECK(replica.receive(push_of(3, 4)).version() == 5);
    CHECK(replica.receive(push_of(8, 9)).version() == 5);
    CHECK(replica.receive(push_of(4, 7)).version() == 7);
    rpc::push_configuration_request snapshot = push_of(12, 12);
    snapshot.set_snapshot(true);
    CHECK(replica.receive(snapshot).version() == 12);
    region.run(2); // the store still has version 5
    CHECK(version_at(region, 0) == 12);
}

TEST_CASE("publishing succeeds only when a majority holds the version")
{
    region_simulation region(3, 0);
    region.run(10);
    region.store_version = 2;
    SUBCASE("one member is unreachable")
    {
        region.cut(0, 2);
        CHECK(region.at(0).replica->publish(2, absl::Seconds(2)));
        CHECK(version_at(region, 1) == 2);
    }
    SUBCASE("both other members are unreachable")
    {
        region.cut(0, 1);
        region.cut(0, 2);
        const auto outcome = region.at(0).replica->publish(2, absl::Seconds(1));
        REQUIRE_FALSE(outcome);
        CHECK(outcome.error().kind == error_kind::outcome_unknown);
    }
}
