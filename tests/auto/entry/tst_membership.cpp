#include "region_simulation.h"

#include <doctest/doctest.h>

using namespace carobfall;
using namespace carobfall::test;

// Guards against a first entry that waits for others before it works.
TEST_CASE(
    "a single entry is usable and complete after its first tick, and stays usable in an outage")
{
    region_simulation region(1, 0);
    region.step(0);
    CHECK(region.view_at(0).usable());
    CHECK(region.view_at(0).complete);
    region.step(0);
    region.table.set_outage(true);
    region.run(20);
    CHECK(region.view_at(0).usable());
    CHECK(region.at(0).replica->fresh_for(region.now) > absl::ZeroDuration());
}

// Guards against a first view that is lost or created twice when the response to its write is lost.
TEST_CASE("if the response to the write of the first view is lost, the entries read the row")
{
    region_simulation region(2, 0);
    region.table.lose_answers(1);
    region.run(8);
    for (int i = 0; i < 2; ++i) {
        CHECK(region.view_at(i).usable());
        CHECK(region.view_at(i).complete);
        CHECK(region.view_at(i).view.members_size() == 2);
    }
    CHECK(region.view_at(0).view.number() == 2);
}

TEST_CASE("five entries join, and a dead one is removed after the failure timeout")
{
    region_simulation region(5, 0);
    region.run(20);
    CHECK(region.view_at(4).view.members_size() == 5);
    region.dead_hosts_refuse = false;
    region.kill(2);
    region.run(4);
    CHECK(region.view_at(4).view.members_size() == 5);
    region.run(6);
    CHECK(region.view_at(4).view.members_size() == 4);
    CHECK(region.view_at(4).complete);
    region.start(2);
    region.run(6);
    CHECK(region.view_at(2).usable());
    CHECK(region.view_at(2).view.members_size() == 5);
}

// Guards against a view change without evidence when one of two members is slow or partitioned.
TEST_CASE("one of two members removes the other only with evidence of its death")
{
    region_simulation region(2, 0);
    region.run(8);
    region.dead_hosts_refuse = false;
    region.kill(1);
    region.run(40);
    CHECK(region.view_at(0).view.members_size() == 2);
    CHECK(region.view_at(0).usable());

    SUBCASE("its address refuses connections")
    {
        region.dead_hosts_refuse = true;
    }
    SUBCASE("an operator has declared it dead")
    {
        REQUIRE(region.at(0).members->forget("entry-1"));
    }
    SUBCASE("it is replaced")
    {
        region.start(1);
    }
    const bool replaced = region.entries[1] != nullptr;
    region.run(10);
    CHECK(region.view_at(0).usable());
    CHECK(region.view_at(0).view.members_size() == (replaced ? 2 : 1));
}

// Guards against an isolated entry that removes the healthy majority through the table service.
TEST_CASE("an isolated entry proposes no view, and the majority removes it")
{
    region_simulation region(3, 0);
    region.run(10);
    region.cut(0, 1);
    region.cut(0, 2);
    region.run(12);
    CHECK(region.view_at(1).usable());
    CHECK(region.view_at(2).usable());
    CHECK(region.view_at(1).view.members_size() == 2);
    CHECK_FALSE(region.view_at(0).usable());
}

// Guards against stale copies of claims that become valid when their coordinator rejoins.
TEST_CASE("a removed incarnation never rejoins and reports that it was superseded")
{
    region_simulation region(3, 0);
    region.run(10);
    region.at(0).is_paused = true;
    region.run(12);
    region.at(0).is_paused = false;
    region.run(20);
    CHECK(region.at(0).is_superseded);
    CHECK_FALSE(region.view_at(0).usable());
    region.start(0);
    region.run(6);
    CHECK(region.view_at(0).usable());
}

// Guards against an entry that counts its own pause as a failure of the others.
TEST_CASE("an entry that was paused resets its timers and removes no member")
{
    region_simulation region(3, 0);
    region.run(10);
    const std::uint64_t number = region.view_at(0).view.number();
    region.now += absl::Minutes(1);
    region.run(4);
    CHECK(region.view_at(0).view.number() == number);
}

// Guards against a view change that is never completed because its proposer dies.
TEST_CASE("a view that was only written to the row is completed by another entry")
{
    region_simulation region(3, 0);
    region.run(10);
    region.dead_hosts_refuse = false;
    region.kill(2);
    region.run(6);
    region.table.lose_answers(1); // the proposer gets no response and dies
    while (region.table.answers_to_lose() > 0) {
        region.step(0);
        region.now += absl::Milliseconds(500);
    }
    region.kill(0);
    region.step(1);
    CHECK(region.view_at(1).in_transition); // one of three, no evidence that the others are dead
    region.dead_hosts_refuse = true;
    region.run(1);
    CHECK(region.view_at(1).usable());
    CHECK(region.view_at(1).view.members_size() == 2);
}

// Guards against an entry that stays in transition because the activation was lost in an outage.
TEST_CASE("a lost activation is resent while the table service is down")
{
    region_simulation region(2, 0);
    region.step(0);
    region.step(1);
    region.step(1); // heartbeats from the joining entry
    region.step(0); // heartbeats to the joining entry
    region.step(1);
    REQUIRE(region.view_at(1).usable());
    rpc::prepare_view_request prepare;
    *prepare.mutable_proposal() = region.at(0).members->state().effective();
    prepare.mutable_proposal()->mutable_view()->set_number(9);
    *prepare.mutable_proposal()->mutable_view()->mutable_members() =
        region.view_at(1).view.members();
    REQUIRE(region.at(0).members->prepare(prepare).acknowledged());
    CHECK(region.view_at(0).in_transition);
    rpc::activate_view_request activate;
    *activate.mutable_proposal() = prepare.proposal();
    region.at(1).members->activate(activate, region.now);
    region.table.set_outage(true);
    region.run(2);
    CHECK_FALSE(region.view_at(0).in_transition);
    CHECK(region.view_at(0).view.number() == 9);
}

TEST_CASE("leaving removes the entry and the others are complete")
{
    region_simulation region(3, 0);
    region.run(10);
    REQUIRE(region.at(1).members->leave(region.now));
    region.run(2);
    CHECK(region.view_at(0).view.members_size() == 2);
    CHECK(region.view_at(0).complete);
    CHECK(region.view_at(2).complete);
    CHECK_FALSE(region.at(1).is_superseded);
}

TEST_CASE("leaving ends with an error when the view can't change")
{
    region_simulation region(2, 0);
    region.run(8);
    region.table.set_outage(true);
    const auto outcome = region.at(1).members->leave(region.now);
    REQUIRE_FALSE(outcome);
    CHECK(outcome.error().kind == error_kind::unavailable);
}

// Guards against an endless sequence of removals and joins of an entry that has one-way contact or
// no contact with one of the members.
TEST_CASE(
    "the view stays stable while two entries can't reach each other, and all entries join later")
{
    bool one_way = false;
    int size = 0;
    SUBCASE("three entries, one way")
    {
        one_way = true;
        size = 3;
    }
    SUBCASE("five entries, one way")
    {
        one_way = true;
        size = 5;
    }
    SUBCASE("five entries, both ways")
    {
        size = 5;
    }
    region_simulation region(size, 0);
    const auto run_with_restarts = [&](int rounds) {
        for (int round = 0; round < rounds; ++round) {
            region.run(1);
            for (int i = 0; i < size; ++i) {
                if (region.at(i).is_superseded) {
                    region.start(i);
                }
            }
        }
    };
    run_with_restarts(20);
    REQUIRE(region.view_at(0).view.members_size() == size);
    one_way ? (void)region.one_way_cuts.insert({0, 1}) : region.cut(0, 1);
    run_with_restarts(40);
    const std::uint64_t settled = region.view_at(2).view.number();
    run_with_restarts(200);
    CHECK(region.view_at(2).view.number() == settled);
    CHECK(region.view_at(2).view.members_size() == size - 1);
    for (int i = 2; i < size; ++i) {
        CHECK(region.view_at(i).usable());
        CHECK(region.view_at(i).complete);
    }
    region.one_way_cuts.clear();
    region.cuts.clear();
    run_with_restarts(12);
    CHECK(region.view_at(0).view.members_size() == size);
    CHECK(region.view_at(1).view.members_size() == size);
}
