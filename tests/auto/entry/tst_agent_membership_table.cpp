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
    void write_view() { REQUIRE(table.commit({{}, {{"view/r", "x"}}})); }
    agent_membership_table entry()
    {
        const std::uint64_t version = table.read("view/r").value()->version;
        return {table, "r", [this, version] {
                    return std::optional(join_permission{{"view/r", version}, view_number});
                }};
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

TEST_CASE_FIXTURE(table_fixture, "a join is durable and then answered from memory")
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

// Guards against records that nobody asks for although a restarted agent may have lost them.
TEST_CASE_FIXTURE(table_fixture, "replaced and departed incarnations count until the deadlines end")
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

// Guards against an agent that is used in an older view and that the entries of the later view,
// which have read the list of agents already, don't ask for its records.
TEST_CASE_FIXTURE(table_fixture, "an entry with an older view records no join and trusts none")
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
