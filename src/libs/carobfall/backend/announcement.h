#pragma once

#include "carobfall/base/error.h"
#include "carobfall/rpc/carobfall.pb.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace carobfall {

/// Maximum number of slots of a backend server. Each slot costs the agent a thread and a
/// connection.
inline constexpr std::uint32_t max_backend_slots = 1024;

/// Properties that a backend server announces to its agent.
struct announcement {
    rpc::backend_server_info info;
    std::uint16_t port{0};
};

/// Parses the body of POST /v1/announce: {"name", "port", "slots"} and optionally "processors",
/// "memory_mib", "accelerators". Error: `invalid_request` for unknown members and values out of
/// bounds.
[[nodiscard]] result<announcement> parse_announcement(std::string_view body);

/// Parses the body of POST /v1/leave, {"name"}, and returns the name.
[[nodiscard]] result<std::string> parse_leave(std::string_view body);

} // namespace carobfall
