#include "carobfall/entry/claim_acceptance.h"

#include "carobfall/entry/rendezvous.h"

namespace carobfall {
namespace {

bool is_acceptable(const rpc::claim_request& request, const view_state& views)
{
    const ownership_snapshot snapshot = views.snapshot();
    return snapshot.usable() && snapshot.view.number() == request.view_number() &&
           find_member(snapshot.view, request.claim().coordinator()) != nullptr;
}

} // namespace

rpc::claim_reply accept_claim(const rpc::claim_request& request, const view_state& views,
                              claim_store& claims)
{
    rpc::claim_reply reply;
    for (const rpc::answered_note& note : request.answered()) {
        claims.note_answered(note);
    }
    if (!request.has_claim()) {
        reply.set_accepted(true);
    } else if (is_acceptable(request, views)) {
        const bool stored = claims.put(request.claim());
        reply.set_accepted(stored && is_acceptable(request, views));
    }
    reply.set_view_number(views.acknowledged_view_number());
    return reply;
}

} // namespace carobfall
