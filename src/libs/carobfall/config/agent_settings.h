#pragma once

#include "carobfall/config/settings_sources.h"

#include <absl/time/time.h>

#include <cstdint>

namespace carobfall {

/// Prefix of the environment variables that override settings of carobfall-agent.
inline constexpr std::string_view agent_variable_prefix = "CAROBFALL_AGENT_";

/// Limits of the task records of an agent. A full ledger refuses new tasks.
struct ledger_settings {
    std::uint64_t max_records{65'536};
    std::uint64_t max_result_bytes{8ULL << 20U};
};

/// Settings of carobfall-agent. Addresses are "ip:port"; port 0 lets the kernel choose.
struct agent_settings {
    std::string name;
    std::string region;
    std::string data_centre;
    std::string rack;
    std::string rpc_address;      ///< bound, and announced to the entries
    std::string announce_address; ///< for the backend server beside the agent; loopback
    std::string operator_address;
    std::vector<std::string> entry_addresses; ///< gRPC addresses; the view adds other entries
    std::uint32_t queue_per_slot{2};          ///< queued tasks per slot of the backend server
    /// Interval of heartbeats to the lease entry, which renews the lease of 2 s. Other entries
    /// receive heartbeats at twice this interval.
    absl::Duration heartbeat{absl::Seconds(1)};
    ledger_settings ledger;
};

/// Errors: `invalid_request` with line, variable or flag, key and remedy.
[[nodiscard]] result<agent_settings> load_agent_settings(const settings_sources& sources);

} // namespace carobfall
