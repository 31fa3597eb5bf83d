#pragma once

#include "carobfall/base/ids.h"

namespace carobfall {

/// Owner of new submissions with this key: the first member in rendezvous hashing order. Null for
/// an empty view.
[[nodiscard]] const rpc::entry_member* coordinator_of(const rpc::entry_view& view,
                                                      const submission_key& key);

/// Holder of the second copy of the claim: the next member in rendezvous order that is in another
/// data centre than the coordinator, or the next member if there is none. Null for fewer than two
/// members.
[[nodiscard]] const rpc::entry_member* witness_of(const rpc::entry_view& view,
                                                  const submission_key& key);

/// Witness of a claim that names `coordinator`, which need not be the first member in rendezvous
/// order. Returns the first other member in this order, preferring another data centre.
[[nodiscard]] const rpc::entry_member* witness_of(const rpc::entry_view& view,
                                                  const submission_key& key,
                                                  const rpc::entry_member& coordinator);

/// True if both are the same process: name and incarnation are equal.
[[nodiscard]] bool same_incarnation(const rpc::entry_member& left, const rpc::entry_member& right);

/// Finds the member of the view with the same name and incarnation; null if there is none.
[[nodiscard]] const rpc::entry_member* find_member(const rpc::entry_view& view,
                                                   const rpc::entry_member& member);

} // namespace carobfall
