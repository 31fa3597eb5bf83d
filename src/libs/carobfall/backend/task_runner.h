#pragma once

#include "carobfall/base/ids.h"
#include "carobfall/rpc/carobfall.pb.h"

#include <absl/time/time.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace carobfall {

/// One task as the backend server gets it.
struct run_request {
    task_key key;
    std::uint32_t attempt{0};
    std::int64_t deadline_unix_ms{0};
    /// Time of the system clock, which the backend server beside the agent shares, after which the
    /// task must not start: the permission to start it has lapsed by then.
    absl::Time start_before{absl::InfiniteFuture()};
    std::string request_path;
    std::string parameters_json;
    std::string payload; ///< JSON text
};

/// Result of a run. With a refusal the task has not run: it was not sent to the backend server, or
/// arrived there too late and was refused.
struct run_outcome {
    rpc::refusal_reason refusal{rpc::refusal_none};
    rpc::task_result result;
};

/// Runs tasks on the backend server, one at a time. Used by one thread.
class task_runner {
public:
    virtual ~task_runner() = default;

    /// Blocks until the task has run, at most until its deadline. A task is never sent twice.
    virtual run_outcome run(const run_request& request, absl::Time now) = 0;
};

/// Makes the runner of one slot.
using task_runner_factory = std::function<std::unique_ptr<task_runner>()>;

} // namespace carobfall
