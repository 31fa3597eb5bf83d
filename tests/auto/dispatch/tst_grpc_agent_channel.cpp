#include "carobfall/dispatch/grpc_agent_channel.h"

#include <doctest/doctest.h>

#include <absl/strings/str_cat.h>
#include <absl/time/clock.h>
#include <grpcpp/security/server_credentials.h>
#include <grpcpp/server.h>
#include <grpcpp/server_builder.h>

using namespace carobfall;

namespace {

class slow_agent final : public rpc::agent_service::Service {
public:
    grpc::Status start(grpc::ServerContext* /*context*/, const rpc::start_request* request,
                       rpc::start_reply* reply) override
    {
        reply->set_view_number(request->view_number());
        return grpc::Status::OK;
    }
    grpc::Status revoke(grpc::ServerContext* /*context*/, const rpc::revoke_request* /*request*/,
                        rpc::revoke_reply* /*reply*/) override
    {
        absl::SleepFor(absl::Milliseconds(300));
        return grpc::Status::OK;
    }
};

} // namespace

// Guards against treating a call whose reply was lost as one that was not sent.
TEST_CASE("an unsent call fails as unavailable, a call with a lost reply as outcome_unknown")
{
    slow_agent service;
    int port = 0;
    grpc::ServerBuilder builder;
    builder.AddListeningPort("127.0.0.1:0", grpc::InsecureServerCredentials(), &port);
    builder.RegisterService(&service);
    std::unique_ptr<grpc::Server> server = builder.BuildAndStart();
    REQUIRE(server != nullptr);
    const agent_channel_factory factory = make_grpc_agent_channel_factory();
    rpc::agent_info agent;
    agent.set_address(absl::StrCat("127.0.0.1:", port));
    const auto channel = factory(agent);
    CHECK(channel == factory(agent));
    rpc::start_request request;
    request.set_view_number(9);
    CHECK(channel->start(request, absl::Seconds(5)).value().view_number() == 9);
    CHECK(channel->revoke({}, absl::Milliseconds(50)).error().kind == error_kind::outcome_unknown);
    CHECK(channel->fence({}, absl::Seconds(5)).error().kind == error_kind::outcome_unknown);
    server->Shutdown();
    server.reset();
    result<rpc::start_reply> after = channel->start(request, absl::Seconds(1));
    for (int i = 0; i < 50 && after.error().kind != error_kind::unavailable; ++i) {
        absl::SleepFor(absl::Milliseconds(20));
        after = channel->start(request, absl::Seconds(1));
    }
    CHECK(after.error().kind == error_kind::unavailable);
}
