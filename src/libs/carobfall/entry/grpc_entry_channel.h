#pragma once

#include "carobfall/entry/entry_channel.h"
#include "carobfall/rpc/carobfall.grpc.pb.h"

#include <absl/base/thread_annotations.h>
#include <absl/container/flat_hash_map.h>
#include <absl/synchronization/mutex.h>
#include <grpcpp/channel.h>

#include <memory>
#include <string>

namespace carobfall {

/// gRPC channel to one incarnation of an entry.
class grpc_entry_channel : public entry_channel {
public:
    grpc_entry_channel(rpc::entry_member member, std::shared_ptr<grpc::Channel> channel);

    result<rpc::forward_reply> forward(const rpc::forward_request& request,
                                       absl::Duration timeout) override;
    result<rpc::submission_answer> status(const rpc::status_request& request,
                                          absl::Duration timeout) override;
    result<rpc::submission_answer> cancel(const rpc::cancel_request& request,
                                          absl::Duration timeout) override;
    result<rpc::claim_reply> claim_submission(const rpc::claim_request& request,
                                              absl::Duration timeout) override;
    result<rpc::fetch_claims_reply> fetch_claims(const rpc::fetch_claims_request& request,
                                                 absl::Duration timeout) override;
    result<rpc::prepare_view_reply> prepare_view(const rpc::prepare_view_request& request,
                                                 absl::Duration timeout) override;
    result<rpc::activate_view_reply> activate_view(const rpc::activate_view_request& request,
                                                   absl::Duration timeout) override;
    result<rpc::entry_beat_reply> entry_beat(const rpc::entry_beat_request& request,
                                             absl::Duration timeout) override;
    result<rpc::push_configuration_reply>
    push_configuration(const rpc::push_configuration_request& request,
                       absl::Duration timeout) override;
    result<rpc::retry_now_reply> retry_now(const rpc::retry_now_request& request,
                                           absl::Duration timeout) override;

private:
    template <typename Request, typename Reply>
    using stub_method = grpc::Status (rpc::entry_service::Stub::*)(grpc::ClientContext*,
                                                                   const Request&, Reply*);
    template <typename Request, typename Reply>
    result<Reply> call(stub_method<Request, Reply> method, const Request& request,
                       absl::Duration timeout);

    const rpc::entry_member member_;
    const std::unique_ptr<rpc::entry_service::Stub> stub_;
};

/// Caches one connection per address and one channel per incarnation. Thread-safe.
class grpc_entry_channel_factory {
public:
    [[nodiscard]] std::shared_ptr<entry_channel> operator()(const rpc::entry_member& member);

private:
    struct cached_channel {
        std::string incarnation;
        std::shared_ptr<grpc::Channel> connection;
        std::shared_ptr<entry_channel> channel;
    };

    absl::Mutex mutex_;
    absl::flat_hash_map<std::string, cached_channel> by_address_ ABSL_GUARDED_BY(mutex_);
};

/// Wraps a `grpc_entry_channel_factory` in a function object.
[[nodiscard]] entry_channel_factory make_grpc_entry_channels();

} // namespace carobfall
