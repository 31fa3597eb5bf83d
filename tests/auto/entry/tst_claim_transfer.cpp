#include "carobfall/base/clock.h"
#include "carobfall/entry/rendezvous.h"
#include "region_simulation.h"

#include <absl/strings/str_cat.h>
#include <doctest/doctest.h>

using namespace carobfall;
using namespace carobfall::test;

namespace {

const submission_key key{"dambi", "s"};

int index_of(const rpc::entry_member* member)
{
    return region_simulation::index_of(member->address());
}

rpc::claim claim_of(region_simulation& region, int coordinator)
{
    rpc::claim claim;
    *claim.mutable_submission() = to_message(key);
    claim.set_deadline_unix_ms(to_unix_ms(region.now + absl::Minutes(4)));
    *claim.mutable_coordinator() = region.at(coordinator).self;
    return claim;
}

// Claims the submission in the view in effect; returns the indices of coordinator and witness.
std::pair<int, int> make_claim(region_simulation& region)
{
    const rpc::entry_view view = region.view_at(0).view;
    const std::pair pair(index_of(coordinator_of(view, key)), index_of(witness_of(view, key)));
    rpc::claim_request request;
    request.set_view_number(view.number());
    *request.mutable_claim() = claim_of(region, pair.first);
    simulated_entry& witness = region.at(pair.second);
    REQUIRE(accept_claim(request, witness.members->state(), witness.claims).accepted());
    region.at(pair.first).claims.put(request.claim());
    return pair;
}

} // namespace

// Guards against a claim with a single copy after the loss of its witness.
TEST_CASE("the new witness of a claim is complete only after it holds a copy")
{
    region_simulation region(4, 0);
    region.run(12);
    const auto [coordinator, witness] = make_claim(region);
    region.kill(witness);
    region.run(10);
    const rpc::entry_view view = region.view_at(coordinator).view;
    REQUIRE(view.members_size() == 3);
    simulated_entry& next = region.at(index_of(witness_of(view, key)));
    CHECK(next.members->snapshot().complete);
    REQUIRE(next.claims.find(key));
    CHECK(same_incarnation(next.claims.find(key)->coordinator(), region.at(coordinator).self));
}

// Guards against an entry that treats a submission as new after both holders of its claim died.
TEST_CASE("after the loss of both holders an entry is complete only when every agent has replied")
{
    region_simulation region(4, 2);
    region.run(12);
    for (simulated_agent& agent : region.agents) {
        REQUIRE(region.at(0).agents->record_join(agent.info, region.now));
    }
    const auto [coordinator, witness] = make_claim(region);
    region.agents[0].started[key] = to_unix_ms(region.now + 2 * max_deadline);
    region.agents[1].reachable = false;
    region.kill(coordinator);
    region.kill(witness);
    region.run(12);
    int survivor = 0;
    while (region.entries[static_cast<std::size_t>(survivor)] == nullptr) {
        ++survivor;
    }
    REQUIRE(region.view_at(survivor).view.members_size() == 2);
    CHECK_FALSE(region.view_at(survivor).complete);

    SUBCASE("the agent replies")
    {
        region.agents[1].reachable = true;
    }
    SUBCASE("the agent is lost and all deadlines have passed")
    {
        region.restart_agent(1);
        REQUIRE(region.at(survivor).agents->record_join(region.agents[1].info, region.now));
        region.run(4);
        CHECK_FALSE(region.view_at(survivor).complete);
        region.now += max_deadline + record_retention;
    }
    region.run(4);
    CHECK(region.view_at(survivor).complete);
    CHECK(region.at(survivor).claims.find(key));
    CHECK(region.agents[0].highest_view == region.view_at(survivor).view.number());
}

// Guards against an entry that joins after the loss of all holders, doesn't query the agents, and
// treats the submission as new.
TEST_CASE("records learned from agents are delivered to entries that join later")
{
    region_simulation region(3, 1);
    region.run(10);
    REQUIRE(region.at(0).agents->record_join(region.agents[0].info, region.now));
    region.agents[0].started[key] = to_unix_ms(region.now + max_deadline);
    for (int index = 0; index < 3; ++index) {
        region.kill(index);
    }
    region.start(0);
    region.run(20);
    REQUIRE(region.view_at(0).complete);
    region.agents[0].reachable = false;
    region.start(1);
    region.run(10);
    region.start(2);
    region.run(10);
    const rpc::entry_view view = region.view_at(0).view;
    REQUIRE(view.members_size() == 3);
    for (const rpc::entry_member* holder : {coordinator_of(view, key), witness_of(view, key)}) {
        CHECK(region.view_at(index_of(holder)).complete);
        const auto known = region.at(index_of(holder)).claims.find(key);
        REQUIRE(known);
        CHECK(is_from_records(*known));
        CHECK(known->deadline_unix_ms() == region.agents[0].started[key]);
    }
}

// Guards against a claim reconstructed from records that replaces the original claim, or that is
// kept although the original is known.
TEST_CASE("an original claim replaces a reconstructed claim, and not the reverse")
{
    region_simulation region(2, 0);
    region.run(8);
    rpc::record_summary record;
    *record.mutable_submission() = to_message(key);
    record.set_state(rpc::task_state_started);
    claim_store from_records;
    from_records.add_record(record);
    record.set_state(rpc::task_state_finished);
    from_records.add_record(record);
    const rpc::claim reconstructed = *from_records.find(key);
    REQUIRE(reconstructed.records_size() == 1);
    CHECK(reconstructed.records(0).state() == rpc::task_state_finished);

    claim_store claims;
    claims.put(claim_of(region, 0));
    claims.merge(reconstructed, region.view_at(0).view);
    claims.add_record(record);
    CHECK_FALSE(is_from_records(*claims.find(key)));
    from_records.merge(claim_of(region, 0), region.view_at(0).view);
    CHECK_FALSE(is_from_records(*from_records.find(key)));
}

// Guards against a transfer that relies on a second copy in a view with one member.
TEST_CASE(
    "the successor of a one-member view needs that member's claims or the records of all agents")
{
    region_simulation region(2, 1);
    region.step(0);
    region.step(0);
    REQUIRE(region.at(0).agents->record_join(region.agents[0].info, region.now));
    region.agents[0].reachable = false;
    region.kill(0);
    region.run(10);
    CHECK(region.view_at(1).usable());
    CHECK_FALSE(region.view_at(1).complete);
}

// Guards against a claim that is accepted after its witness has transferred its claims to a later
// view.
TEST_CASE("a claim is refused once a later view has been acknowledged")
{
    region_simulation region(2, 0);
    region.run(8);
    const rpc::entry_view view = region.view_at(0).view;
    rpc::prepare_view_request prepare;
    *prepare.mutable_proposal()->mutable_view() = view;
    prepare.mutable_proposal()->mutable_view()->set_number(view.number() + 1);
    REQUIRE(region.at(1).members->prepare(prepare).acknowledged());
    rpc::claim_request request;
    request.set_view_number(view.number());
    *request.mutable_claim() = claim_of(region, 0);
    const auto reply = accept_claim(request, region.at(1).members->state(), region.at(1).claims);
    CHECK_FALSE(reply.accepted());
    CHECK(reply.view_number() == view.number() + 1);
    CHECK_FALSE(region.at(1).claims.find(key));
}

// Guards against a stale copy that restores a former coordinator after a takeover.
TEST_CASE("a transferred copy doesn't replace a coordinator that is a member")
{
    region_simulation region(2, 0);
    region.run(8);
    rpc::claim stale = claim_of(region, 0);
    stale.mutable_coordinator()->set_incarnation("former");
    claim_store claims;
    claims.put(claim_of(region, 1));
    claims.merge(stale, region.view_at(0).view);
    CHECK(same_incarnation(claims.find(key)->coordinator(), region.at(1).self));
    claims.put(stale);
    claims.merge(claim_of(region, 1), region.view_at(0).view);
    CHECK(same_incarnation(claims.find(key)->coordinator(), region.at(1).self));
}

// Guards against a stale copy of a withdrawn claim that replaces the claim of a later owner, and
// against the loss of that later claim's records when the stale copy is withdrawn.
TEST_CASE("of two claims with different bodies the claim of the higher view is kept")
{
    region_simulation region(2, 0);
    region.run(8);
    rpc::claim stale = claim_of(region, 0);
    stale.set_body_hash("h1");
    stale.set_view_number(3);
    *stale.add_planned_agents() = {};
    rpc::claim later = claim_of(region, 1);
    later.set_body_hash("h2");
    later.set_view_number(4);
    claim_store claims;
    CHECK(claims.put(stale));
    CHECK(claims.put(later));
    CHECK_FALSE(claims.put(stale));
    claims.merge(stale, region.view_at(0).view);
    CHECK_FALSE(claims.withdraw(stale));
    CHECK(claims.find(key)->body_hash() == "h2");
    CHECK(claims.find(key)->planned_agents().empty());
    stale.set_body_hash("h2");
    CHECK(claims.put(stale));
    CHECK(same_incarnation(claims.find(key)->coordinator(), region.at(1).self));
    CHECK(claims.find(key)->planned_agents_size() == 1);
    rpc::record_summary record;
    *record.mutable_submission() = to_message(key);
    record.set_state(rpc::task_state_started);
    claims.add_record(record);
    CHECK(claims.withdraw(later));
    CHECK(is_from_records(*claims.find(key)));
}
