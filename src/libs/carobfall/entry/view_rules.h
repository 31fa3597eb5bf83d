#pragma once

#include "carobfall/rpc/carobfall.pb.h"

#include <functional>
#include <string>
#include <vector>

namespace carobfall {

/// Identity of one entry process: "name/incarnation".
[[nodiscard]] std::string member_id(const rpc::entry_member& member);

/// Predicate on a member, for example whether it has acknowledged a view.
using member_predicate = std::function<bool(const rpc::entry_member& member)>;

/// The distinct members of the proposed view and of the views in its history.
[[nodiscard]] std::vector<rpc::entry_member> all_members(const rpc::view_proposal& proposal);

/// True if the proposed view takes effect. For each view of its history, either a majority has
/// acknowledged the proposal, or all other members are dead. `is_dead` is evaluated only for views
/// without such a majority, because it may require a connection attempt.
[[nodiscard]] bool takes_effect(const rpc::view_proposal& proposal,
                                const member_predicate& acknowledged,
                                const member_predicate& is_dead);

/// History for the proposal that follows the one in the row: the views that may still be in effect,
/// which are the view with the number `known_in_effect` and all later ones.
[[nodiscard]] std::vector<rpc::entry_view> views_possibly_in_effect(const rpc::view_proposal& row,
                                                                    std::uint64_t known_in_effect);

/// True if another incarnation of the member's name is in the view.
[[nodiscard]] bool is_replaced(const rpc::entry_view& view, const rpc::entry_member& member);

/// Number of members of a view that may fail to transfer their claims without the loss of a claim:
/// one, because each claim has two holders, but none in a view with a single member. Negative for a
/// view without members.
[[nodiscard]] int tolerated_missing(const rpc::entry_view& view);

} // namespace carobfall
