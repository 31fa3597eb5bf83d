#include "carobfall/entry/entry_calls.h"

#include "carobfall/entry/claim_acceptance.h"
#include "carobfall/entry/entry_status.h"

#include <grpcpp/server_context.h>

namespace carobfall {
namespace {

bool is_meant_for(const grpc::ServerContext& context, const rpc::entry_member& self)
{
    const auto& metadata = context.client_metadata();
    const auto meant = metadata.find(incarnation_metadata_key);
    // Agents don't send an incarnation: any entry process may handle their calls.
    return meant == metadata.end() ||
           std::string_view(meant->second.data(), meant->second.size()) == self.incarnation();
}

template <typename T>
grpc::Status to_reply(result<T> outcome, T* reply)
{
    if (!outcome) {
        return to_status(outcome.error());
    }
    *reply = std::move(outcome).value();
    return grpc::Status::OK;
}

} // namespace

entry_calls::entry_calls(entry_parts parts, entry_call_limits limits)
    : parts_(std::move(parts)),
      forwards_(limits.forwards),
      registrations_(limits.registrations),
      transfers_(limits.claim_transfers)
{}

template <typename Action>
grpc::Status entry_calls::guarded(const grpc::ServerContext& context, const Action& action)
{
    if (!is_meant_for(context, parts_.members.self())) {
        return to_status({error_kind::unavailable,
                          "another process has replaced the entry that the call is addressed to",
                          "retry after the view of entries has changed"});
    }
    return action();
}

template <typename Action>
grpc::Status entry_calls::limited(const grpc::ServerContext& context, call_limiter& limiter,
                                  const Action& action)
{
    const call_limiter::permit permit = limiter.acquire();
    if (!permit) {
        return to_status({error_kind::overloaded, "too many calls of this kind are in progress",
                          "retry later or at another entry"});
    }
    return guarded(context, action);
}

grpc::Status entry_calls::register_agent(grpc::ServerContext* context,
                                         const rpc::register_request* request,
                                         rpc::register_reply* reply)
{
    return limited(*context, registrations_, [&] {
        *reply = parts_.agents.on_register(*request, parts_.clock());
        return grpc::Status::OK;
    });
}

grpc::Status entry_calls::beat(grpc::ServerContext* context, const rpc::beat_request* request,
                               rpc::beat_reply* reply)
{
    return guarded(*context, [&] {
        *reply = parts_.agents.on_beat(*request, parts_.clock());
        return grpc::Status::OK;
    });
}

grpc::Status entry_calls::report(grpc::ServerContext* context, const rpc::report_request* request,
                                 rpc::report_reply* /*reply*/)
{
    return guarded(*context, [&] {
        parts_.agents.on_report(*request, parts_.clock());
        return grpc::Status::OK;
    });
}

grpc::Status entry_calls::forward(grpc::ServerContext* context, const rpc::forward_request* request,
                                  rpc::forward_reply* reply)
{
    return limited(*context, forwards_, [&] {
        *reply = parts_.submissions.submit_forwarded(*request, parts_.clock());
        return grpc::Status::OK;
    });
}

grpc::Status entry_calls::status(grpc::ServerContext* context, const rpc::status_request* request,
                                 rpc::submission_answer* reply)
{
    return limited(*context, forwards_, [&] {
        return to_reply(parts_.submissions.status_forwarded(*request, parts_.clock()), reply);
    });
}

grpc::Status entry_calls::cancel(grpc::ServerContext* context, const rpc::cancel_request* request,
                                 rpc::submission_answer* reply)
{
    return limited(*context, forwards_, [&] {
        return to_reply(parts_.submissions.cancel_forwarded(*request, parts_.clock()), reply);
    });
}

grpc::Status entry_calls::claim_submission(grpc::ServerContext* context,
                                           const rpc::claim_request* request,
                                           rpc::claim_reply* reply)
{
    return guarded(*context, [&] {
        *reply = accept_claim(*request, parts_.members.state(), parts_.claims);
        return grpc::Status::OK;
    });
}

grpc::Status entry_calls::fetch_claims(grpc::ServerContext* context,
                                       const rpc::fetch_claims_request* request,
                                       rpc::fetch_claims_reply* reply)
{
    return limited(*context, transfers_, [&] {
        *reply = parts_.transfer.serve(*request);
        return grpc::Status::OK;
    });
}

grpc::Status entry_calls::prepare_view(grpc::ServerContext* context,
                                       const rpc::prepare_view_request* request,
                                       rpc::prepare_view_reply* reply)
{
    return guarded(*context, [&] {
        *reply = parts_.members.prepare(*request);
        return grpc::Status::OK;
    });
}

grpc::Status entry_calls::activate_view(grpc::ServerContext* context,
                                        const rpc::activate_view_request* request,
                                        rpc::activate_view_reply* reply)
{
    return guarded(*context, [&] {
        *reply = parts_.members.activate(*request, parts_.clock());
        return grpc::Status::OK;
    });
}

// Handled for any incarnation: the reply contains the current one, which proves to the caller that
// an earlier process at this address is gone.
grpc::Status entry_calls::entry_beat(grpc::ServerContext* /*context*/,
                                     const rpc::entry_beat_request* request,
                                     rpc::entry_beat_reply* reply)
{
    *reply = parts_.members.handle_heartbeat(*request);
    parts_.agents.on_entry_beat(*request, parts_.clock());
    return grpc::Status::OK;
}

grpc::Status entry_calls::push_configuration(grpc::ServerContext* context,
                                             const rpc::push_configuration_request* request,
                                             rpc::push_configuration_reply* reply)
{
    return guarded(*context, [&] {
        *reply = parts_.replica.receive(*request);
        return grpc::Status::OK;
    });
}

grpc::Status entry_calls::retry_now(grpc::ServerContext* context,
                                    const rpc::retry_now_request* request,
                                    rpc::retry_now_reply* reply)
{
    return guarded(*context, [&] {
        reply->set_cleared(parts_.submissions.retry_now(request->agent(), parts_.clock()));
        return grpc::Status::OK;
    });
}

} // namespace carobfall
