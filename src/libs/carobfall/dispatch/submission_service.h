#pragma once

#include "carobfall/base/error.h"
#include "carobfall/base/ids.h"
#include "carobfall/rpc/carobfall.pb.h"

#include <absl/time/time.h>

#include <cstdint>

namespace carobfall {

/// Accepts submissions at an entry from callers and from other entries. Thread-safe. Calls block
/// until they can be answered; a submission that is waited for, at most until its deadline.
class submission_service {
public:
    virtual ~submission_service() = default;

    /// Runs the submission here or at its coordinator. The request must be well-formed and
    /// authenticated. An answer in state failed has the outcome of every task. An error result
    /// implies nothing about the tasks beyond the meaning of its kind.
    virtual result<rpc::submission_answer> submit(const rpc::submission_request& request,
                                                  absl::Time now) = 0;
    virtual result<rpc::submission_answer> status(const submission_key& key, absl::Time now) = 0;
    virtual result<rpc::submission_answer> cancel(const submission_key& key, absl::Time now) = 0;

    /// The same for calls forwarded by another entry. Submissions are not forwarded again. Status
    /// and cancel requests are passed on once, to the coordinator that a claim held here names.
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
