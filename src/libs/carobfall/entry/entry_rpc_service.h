#pragma once

#include "carobfall/base/clock.h"
#include "carobfall/dispatch/agent_events.h"
#include "carobfall/dispatch/submission_service.h"
#include "carobfall/entry/call_limiter.h"
#include "carobfall/entry/claim_store.h"
#include "carobfall/entry/claim_transfer.h"
#include "carobfall/entry/configuration_replica.h"
#include "carobfall/entry/membership.h"
#include "carobfall/rpc/carobfall.grpc.pb.h"

namespace carobfall {

/// The components of an entry that handle gRPC calls.
struct entry_components {
    membership& members;
    claim_store& claims;
    claim_transfer& transfer;
    configuration_replica& replica;
    agent_events& agents;
    submission_service& submissions;
    clock_function clock;
};

/// Limits of concurrent calls, by kind, for calls that block or have large replies.
struct entry_call_limits {
    int forwards{1024};     ///< block until the submission is answered
    int registrations{32};  ///< block until the join is recorded in the table service
    int claim_transfers{8}; ///< have large replies
};

/// gRPC service of an entry. Calls addressed to another incarnation fail with `unavailable`, except
/// heartbeats: the reply to a heartbeat contains the current incarnation.
class entry_rpc_service final : public rpc::entry_service::Service {
public:
    entry_rpc_service(entry_components components, entry_call_limits limits);

    grpc::Status register_agent(grpc::ServerContext* context, const rpc::register_request* request,
                                rpc::register_reply* reply) override;
    grpc::Status beat(grpc::ServerContext* context, const rpc::beat_request* request,
                      rpc::beat_reply* reply) override;
    grpc::Status report(grpc::ServerContext* context, const rpc::report_request* request,
                        rpc::report_reply* reply) override;
    grpc::Status forward(grpc::ServerContext* context, const rpc::forward_request* request,
                         rpc::forward_reply* reply) override;
    grpc::Status status(grpc::ServerContext* context, const rpc::status_request* request,
                        rpc::submission_answer* reply) override;
    grpc::Status cancel(grpc::ServerContext* context, const rpc::cancel_request* request,
                        rpc::submission_answer* reply) override;
    grpc::Status claim_submission(grpc::ServerContext* context, const rpc::claim_request* request,
                                  rpc::claim_reply* reply) override;
    grpc::Status fetch_claims(grpc::ServerContext* context,
                              const rpc::fetch_claims_request* request,
                              rpc::fetch_claims_reply* reply) override;
    grpc::Status prepare_view(grpc::ServerContext* context,
                              const rpc::prepare_view_request* request,
                              rpc::prepare_view_reply* reply) override;
    grpc::Status activate_view(grpc::ServerContext* context,
                               const rpc::activate_view_request* request,
                               rpc::activate_view_reply* reply) override;
    grpc::Status entry_beat(grpc::ServerContext* context, const rpc::entry_beat_request* request,
                            rpc::entry_beat_reply* reply) override;
    grpc::Status push_configuration(grpc::ServerContext* context,
                                    const rpc::push_configuration_request* request,
                                    rpc::push_configuration_reply* reply) override;
    grpc::Status retry_now(grpc::ServerContext* context, const rpc::retry_now_request* request,
                           rpc::retry_now_reply* reply) override;

private:
    /// Runs `action` if the call is addressed to this incarnation.
    template <typename Action>
    grpc::Status run_if_addressed(const grpc::ServerContext& context, const Action& action);
    template <typename Action>
    grpc::Status run_limited(const grpc::ServerContext& context, call_limiter& limiter,
                             const Action& action);

    const entry_components components_;
    call_limiter forwards_;
    call_limiter registrations_;
    call_limiter transfers_;
};

} // namespace carobfall
