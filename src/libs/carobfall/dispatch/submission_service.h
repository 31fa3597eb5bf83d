#pragma once

#include "carobfall/base/error.h"
#include "carobfall/base/ids.h"
#include "carobfall/rpc/carobfall.pb.h"

#include <absl/time/time.h>

#include <cstdint>

namespace carobfall {

/// Accepts submissions at an entry from callers and from other entries. Thread-safe. Calls block
/// until the answer is available; `submit` with `wait` set, at most until the deadline.
class submission_service {
public:
    virtual ~submission_service() = default;

    /// Runs the submission here or at its coordinator. The request must be well-formed and
    /// authenticated. An answer in state failed has the outcome of every task. If an error is
    /// returned, only its kind indicates whether tasks may have run.
    virtual result<rpc::submission_answer> submit(const rpc::submission_request& request,
                                                  absl::Time now) = 0;
    virtual result<rpc::submission_answer> status(const submission_key& key, absl::Time now) = 0;
    virtual result<rpc::submission_answer> cancel(const submission_key& key, absl::Time now) = 0;

    /// Handle requests forwarded by another entry. Submissions are not forwarded again. Status and
    /// cancel requests are forwarded once more, to the coordinator that a claim held here names.
    virtual rpc::forward_reply submit_forwarded(const rpc::forward_request& request,
                                                absl::Time now) = 0;
    virtual result<rpc::submission_answer> status_forwarded(const rpc::status_request& request,
                                                            absl::Time now) = 0;
    virtual result<rpc::submission_answer> cancel_forwarded(const rpc::cancel_request& request,
                                                            absl::Time now) = 0;

    /// Clears the backoff of one agent, or of all agents if the name is empty. Returns the number
    /// of agents that had one.
    virtual std::uint32_t retry_now(const std::string& agent, absl::Time now) = 0;
};

} // namespace carobfall
