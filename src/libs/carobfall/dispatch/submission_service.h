#pragma once

#include "carobfall/base/error.h"
#include "carobfall/base/ids.h"
#include "carobfall/rpc/carobfall.pb.h"

#include <absl/time/time.h>

#include <cstdint>

namespace carobfall {

/// Takes submissions at an entry, from callers and from other entries. Thread-safe; calls block
/// until they can be answered, a waiting submission at most until its deadline.
class submission_service {
public:
    virtual ~submission_service() = default;

    /// Runs the submission here or at its coordinator. The request has been validated for shape
    /// and authenticated. An answer in state failed carries the outcome of every task; an error
    /// result means that nothing was decided about the tasks except what its kind says.
    virtual result<rpc::submission_answer> submit(const rpc::submission_request& request,
                                                  absl::Time now) = 0;
    virtual result<rpc::submission_answer> status(const submission_key& key, absl::Time now) = 0;
    virtual result<rpc::submission_answer> cancel(const submission_key& key, absl::Time now) = 0;

    /// The same for calls that another entry has forwarded. Submissions are not forwarded again;
    /// status and cancel are passed on once, to the coordinator that a claim held here names.
    virtual rpc::forward_reply submit_forwarded(const rpc::forward_request& request,
                                                absl::Time now) = 0;
    virtual result<rpc::submission_answer> status_forwarded(const rpc::status_request& request,
                                                            absl::Time now) = 0;
    virtual result<rpc::submission_answer> cancel_forwarded(const rpc::cancel_request& request,
                                                            absl::Time now) = 0;

    /// Clears the backoff of one agent, or of all if the name is empty. Returns how many had one.
    virtual std::uint32_t retry_now(const std::string& agent, absl::Time now) = 0;
};

} // namespace carobfall
