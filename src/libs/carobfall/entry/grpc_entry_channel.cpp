#include "carobfall/entry/grpc_entry_channel.h"

#include "carobfall/entry/entry_status.h"
#include "carobfall/entry/grpc_limits.h"

#include <absl/time/clock.h>
#include <grpcpp/client_context.h>
#include <grpcpp/create_channel.h>
#include <grpcpp/security/credentials.h>

namespace carobfall {
namespace {

// The default reconnect backoff of gRPC grows to two minutes, far longer than the failure timeout
// of an entry.
constexpr int initial_reconnect_ms = 100;
constexpr int max_reconnect_ms = 500;

std::shared_ptr<grpc::Channel> connect(const std::string& address)
{
    grpc::ChannelArguments arguments;
    arguments.SetInt(GRPC_ARG_INITIAL_RECONNECT_BACKOFF_MS, initial_reconnect_ms);
    arguments.SetInt(GRPC_ARG_MIN_RECONNECT_BACKOFF_MS, initial_reconnect_ms);
    arguments.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS, max_reconnect_ms);
    arguments.SetInt(GRPC_ARG_KEEPALIVE_TIME_MS, keepalive_interval_ms);
    arguments.SetInt(GRPC_ARG_KEEPALIVE_TIMEOUT_MS, keepalive_timeout_ms);
    arguments.SetInt(GRPC_ARG_KEEPALIVE_PERMIT_WITHOUT_CALLS, 1);
    arguments.SetInt(GRPC_ARG_HTTP2_MAX_PINGS_WITHOUT_DATA, 0);
    // Only the caller may decide to repeat a request.
    arguments.SetInt(GRPC_ARG_ENABLE_RETRIES, 0);
    // Proxy settings in the environment must not apply to calls between the processes.
    arguments.SetInt(GRPC_ARG_ENABLE_HTTP_PROXY, 0);
    arguments.SetMaxReceiveMessageSize(max_message_bytes);
    return grpc::CreateCustomChannel(address, grpc::InsecureChannelCredentials(), arguments);
}

} // namespace

grpc_entry_channel::grpc_entry_channel(rpc::entry_member member,
                                       std::shared_ptr<grpc::Channel> channel)
    : member_(std::move(member)), stub_(rpc::entry_service::NewStub(std::move(channel)))
{}

template <typename Request, typename Reply>
result<Reply> grpc_entry_channel::call(stub_method<Request, Reply> method, const Request& request,
                                       absl::Duration timeout)
{
    grpc::ClientContext context;
    context.set_deadline(absl::ToChronoTime(absl::Now() + timeout));
    context.set_wait_for_ready(false);
    context.AddMetadata(incarnation_metadata_key, member_.incarnation());
    Reply reply;
    const grpc::Status status = ((*stub_).*method)(&context, request, &reply);
    if (!status.ok()) {
        return boost::outcome_v2::failure(from_status(status, member_.name()));
    }
    return reply;
}

result<rpc::forward_reply> grpc_entry_channel::forward(const rpc::forward_request& request,
                                                       absl::Duration timeout)
{
    return call<rpc::forward_request, rpc::forward_reply>(&rpc::entry_service::Stub::forward,
                                                          request, timeout);
}

result<rpc::submission_answer> grpc_entry_channel::status(const rpc::status_request& request,
                                                          absl::Duration timeout)
{
    return call<rpc::status_request, rpc::submission_answer>(&rpc::entry_service::Stub::status,
                                                             request, timeout);
}

result<rpc::submission_answer> grpc_entry_channel::cancel(const rpc::cancel_request& request,
                                                          absl::Duration timeout)
{
    return call<rpc::cancel_request, rpc::submission_answer>(&rpc::entry_service::Stub::cancel,
                                                             request, timeout);
}

result<rpc::claim_reply> grpc_entry_channel::claim_submission(const rpc::claim_request& request,
                                                              absl::Duration timeout)
{
    return call<rpc::claim_request, rpc::claim_reply>(&rpc::entry_service::Stub::claim_submission,
                                                      request, timeout);
}

result<rpc::fetch_claims_reply>
grpc_entry_channel::fetch_claims(const rpc::fetch_claims_request& request, absl::Duration timeout)
{
    return call<rpc::fetch_claims_request, rpc::fetch_claims_reply>(
        &rpc::entry_service::Stub::fetch_claims, request, timeout);
}

result<rpc::prepare_view_reply>
grpc_entry_channel::prepare_view(const rpc::prepare_view_request& request, absl::Duration timeout)
{
    return call<rpc::prepare_view_request, rpc::prepare_view_reply>(
        &rpc::entry_service::Stub::prepare_view, request, timeout);
}

result<rpc::activate_view_reply>
grpc_entry_channel::activate_view(const rpc::activate_view_request& request, absl::Duration timeout)
{
    return call<rpc::activate_view_request, rpc::activate_view_reply>(
        &rpc::entry_service::Stub::activate_view, request, timeout);
}

result<rpc::entry_beat_reply> grpc_entry_channel::entry_beat(const rpc::entry_beat_request& request,
                                                             absl::Duration timeout)
{
    return call<rpc::entry_beat_request, rpc::entry_beat_reply>(
        &rpc::entry_service::Stub::entry_beat, request, timeout);
}

result<rpc::push_configuration_reply>
grpc_entry_channel::push_configuration(const rpc::push_configuration_request& request,
                                       absl::Duration timeout)
{
    return call<rpc::push_configuration_request, rpc::push_configuration_reply>(
        &rpc::entry_service::Stub::push_configuration, request, timeout);
}

result<rpc::retry_now_reply> grpc_entry_channel::retry_now(const rpc::retry_now_request& request,
                                                           absl::Duration timeout)
{
    return call<rpc::retry_now_request, rpc::retry_now_reply>(&rpc::entry_service::Stub::retry_now,
                                                              request, timeout);
}

std::shared_ptr<entry_channel>
grpc_entry_channel_factory::operator()(const rpc::entry_member& member)
{
    const absl::MutexLock lock(&mutex_);
    cached_channel& cached = by_address_[member.address()];
    if (cached.connection == nullptr) {
        cached.connection = connect(member.address());
    }
    if (cached.channel == nullptr || cached.incarnation != member.incarnation()) {
        cached.incarnation = member.incarnation();
        cached.channel = std::make_shared<grpc_entry_channel>(member, cached.connection);
    }
    return cached.channel;
}

entry_channel_factory make_grpc_entry_channels()
{
    return [factory = std::make_shared<grpc_entry_channel_factory>()](
               const rpc::entry_member& member) { return (*factory)(member); };
}

} // namespace carobfall
