#pragma once

#include "carobfall/base/error.h"
#include "carobfall/rpc/carobfall.pb.h"

#include <absl/time/time.h>

namespace carobfall {

/// Handler of the messages that an entry receives from agents, and from other entries about agents.
/// The gRPC service of the entry delegates these calls to it.
class agent_events {
public:
    virtual ~agent_events() = default;

    virtual rpc::register_reply on_register(const rpc::register_request& request,
                                            absl::Time now) = 0;
    virtual rpc::beat_reply on_beat(const rpc::beat_request& request, absl::Time now) = 0;
    virtual void on_report(const rpc::report_request& request, absl::Time now) = 0;
    /// Handles the heartbeat of another entry, including its list of silent agents.
    virtual void on_entry_beat(const rpc::entry_beat_request& request, absl::Time now) = 0;
};

} // namespace carobfall
