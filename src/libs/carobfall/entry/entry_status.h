#pragma once

#include "carobfall/base/error.h"

#include <grpcpp/support/status.h>

#include <string>

namespace carobfall {

/// Metadata key of the incarnation that a call is addressed to. Another process at the same address
/// refuses the call.
inline constexpr char incarnation_metadata_key[] = "carobfall-incarnation";

/// Converts an error to a gRPC status that carries its kind, message and remedy in the details.
[[nodiscard]] grpc::Status to_status(const error& failure);

/// Converts the status of a failed call to the error that the peer sent. If the peer sent none, the
/// error is `unavailable` if the request was never sent, `overloaded` if the peer had no thread for
/// the request, and `outcome_unknown` in all other cases.
[[nodiscard]] error from_status(const grpc::Status& status, const std::string& peer);

} // namespace carobfall
