#pragma once

#include "carobfall/agent/entry_channel.h"
#include "carobfall/rpc/carobfall.grpc.pb.h"

#include <memory>
#include <string>

namespace carobfall {

/// Calls to one entry by gRPC.
class grpc_entry_channel : public entry_channel {
public:
    explicit grpc_entry_channel(const std::string& address);

    result<rpc::register_reply> register_agent(const rpc::register_request& request,
                                               absl::Duration timeout) override;
    result<rpc::beat_reply> beat(const rpc::beat_request& request, absl::Duration timeout) override;
    result<rpc::report_reply> report(const rpc::report_request& request,
                                     absl::Duration timeout) override;

private:
    std::unique_ptr<rpc::entry_service::Stub> stub_;
};

} // namespace carobfall
