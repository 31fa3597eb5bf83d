#pragma once

#include "carobfall/base/error.h"
#include "carobfall/rpc/carobfall.pb.h"

#include <absl/time/time.h>

#include <functional>
#include <memory>

namespace carobfall {

/// Calls to one agent. Implementations are thread-safe and block for at most `timeout`.
///
/// Errors: `unavailable` if the call had no effect, `outcome_unknown` if the reply was lost.
class agent_channel {
public:
    virtual ~agent_channel() = default;

    virtual result<rpc::start_reply> start(const rpc::start_request& request,
                                           absl::Duration timeout) = 0;
    virtual result<rpc::revoke_reply> revoke(const rpc::revoke_request& request,
                                             absl::Duration timeout) = 0;
    virtual result<rpc::fence_reply> fence(const rpc::fence_request& request,
                                           absl::Duration timeout) = 0;
};

/// Returns the channel to an agent. Agents with the same address share one channel.
using agent_channel_factory =
    std::function<std::shared_ptr<agent_channel>(const rpc::agent_info& agent)>;

} // namespace carobfall
