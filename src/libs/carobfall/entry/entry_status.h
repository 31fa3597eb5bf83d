#pragma once

#include "carobfall/base/error.h"

#include <grpcpp/support/status.h>

#include <string>

namespace carobfall {

/// Metadata key with the incarnation that a call is meant for. A process that replaced it at the
/// same address refuses the call.
inline constexpr char incarnation_metadata_key[] = "carobfall-incarnation";

/// gRPC status that carries an error to the caller, with its kind and remedy in the details.
[[nodiscard]] grpc::Status to_status(const error& failure);

/// Error of a failed call: the one that the peer sent, or else `unavailable` only if the request
/// never left this process, `overloaded` if the peer had no thread for it, and `outcome_unknown`.
[[nodiscard]] error from_status(const grpc::Status& status, const std::string& peer);

} // namespace carobfall
