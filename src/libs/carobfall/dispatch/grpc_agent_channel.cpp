#include "carobfall/dispatch/grpc_agent_channel.h"

#include "carobfall/base/clock.h"

#include <absl/container/flat_hash_map.h>
#include <absl/strings/str_cat.h>
#include <grpcpp/client_context.h>
#include <grpcpp/create_channel.h>
#include <grpcpp/security/credentials.h>
#include <grpcpp/support/channel_arguments.h>

#include <algorithm>
#include <chrono>
#include <mutex>

namespace carobfall {
namespace {

// A start batch has up to 670 payloads of 64 KiB, a revoke reply as many results.
constexpr int max_message_bytes = 96 * 1024 * 1024;

// Longest pause between attempts to reconnect to an agent.
constexpr int max_reconnect_backoff_ms = 500;

constexpr std::size_t channels_before_cleanup = 256;
constexpr absl::Duration unused_channel_lifetime = absl::Minutes(5);

std::shared_ptr<grpc::Channel> open_channel(const std::string& address)
{
    grpc::ChannelArguments arguments;
    arguments.SetMaxReceiveMessageSize(max_message_bytes);
    arguments.SetMaxSendMessageSize(max_message_bytes);
    arguments.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS, max_reconnect_backoff_ms);
    arguments.SetInt(GRPC_ARG_INITIAL_RECONNECT_BACKOFF_MS, max_reconnect_backoff_ms);
    // With retries, gRPC may send a message twice. The agent would refuse the second message, and
    // that refusal would replace the reply to the first one.
    arguments.SetInt(GRPC_ARG_ENABLE_RETRIES, 0);
    arguments.SetInt(GRPC_ARG_ENABLE_HTTP_PROXY, 0);
    return grpc::CreateCustomChannel(address, grpc::InsecureChannelCredentials(), arguments);
}

std::chrono::system_clock::time_point deadline_after(absl::Duration timeout)
{
    return std::chrono::system_clock::now() + absl::ToChronoMicroseconds(timeout);
}

// Returns false as soon as an attempt to connect has failed.
bool wait_until_connected(grpc::Channel& channel, std::chrono::system_clock::time_point deadline)
{
    for (;;) {
        const grpc_connectivity_state state = channel.GetState(true);
        if (state == GRPC_CHANNEL_READY) {
            return true;
        }
        if (state == GRPC_CHANNEL_TRANSIENT_FAILURE || state == GRPC_CHANNEL_SHUTDOWN ||
            !channel.WaitForStateChange(state, deadline)) {
            return false;
        }
    }
}

/// Channels by address.
class channel_cache {
public:
    std::shared_ptr<agent_channel> get(const std::string& address, absl::Time now)
    {
        const std::lock_guard lock(mutex_);
        if (channels_.size() >= channels_before_cleanup && !channels_.contains(address)) {
            absl::erase_if(channels_, [&](const auto& item) {
                return item.second.used_at + unused_channel_lifetime < now;
            });
        }
        cached_channel& cached = channels_[address];
        if (cached.channel == nullptr) {
            cached.channel = std::make_shared<grpc_agent_channel>(address);
        }
        cached.used_at = now;
        return cached.channel;
    }

private:
    struct cached_channel {
        std::shared_ptr<agent_channel> channel;
        absl::Time used_at;
    };

    std::mutex mutex_;
    absl::flat_hash_map<std::string, cached_channel> channels_;
};

} // namespace

grpc_agent_channel::grpc_agent_channel(const std::string& address)
    : address_(address),
      channel_(open_channel(address)),
      stub_(rpc::agent_service::NewStub(channel_))
{}

result<rpc::start_reply> grpc_agent_channel::start(const rpc::start_request& request,
                                                   absl::Duration timeout)
{
    return call<rpc::start_reply>(request, timeout, &rpc::agent_service::Stub::start);
}

result<rpc::revoke_reply> grpc_agent_channel::revoke(const rpc::revoke_request& request,
                                                     absl::Duration timeout)
{
    return call<rpc::revoke_reply>(request, timeout, &rpc::agent_service::Stub::revoke);
}

result<rpc::fence_reply> grpc_agent_channel::fence(const rpc::fence_request& request,
                                                   absl::Duration timeout)
{
    return call<rpc::fence_reply>(request, timeout, &rpc::agent_service::Stub::fence);
}

template <typename Reply, typename Request, typename Method>
result<Reply> grpc_agent_channel::call(const Request& request, absl::Duration timeout,
                                       Method method)
{
    const auto deadline = deadline_after(timeout);
    // gRPC reports UNAVAILABLE both for a call that was never sent and for one whose connection
    // broke afterwards. Only without a connection is it certain that nothing was sent.
    if (!wait_until_connected(*channel_, deadline)) {
        return failure(error_kind::unavailable, absl::StrCat("no connection to agent ", address_),
                       "check that the agent runs and can be reached");
    }
    grpc::ClientContext context;
    context.set_deadline(deadline);
    Reply reply;
    const grpc::Status status = ((*stub_).*method)(&context, request, &reply);
    if (status.ok()) {
        return reply;
    }
    return failure(
        error_kind::outcome_unknown,
        absl::StrCat("the answer of agent ", address_, " was lost: ", status.error_message()),
        "query the agent for the state of the tasks");
}

agent_channel_factory make_grpc_agent_channel_factory()
{
    return [cache = std::make_shared<channel_cache>()](const rpc::agent_info& agent) {
        return cache->get(agent.address(), monotonic_now());
    };
}

} // namespace carobfall
