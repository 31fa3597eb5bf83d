#pragma once

#include "carobfall/base/error.h"
#include "carobfall/rpc/carobfall.pb.h"

#include <absl/time/time.h>

namespace carobfall {

/// What agents, and other entries about agents, tell an entry. The gRPC service of the entry passes
/// the calls on to it.
class agent_events {
public:
    virtual ~agent_events() = default;

    virtual rpc::register_reply on_register(const rpc::register_request& request,
                                            absl::Time now) = 0;
    virtual rpc::beat_reply on_beat(const rpc::beat_request& request, absl::Time now) = 0;
    virtual void on_report(const rpc::report_request& request, absl::Time now) = 0;
    /// Another entry's word of the agents that it watches.
    virtual void on_entry_beat(const rpc::entry_beat_request& request, absl::Time now) = 0;
};

} // namespace carobfall
