#pragma once

#include "carobfall/entry/claim_store.h"
#include "carobfall/entry/view_state.h"

namespace carobfall {

/// Answers a claim as its witness. It is accepted only in the view in effect here, while no later
/// view has been acknowledged and its coordinator is a member; otherwise the reply has the highest
/// view acknowledged.
///
/// Notes of recorded answers apply in any view, as they only keep a successor from answering anew.
///
/// The claim is stored before the view is checked a second time, so that a delivery of claims to a
/// later view either contains it or makes the acceptance fail.
[[nodiscard]] rpc::claim_reply accept_claim(const rpc::claim_request& request,
                                            const view_state& views, claim_store& claims);

} // namespace carobfall
