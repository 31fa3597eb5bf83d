#include "carobfall/entry/rendezvous.h"

#include <doctest/doctest.h>

#include <absl/strings/str_cat.h>

using namespace carobfall;

namespace {

rpc::entry_view view_of(int members, int data_centres)
{
    rpc::entry_view view;
    view.set_number(1);
    for (int i = 0; i < members; ++i) {
        rpc::entry_member* member = view.add_members();
        member->set_name(absl::StrCat("entry-", i));
        member->set_incarnation("a");
        member->set_data_centre(absl::StrCat("dc-", i % data_centres));
    }
    return view;
}

} // namespace

// Guards against the loss of both copies of a claim with one data centre.
TEST_CASE("coordinator and witness are in different data centres if the members are in two")
{
    const rpc::entry_view view = view_of(6, 2);
    for (int i = 0; i < 200; ++i) {
        const submission_key key{"dambi", absl::StrCat("s", i)};
        CHECK(coordinator_of(view, key)->data_centre() != witness_of(view, key)->data_centre());
    }
}

// Guards against a hash that assigns most submissions to one entry.
TEST_CASE("keys are distributed evenly over the members")
{
    const rpc::entry_view view = view_of(3, 3);
    std::map<std::string, int> counts;
    for (int i = 0; i < 3000; ++i) {
        ++counts[coordinator_of(view, {"dambi", absl::StrCat("s", i)})->name()];
    }
    for (const auto& [name, count] : counts) {
        CHECK(count > 800);
        CHECK(count < 1200);
    }
}

// Guards against keys that move between remaining entries when another one leaves.
TEST_CASE("removing a member moves only its own keys")
{
    const rpc::entry_view before = view_of(4, 4);
    rpc::entry_view after = before;
    after.mutable_members()->DeleteSubrange(3, 1);
    for (int i = 0; i < 500; ++i) {
        const submission_key key{"dambi", absl::StrCat("s", i)};
        const std::string& owner = coordinator_of(before, key)->name();
        if (owner != "entry-3") {
            CHECK(coordinator_of(after, key)->name() == owner);
        }
    }
}

TEST_CASE("an empty view has no coordinator, and a view with one member has no witness")
{
    CHECK(coordinator_of(view_of(0, 1), {"a", "b"}) == nullptr);
    CHECK(witness_of(view_of(0, 1), {"a", "b"}) == nullptr);
    CHECK(witness_of(view_of(1, 1), {"a", "b"}) == nullptr);
    CHECK(witness_of(view_of(2, 1), {"a", "b"}) != nullptr);
}
