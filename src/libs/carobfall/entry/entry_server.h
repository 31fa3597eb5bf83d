#pragma once

#include "carobfall/entry/entry_calls.h"

#include <grpcpp/server.h>

#include <memory>
#include <string>

namespace carobfall {

struct entry_server_settings {
    std::string address; ///< ip:port to listen on; port 0 chooses a free one
    entry_call_limits limits;
    int control_threads{64}; ///< for the calls that return at once, besides the limited ones
};

/// The gRPC server of an entry. It has to run before the entry joins a view: a member whose
/// address refuses connections counts as dead.
class entry_server {
public:
    entry_server(entry_server_settings settings, entry_parts parts);
    ~entry_server();
    entry_server(const entry_server&) = delete;
    entry_server& operator=(const entry_server&) = delete;

    /// Errors: `unavailable` if the address can't be listened on.
    result<void> start();
    /// Port in use, 0 before `start`.
    [[nodiscard]] int port() const { return port_; }
    /// Takes no more calls and waits for those in progress, which are cancelled after `limit`.
    void stop(absl::Duration limit);

private:
    const entry_server_settings settings_;
    entry_calls calls_;
    std::unique_ptr<grpc::Server> server_;
    int port_{0};
};

} // namespace carobfall
