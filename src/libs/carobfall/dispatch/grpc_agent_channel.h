#pragma once

#include "carobfall/dispatch/agent_channel.h"
#include "carobfall/rpc/carobfall.grpc.pb.h"

#include <grpcpp/channel.h>

#include <memory>
#include <string>

namespace carobfall {

/// Calls one agent by gRPC over a persistent connection.
class grpc_agent_channel final : public agent_channel {
public:
    /// `address`: "ip:port" of the agent's gRPC server.
    explicit grpc_agent_channel(const std::string& address);

    result<rpc::start_reply> start(const rpc::start_request& request,
                                   absl::Duration timeout) override;
    result<rpc::revoke_reply> revoke(const rpc::revoke_request& request,
                                     absl::Duration timeout) override;
    result<rpc::fence_reply> fence(const rpc::fence_request& request,
                                   absl::Duration timeout) override;

private:
    template <typename Reply, typename Request, typename Method>
    result<Reply> call(const Request& request, absl::Duration timeout, Method method);

    const std::string address_;
    std::shared_ptr<grpc::Channel> channel_;
    std::unique_ptr<rpc::agent_service::Stub> stub_;
};

/// The factory caches one channel per address, shared by all threads. Once it holds many channels,
/// it drops those that were not requested for a few minutes.
[[nodiscard]] agent_channel_factory make_grpc_agent_channel_factory();

} // namespace carobfall
