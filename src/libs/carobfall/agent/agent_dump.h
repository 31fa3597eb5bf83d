#pragma once

#include "carobfall/agent/entry_session.h"
#include "carobfall/agent/start_lease.h"
#include "carobfall/agent/task_ledger.h"
#include "carobfall/rpc/carobfall.pb.h"

#include <absl/time/time.h>
#include <nlohmann/json_fwd.hpp>

#include <optional>
#include <vector>

namespace carobfall {

/// State of an agent as shown to operators.
struct agent_dump {
    rpc::agent_info agent;
    ledger_statistics statistics;
    std::vector<ledger_dump_entry> records;
    std::vector<session_state> sessions;
};

/// The state as JSON for GET /debug/state, without payloads and results.
[[nodiscard]] nlohmann::json to_json(const agent_dump& state, const start_lease& lease,
                                     absl::Time now);

} // namespace carobfall
