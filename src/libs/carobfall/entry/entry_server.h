#pragma once

#include "carobfall/entry/entry_rpc_service.h"

#include <grpcpp/server.h>

#include <memory>
#include <string>

namespace carobfall {

struct entry_server_settings {
    std::string address; ///< ip:port to listen on; port 0 chooses a free one
    entry_call_limits limits;
    int control_threads{64}; ///< for the calls without a limit, which return at once
};

/// The gRPC server of an entry. It has to be started before the entry joins a view, because a
/// member whose address refuses connections counts as dead.
class entry_server {
public:
    entry_server(entry_server_settings settings, entry_components components);
    ~entry_server();
    entry_server(const entry_server&) = delete;
    entry_server& operator=(const entry_server&) = delete;

    /// Starts listening. Errors: `unavailable` if the address can't be bound.
    result<void> start();
    /// Port in use, 0 before `start`.
    [[nodiscard]] int port() const { return port_; }
    /// Stops accepting calls and waits for those in progress, which are cancelled after `timeout`.
    void stop(absl::Duration timeout);

private:
    const entry_server_settings settings_;
    entry_rpc_service service_;
    std::unique_ptr<grpc::Server> server_;
    int port_{0};
};

} // namespace carobfall
