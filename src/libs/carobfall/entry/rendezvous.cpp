#include "carobfall/entry/rendezvous.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <vector>

namespace carobfall {
namespace {

// The score doesn't depend on the incarnation, so that a restarted entry owns the same keys again.
std::vector<const rpc::entry_member*> rendezvous_order(const rpc::entry_view& view,
                                                       const submission_key& key)
{
    std::vector<std::pair<std::uint64_t, const rpc::entry_member*>> scored;
    scored.reserve(static_cast<std::size_t>(view.members_size()));
    for (const rpc::entry_member& member : view.members()) {
        const std::uint64_t score = stable_hash(
            absl::StrCat(member.name(), "\n", key.client_account, "\n", key.submission_id));
        scored.emplace_back(score, &member);
    }
    std::sort(scored.begin(), scored.end(), [](const auto& left, const auto& right) {
        return left.first != right.first ? left.first > right.first
                                         : left.second->name() < right.second->name();
    });
    std::vector<const rpc::entry_member*> order;
    order.reserve(scored.size());
    for (const auto& [score, member] : scored) {
        order.push_back(member);
    }
    return order;
}

} // namespace

const rpc::entry_member* coordinator_of(const rpc::entry_view& view, const submission_key& key)
{
    const auto order = rendezvous_order(view, key);
    return order.empty() ? nullptr : order.front();
}

const rpc::entry_member* witness_of(const rpc::entry_view& view, const submission_key& key)
{
    const rpc::entry_member* coordinator = coordinator_of(view, key);
    return coordinator == nullptr ? nullptr : witness_of(view, key, *coordinator);
}

const rpc::entry_member* witness_of(const rpc::entry_view& view, const submission_key& key,
                                    const rpc::entry_member& coordinator)
{
    const rpc::entry_member* next = nullptr;
    for (const rpc::entry_member* member : rendezvous_order(view, key)) {
        if (same_incarnation(*member, coordinator)) {
            continue;
        }
        if (member->data_centre() != coordinator.data_centre()) {
            return member;
        }
        if (next == nullptr) {
            next = member;
        }
    }
    return next;
}

bool same_incarnation(const rpc::entry_member& left, const rpc::entry_member& right)
{
    return left.name() == right.name() && left.incarnation() == right.incarnation();
}

const rpc::entry_member* find_member(const rpc::entry_view& view, const rpc::entry_member& member)
{
    const auto found =
        std::find_if(view.members().begin(), view.members().end(),
                     [&](const auto& candidate) { return same_incarnation(candidate, member); });
    return found == view.members().end() ? nullptr : &*found;
}

} // namespace carobfall
