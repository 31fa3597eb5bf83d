#pragma once

#include "carobfall/base/ids.h"
#include "carobfall/rpc/carobfall.pb.h"

#include <absl/time/time.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace carobfall {

/// One task as sent to the backend server.
struct run_request {
    task_key key;
    std::uint32_t attempt{0};
    std::int64_t deadline_unix_ms{0};
    /// Expiry of the agent's lease, from which on the task must not start. A time of the system
    /// clock, which the agent and its backend server share.
    absl::Time start_before{absl::InfiniteFuture()};
    std::string request_path;
    std::string parameters_json;
    std::string payload; ///< JSON text
};

/// Result of a run. A refused task has not run: it could not be sent to the backend server, or the
/// backend server refused it because it arrived too late.
struct run_outcome {
    rpc::refusal_reason refusal{rpc::refusal_none};
    rpc::task_result result;
};

/// Runs tasks on the backend server, one at a time. Used by one thread.
class task_runner {
public:
    virtual ~task_runner() = default;

    /// Blocks until the task has run, at most until its deadline. Sends the task at most once.
    virtual run_outcome run(const run_request& request, absl::Time now) = 0;
};

/// Creates the runner of one slot.
using task_runner_factory = std::function<std::unique_ptr<task_runner>()>;

} // namespace carobfall
