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

/// The parts of an agent's state, for operators.
struct agent_dump {
    rpc::agent_info agent;
    ledger_totals totals;
    std::vector<ledger_dump_entry> records;
    std::vector<session_state> sessions;
};

/// The state without payloads and results, in the JSON of GET /debug/state.
[[nodiscard]] nlohmann::json to_json(const agent_dump& state, const start_lease& lease,
                                     absl::Time now);

} // namespace carobfall
