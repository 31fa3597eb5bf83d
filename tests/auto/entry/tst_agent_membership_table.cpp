#include "../support/fake_table_service.h"
#include "carobfall/entry/agent_membership_table.h"
#include "carobfall/entry/claim_store.h"

#include <doctest/doctest.h>

using namespace carobfall;
using namespace carobfall::testing;

namespace {

struct table_fixture {
    fake_table_service table;
    std::uint64_t view_number{1};
    absl::Time now{absl::FromUnixSeconds(1'000'000)};

    table_fixture() { write_view(); }
    std::function<result<void>(const rpc::agent_info&)> check{[](auto&&) { return success(); }};

    void write_view() { REQUIRE(table.commit({{}, {{"view/r", "x"}}})); }
    agent_membership_table entry()
    {
        const std::uint64_t version = table.read("view/r").value()->version;
        return {table, "r",
                [this, version] {
                    return std::optional(join_permission{{"view/r", version}, view_number});
                },
                [this](const rpc::agent_info& info) { return check(info); }};
    }
};

rpc::agent_info agent(const std::string& incarnation)
{
    rpc::agent_info info;
    info.set_name("a");
    info.set_incarnation(incarnation);
    info.set_address("10.0.0.1:1");
    return info;
}

rpc::agent_ref reference(const std::string& incarnation)
{
    rpc::agent_ref reference;
    reference.set_name("a");
    reference.set_incarnation(incarnation);
    return reference;
}

} // namespace

TEST_CASE_FIXTURE(table_fixture, "a join is durable and then confirmed from the cache")
{
    agent_membership_table entry = this->entry();
    table.set_outage(true);
    CHECK(entry.record_join(agent("1"), now).error().kind == error_kind::unavailable);
    table.set_outage(false);
    table.lose_answers(1);
    CHECK(entry.record_join(agent("1"), now));
    table.set_outage(true);
    CHECK(entry.record_join(agent("1"), now));
}

// Guards against a late registration of an ended incarnation that marks the current one as lost
// while it still runs tasks.
TEST_CASE_FIXTURE(table_fixture,
                  "a join is recorded only if the incarnation responds at its address")
{
    agent_membership_table entry = this->entry();
    std::string running = "2";
    check = [&](const rpc::agent_info& info) -> result<void> {
        if (info.incarnation() == running) {
            return success();
        }
        return failure(error_kind::invalid_request, "another incarnation", "restart the agent");
    };
    CHECK(entry.record_join(agent("2"), now));
    CHECK(entry.record_join(agent("1"), now).error().kind == error_kind::invalid_request);

    // After incarnation 3 has responded, incarnation 4 joins through another entry.
    agent_membership_table other = this->entry();
    running = "3";
    check = [&](const rpc::agent_info& info) -> result<void> {
        if (info.incarnation() == "3" && running == "3") {
            running = "4";
            REQUIRE(other.record_join(agent("4"), now));
            return success();
        }
        return info.incarnation() == running
                   ? result<void>(success())
                   : failure(error_kind::invalid_request, "another incarnation", "restart");
    };
    CHECK(entry.record_join(agent("3"), now).error().kind == error_kind::invalid_request);
    const auto members = entry.members(now);
    REQUIRE(members);
    CHECK(members.value().front().info.incarnation() == "4");
}

// Guards against entries that ignore the records that a restarted agent may have lost.
TEST_CASE_FIXTURE(
    table_fixture,
    "replaced and departed incarnations are lost members until all deadlines have passed")
{
    agent_membership_table entry = this->entry();
    REQUIRE(entry.record_join(agent("1"), now));
    REQUIRE(entry.record_join(agent("2"), now));
    REQUIRE(entry.record_leave(reference("2"), now + absl::Seconds(1)));
    const auto members = entry.members(now + absl::Seconds(2));
    REQUIRE(members.value().size() == 2);
    CHECK(members.value()[0].lost);
    CHECK(members.value()[1].lost);
    CHECK(entry.members(now + max_deadline + record_retention + absl::Seconds(2)).value().empty());
    CHECK_FALSE(this->entry().record_join(agent("1"), now));
    CHECK_FALSE(this->entry().record_join(agent("2"), now));
    CHECK(this->entry().record_join(agent("3"), now));
}

// Guards against an agent that is used in an older view after the entries of the later view have
// read the list of agents, so that they don't fetch its records.
TEST_CASE_FIXTURE(
    table_fixture,
    "an entry with an older view neither records a join nor accepts one of a later view")
{
    agent_membership_table old_entry = entry();
    write_view();
    CHECK(old_entry.record_join(agent("1"), now).error().kind == error_kind::conflict);
    view_number = 2;
    agent_membership_table new_entry = entry();
    REQUIRE(new_entry.record_join(agent("1"), now));
    view_number = 1;
    CHECK(old_entry.record_join(agent("1"), now).error().kind == error_kind::unavailable);
}
