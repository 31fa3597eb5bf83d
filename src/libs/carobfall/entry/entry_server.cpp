#include "carobfall/entry/entry_server.h"

#include "carobfall/entry/grpc_limits.h"

#include <absl/strings/str_cat.h>
#include <absl/time/clock.h>
#include <grpcpp/resource_quota.h>
#include <grpcpp/security/server_credentials.h>
#include <grpcpp/server_builder.h>

namespace carobfall {
namespace {

constexpr absl::Duration stop_timeout_on_destruction = absl::Seconds(1);

} // namespace

entry_server::entry_server(entry_server_settings settings, entry_components components)
    : settings_(std::move(settings)), service_(std::move(components), settings_.limits)
{}

entry_server::~entry_server()
{
    stop(stop_timeout_on_destruction);
}

result<void> entry_server::start()
{
    const entry_call_limits& limits = settings_.limits;
    grpc::ResourceQuota quota("entry_server");
    quota.SetMaxThreads(limits.forwards + limits.registrations + limits.claim_transfers +
                        settings_.control_threads);
    grpc::ServerBuilder builder;
    builder.SetResourceQuota(quota);
    builder.AddListeningPort(settings_.address, grpc::InsecureServerCredentials(), &port_);
    builder.SetMaxReceiveMessageSize(max_message_bytes);
    // With port reuse, two processes on one port would each receive some of the calls.
    builder.AddChannelArgument(GRPC_ARG_ALLOW_REUSEPORT, 0);
    builder.AddChannelArgument(GRPC_ARG_HTTP2_MIN_RECV_PING_INTERVAL_WITHOUT_DATA_MS,
                               min_keepalive_interval_ms);
    builder.AddChannelArgument(GRPC_ARG_KEEPALIVE_TIME_MS, keepalive_interval_ms);
    builder.AddChannelArgument(GRPC_ARG_KEEPALIVE_TIMEOUT_MS, keepalive_timeout_ms);
    builder.AddChannelArgument(GRPC_ARG_HTTP2_BDP_PROBE, 0);
    builder.RegisterService(&service_);
    server_ = builder.BuildAndStart();
    if (server_ == nullptr || port_ == 0) {
        return failure(error_kind::unavailable, absl::StrCat("can't listen on ", settings_.address),
                       "choose a free address in the settings");
    }
    return success();
}

void entry_server::stop(absl::Duration timeout)
{
    if (server_ == nullptr) {
        return;
    }
    server_->Shutdown(absl::ToChronoTime(absl::Now() + timeout));
    server_->Wait();
    server_.reset();
}

} // namespace carobfall
