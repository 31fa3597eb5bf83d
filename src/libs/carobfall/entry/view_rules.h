#pragma once

#include "carobfall/rpc/carobfall.pb.h"

#include <functional>
#include <string>
#include <vector>

namespace carobfall {

/// "name/incarnation", the identity of one entry process.
[[nodiscard]] std::string member_id(const rpc::entry_member& member);

/// Answers a question about one member, for example whether it has acknowledged a view.
using member_predicate = std::function<bool(const rpc::entry_member& member)>;

/// Every member of the proposed view and of the views in its history, once each.
[[nodiscard]] std::vector<rpc::entry_member> all_members(const rpc::view_proposal& proposal);

/// The rule by which a view takes effect: in every view of its history a majority has acknowledged
/// it, or every member that hasn't is known to be dead. `is_dead` is asked only where no majority
/// has acknowledged, because it may take a connection attempt.
[[nodiscard]] bool takes_effect(const rpc::view_proposal& proposal,
                                const member_predicate& acknowledged,
                                const member_predicate& is_dead);

/// Views that may still be in effect besides the one in the row, for the proposal that follows it:
/// the view `known_in_effect` (a view number) and all later ones.
[[nodiscard]] std::vector<rpc::entry_view> open_views(const rpc::view_proposal& row,
                                                      std::uint64_t known_in_effect);

/// True if another incarnation of the member's name is in the view.
[[nodiscard]] bool is_replaced(const rpc::entry_view& view, const rpc::entry_member& member);

/// How many members of a view may fail to deliver their claims without a claim being lost: one,
/// because a claim has two holders, but none in a view of a single member, and a view without
/// members has no claims to deliver (negative).
[[nodiscard]] int tolerated_missing(const rpc::entry_view& view);

} // namespace carobfall
