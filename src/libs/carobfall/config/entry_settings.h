#pragma once

#include "carobfall/config/settings_sources.h"

#include <absl/time/time.h>

#include <cstddef>
#include <cstdint>

namespace carobfall {

/// Prefix of the environment variables that override settings of carobfall-entry.
inline constexpr std::string_view entry_variable_prefix = "CAROBFALL_ENTRY_";

/// Limits of the memory and threads of an entry.
struct entry_limit_settings {
    std::uint64_t max_body_bytes{8ULL << 20U};     ///< body of a caller's request
    std::uint64_t held_answer_bytes{32ULL << 20U}; ///< recorded answers of all submissions
    std::uint32_t caller_threads{256}; ///< concurrent requests; a waiting one occupies a thread
};

struct entry_interval_settings {
    absl::Duration heartbeat{absl::Milliseconds(500)}; ///< between heartbeats to other entries
    absl::Duration poll{absl::Seconds(1)};             ///< between reads of the configuration head
};

/// Settings of carobfall-entry. Addresses are "ip:port"; port 0 lets the kernel choose.
struct entry_settings {
    std::string name;
    std::string region;
    std::string data_centre;
    std::string caller_address;
    std::string operator_address;
    std::string rpc_address; ///< bound, and announced to other entries and agents
    std::string platform_address;
    std::vector<std::string> operator_tokens;
    entry_limit_settings limits;
    entry_interval_settings intervals;
    absl::Duration max_deadline{absl::Seconds(300)}; ///< must be equal at all entries of a region
};

/// Errors: `invalid_request` with line, variable or flag, key and remedy.
[[nodiscard]] result<entry_settings> load_entry_settings(const settings_sources& sources);

} // namespace carobfall
