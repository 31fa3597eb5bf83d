#include "carobfall/entry/view_rules.h"

#include "carobfall/entry/rendezvous.h"

#include <absl/container/flat_hash_set.h>
#include <absl/strings/str_cat.h>

#include <algorithm>

namespace carobfall {

std::string member_id(const rpc::entry_member& member)
{
    return absl::StrCat(member.name(), "/", member.incarnation());
}

std::vector<rpc::entry_member> all_members(const rpc::view_proposal& proposal)
{
    std::vector<rpc::entry_member> members;
    absl::flat_hash_set<std::string> seen;
    const auto add = [&](const rpc::entry_view& view) {
        for (const rpc::entry_member& member : view.members()) {
            if (seen.insert(member_id(member)).second) {
                members.push_back(member);
            }
        }
    };
    add(proposal.view());
    std::for_each(proposal.history().begin(), proposal.history().end(), add);
    return members;
}

bool takes_effect(const rpc::view_proposal& proposal, const member_predicate& acknowledged,
                  const member_predicate& is_dead)
{
    return std::all_of(
        proposal.history().begin(), proposal.history().end(), [&](const rpc::entry_view& view) {
            const auto& members = view.members();
            const auto count = std::count_if(members.begin(), members.end(), acknowledged);
            return 2 * count > members.size() ||
                   std::all_of(members.begin(), members.end(), [&](const auto& member) {
                       return acknowledged(member) || is_dead(member);
                   });
        });
}

std::vector<rpc::entry_view> views_possibly_in_effect(const rpc::view_proposal& row,
                                                      std::uint64_t known_in_effect)
{
    std::vector<rpc::entry_view> views(row.history().begin(), row.history().end());
    views.push_back(row.view());
    const auto known = std::find_if(views.begin(), views.end(), [&](const rpc::entry_view& view) {
        return view.number() == known_in_effect;
    });
    if (known != views.end()) {
        views.erase(views.begin(), known);
    }
    return views;
}

bool is_replaced(const rpc::entry_view& view, const rpc::entry_member& member)
{
    return std::any_of(view.members().begin(), view.members().end(), [&](const auto& candidate) {
        return candidate.name() == member.name() && !same_incarnation(candidate, member);
    });
}

int tolerated_missing(const rpc::entry_view& view)
{
    return std::min(1, view.members_size() - 1);
}

} // namespace carobfall
