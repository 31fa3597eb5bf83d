#pragma once

#include "carobfall/agent/task_ledger.h"
#include "carobfall/base/clock.h"
#include "carobfall/base/error.h"
#include "carobfall/base/histogram.h"
#include "carobfall/rpc/carobfall.grpc.pb.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace grpc {
class Server;
} // namespace grpc

namespace carobfall {

/// Callbacks into the agent after a request has been handled. Called without a lock.
struct agent_server_events {
    std::function<void(std::size_t tasks)> tasks_queued;
    /// Tasks were refused because this agent has its data centre recorded as out of service. The
    /// entry has it recorded as in service, by the configuration of this version.
    std::function<void(std::uint64_t configuration_version)> refused_data_centre_out;
    std::function<void()> heartbeat_requested{[] {}};
};

/// gRPC server of `agent_service`; handles the requests of entries with the ledger.
class agent_server : public rpc::agent_service::Service {
public:
    /// `ledger` and `metrics` have to outlive the server.
    agent_server(task_ledger& ledger, agent_server_events events, metrics_registry& metrics,
                 clock_function clock);
    ~agent_server() override;
    agent_server(const agent_server&) = delete;
    agent_server& operator=(const agent_server&) = delete;

    /// Listens on ip:port; port 0 chooses a free one. Error: `unavailable` if the port is in use.
    result<void> listen(const std::string& address);
    /// Waits for the calls in progress and cancels those that take too long. Idempotent.
    void stop();
    [[nodiscard]] std::uint16_t port() const { return port_; }

    grpc::Status start(grpc::ServerContext* context, const rpc::start_request* request,
                       rpc::start_reply* reply) override;
    grpc::Status revoke(grpc::ServerContext* context, const rpc::revoke_request* request,
                        rpc::revoke_reply* reply) override;
    grpc::Status fence(grpc::ServerContext* context, const rpc::fence_request* request,
                       rpc::fence_reply* reply) override;

private:
    void count(const rpc::start_reply& reply);

    task_ledger& ledger_;
    const agent_server_events events_;
    metrics_registry& metrics_;
    const clock_function clock_;
    std::uint16_t port_{0};
    std::unique_ptr<grpc::Server> server_;
};

} // namespace carobfall
