#pragma once

#include "carobfall/entry/claim_store.h"
#include "carobfall/entry/view_state.h"

namespace carobfall {

/// Handles a claim request as the witness. The claim is accepted only if it was made in the view in
/// effect at this entry, no later view has been acknowledged, and its coordinator is a member;
/// otherwise the reply contains the highest view number acknowledged.
///
/// Notes about recorded answers are applied in any view: they only prevent a successor from
/// computing another answer.
///
/// The view is checked again after the claim has been stored, so that a transfer of claims to a
/// later view either includes the claim or makes the request fail.
[[nodiscard]] rpc::claim_reply accept_claim(const rpc::claim_request& request,
                                            const view_state& views, claim_store& claims);

} // namespace carobfall
