#pragma once

#include "carobfall/base/error.h"
#include "carobfall/rpc/carobfall.pb.h"

#include <absl/time/time.h>

#include <functional>
#include <memory>
#include <string>

namespace carobfall {

/// Calls from the agent to one entry. Used by one thread; a call blocks for at most `timeout`.
///
/// Errors: `outcome_unknown`, since gRPC reports a connection that broke during the call in the
/// same way as one that could not be made. Every call may be repeated.
class entry_channel {
public:
    virtual ~entry_channel() = default;

    virtual result<rpc::register_reply> register_agent(const rpc::register_request& request,
                                                       absl::Duration timeout) = 0;
    virtual result<rpc::beat_reply> beat(const rpc::beat_request& request,
                                         absl::Duration timeout) = 0;
    virtual result<rpc::report_reply> report(const rpc::report_request& request,
                                             absl::Duration timeout) = 0;
};

/// Creates the channel to the entry at an address (ip:port).
using entry_channel_factory =
    std::function<std::unique_ptr<entry_channel>(const std::string& address)>;

} // namespace carobfall
