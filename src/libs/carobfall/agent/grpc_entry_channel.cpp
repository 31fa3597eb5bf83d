#include "carobfall/agent/grpc_entry_channel.h"

#include <grpcpp/grpcpp.h>

#include <chrono>

namespace carobfall {
namespace {

/// Reconnects to a restarted entry within the validity of a lease. gRPC's default backoff grows to
/// two minutes.
constexpr int max_reconnect_backoff_ms = 1000;
constexpr int min_reconnect_backoff_ms = 100;

std::shared_ptr<grpc::Channel> channel_to(const std::string& address)
{
    grpc::ChannelArguments arguments;
    arguments.SetInt(GRPC_ARG_INITIAL_RECONNECT_BACKOFF_MS, min_reconnect_backoff_ms);
    arguments.SetInt(GRPC_ARG_MIN_RECONNECT_BACKOFF_MS, min_reconnect_backoff_ms);
    arguments.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS, max_reconnect_backoff_ms);
    // Bandwidth probing is off: heartbeats are far smaller than the fixed flow control window, and
    // each probe is an additional message.
    arguments.SetInt(GRPC_ARG_HTTP2_BDP_PROBE, 0);
    // Proxies set in the environment don't apply to connections between agents and entries.
    arguments.SetInt(GRPC_ARG_ENABLE_HTTP_PROXY, 0);
    return grpc::CreateCustomChannel(address, grpc::InsecureChannelCredentials(), arguments);
}

error error_of(const grpc::Status& status)
{
    return {error_kind::outcome_unknown, "the entry did not reply: " + status.error_message(),
            "check that the entry runs and can be reached; the agent tries again by itself"};
}

template <typename Reply, typename Call>
result<Reply> call(absl::Duration timeout, const Call& invoke)
{
    grpc::ClientContext context;
    context.set_deadline(std::chrono::system_clock::now() + absl::ToChronoMicroseconds(timeout));
    Reply reply;
    const grpc::Status status = invoke(&context, &reply);
    if (!status.ok()) {
        return boost::outcome_v2::failure(error_of(status));
    }
    return reply;
}

} // namespace

grpc_entry_channel::grpc_entry_channel(const std::string& address)
    : stub_(rpc::entry_service::NewStub(channel_to(address)))
{}

result<rpc::register_reply> grpc_entry_channel::register_agent(const rpc::register_request& request,
                                                               absl::Duration timeout)
{
    return call<rpc::register_reply>(timeout, [&](auto* context, auto* reply) {
        return stub_->register_agent(context, request, reply);
    });
}

result<rpc::beat_reply> grpc_entry_channel::beat(const rpc::beat_request& request,
                                                 absl::Duration timeout)
{
    return call<rpc::beat_reply>(
        timeout, [&](auto* context, auto* reply) { return stub_->beat(context, request, reply); });
}

result<rpc::report_reply> grpc_entry_channel::report(const rpc::report_request& request,
                                                     absl::Duration timeout)
{
    return call<rpc::report_reply>(timeout, [&](auto* context, auto* reply) {
        return stub_->report(context, request, reply);
    });
}

} // namespace carobfall
