#include "carobfall/entry/entry_rpc_service.h"

#include "carobfall/entry/claim_acceptance.h"
#include "carobfall/entry/entry_status.h"

#include <grpcpp/server_context.h>

namespace carobfall {
namespace {

bool is_addressed_to(const grpc::ServerContext& context, const rpc::entry_member& self)
{
    const auto& metadata = context.client_metadata();
    const auto receiver = metadata.find(incarnation_metadata_key);
    // Agents don't send an incarnation: any entry process may handle their calls.
    return receiver == metadata.end() ||
           std::string_view(receiver->second.data(), receiver->second.size()) == self.incarnation();
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

entry_rpc_service::entry_rpc_service(entry_components components, entry_call_limits limits)
    : components_(std::move(components)),
      forwards_(limits.forwards),
      registrations_(limits.registrations),
      transfers_(limits.claim_transfers)
{}

template <typename Action>
grpc::Status entry_rpc_service::run_if_addressed(const grpc::ServerContext& context,
                                                 const Action& action)
{
    if (!is_addressed_to(context, components_.members.self())) {
        return to_status({error_kind::unavailable,
                          "another process has replaced the entry that the call is addressed to",
                          "retry after the view of entries has changed"});
    }
    return action();
}

template <typename Action>
grpc::Status entry_rpc_service::run_limited(const grpc::ServerContext& context,
                                            call_limiter& limiter, const Action& action)
{
    const call_limiter::permit permit = limiter.acquire();
    if (!permit) {
        return to_status({error_kind::overloaded, "too many calls of this kind are in progress",
                          "retry later or at another entry"});
    }
    return run_if_addressed(context, action);
}

grpc::Status entry_rpc_service::register_agent(grpc::ServerContext* context,
                                               const rpc::register_request* request,
                                               rpc::register_reply* reply)
{
    return run_limited(*context, registrations_, [&] {
        *reply = components_.agents.on_register(*request, components_.clock());
        return grpc::Status::OK;
    });
}

grpc::Status entry_rpc_service::beat(grpc::ServerContext* context, const rpc::beat_request* request,
                                     rpc::beat_reply* reply)
{
    return run_if_addressed(*context, [&] {
        *reply = components_.agents.on_beat(*request, components_.clock());
        return grpc::Status::OK;
    });
}

grpc::Status entry_rpc_service::report(grpc::ServerContext* context,
                                       const rpc::report_request* request,
                                       rpc::report_reply* /*reply*/)
{
    return run_if_addressed(*context, [&] {
        components_.agents.on_report(*request, components_.clock());
        return grpc::Status::OK;
    });
}

grpc::Status entry_rpc_service::forward(grpc::ServerContext* context,
                                        const rpc::forward_request* request,
                                        rpc::forward_reply* reply)
{
    return run_limited(*context, forwards_, [&] {
        *reply = components_.submissions.submit_forwarded(*request, components_.clock());
        return grpc::Status::OK;
    });
}

grpc::Status entry_rpc_service::status(grpc::ServerContext* context,
                                       const rpc::status_request* request,
                                       rpc::submission_answer* reply)
{
    return run_limited(*context, forwards_, [&] {
        return to_reply(components_.submissions.status_forwarded(*request, components_.clock()),
                        reply);
    });
}

grpc::Status entry_rpc_service::cancel(grpc::ServerContext* context,
                                       const rpc::cancel_request* request,
                                       rpc::submission_answer* reply)
{
    return run_limited(*context, forwards_, [&] {
        return to_reply(components_.submissions.cancel_forwarded(*request, components_.clock()),
                        reply);
    });
}

grpc::Status entry_rpc_service::claim_submission(grpc::ServerContext* context,
                                                 const rpc::claim_request* request,
                                                 rpc::claim_reply* reply)
{
    return run_if_addressed(*context, [&] {
        *reply = accept_claim(*request, components_.members.state(), components_.claims);
        return grpc::Status::OK;
    });
}

grpc::Status entry_rpc_service::fetch_claims(grpc::ServerContext* context,
                                             const rpc::fetch_claims_request* request,
                                             rpc::fetch_claims_reply* reply)
{
    return run_limited(*context, transfers_, [&] {
        *reply = components_.transfer.serve(*request);
        return grpc::Status::OK;
    });
}

grpc::Status entry_rpc_service::prepare_view(grpc::ServerContext* context,
                                             const rpc::prepare_view_request* request,
                                             rpc::prepare_view_reply* reply)
{
    return run_if_addressed(*context, [&] {
        *reply = components_.members.prepare(*request);
        return grpc::Status::OK;
    });
}

grpc::Status entry_rpc_service::activate_view(grpc::ServerContext* context,
                                              const rpc::activate_view_request* request,
                                              rpc::activate_view_reply* reply)
{
    return run_if_addressed(*context, [&] {
        *reply = components_.members.activate(*request, components_.clock());
        return grpc::Status::OK;
    });
}

// Handled for any incarnation: the reply contains the current one, which proves to the caller that
// an earlier process at this address is gone.
grpc::Status entry_rpc_service::entry_beat(grpc::ServerContext* /*context*/,
                                           const rpc::entry_beat_request* request,
                                           rpc::entry_beat_reply* reply)
{
    *reply = components_.members.handle_heartbeat(*request);
    components_.agents.on_entry_beat(*request, components_.clock());
    return grpc::Status::OK;
}

grpc::Status entry_rpc_service::push_configuration(grpc::ServerContext* context,
                                                   const rpc::push_configuration_request* request,
                                                   rpc::push_configuration_reply* reply)
{
    return run_if_addressed(*context, [&] {
        *reply = components_.replica.receive(*request);
        return grpc::Status::OK;
    });
}

grpc::Status entry_rpc_service::retry_now(grpc::ServerContext* context,
                                          const rpc::retry_now_request* request,
                                          rpc::retry_now_reply* reply)
{
    return run_if_addressed(*context, [&] {
        reply->set_cleared(
            components_.submissions.retry_now(request->agent(), components_.clock()));
        return grpc::Status::OK;
    });
}

} // namespace carobfall
