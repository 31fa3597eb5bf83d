#pragma once

#include "carobfall/base/error.h"
#include "carobfall/base/ids.h"
#include "carobfall/rpc/carobfall.pb.h"

#include <nlohmann/json.hpp>

#include <string_view>

namespace carobfall {

/// A decoded submission that has not yet been checked against its template.
struct decoded_submission {
    rpc::submission_request request; ///< all fields but `request_id` are set
    nlohmann::json parameters;       ///< the object in `request.parameters_json`
};

/// Decodes the body of a submission. Required: `template`, `tasks`, `deadline_unix_ms`. Optional:
/// `parameters` (default {}) and `wait` (default true). Other keys are refused. Parameters and
/// tasks are stored as canonical JSON; `body_hash` is the SHA-256 of the canonical body without
/// `wait`. Errors: `invalid_request`.
[[nodiscard]] result<decoded_submission> decode_submission(const submission_key& key,
                                                           std::string_view body);

/// Encodes an answer as JSON (docs/api.md). Only a complete answer has results, in task order. A
/// result that is JSON is embedded as JSON, any other result as base64.
[[nodiscard]] nlohmann::json encode_answer(const rpc::submission_answer& answer);

/// HTTP status: 200 complete, 202 running, 404 unknown; failed: the status of the error kind.
[[nodiscard]] int http_status_of(const rpc::submission_answer& answer);

/// Checks that the answer belongs to the submission and that a complete one has one result for
/// each task. Errors: `internal`.
[[nodiscard]] result<void> check_answer(const submission_key& key,
                                        const rpc::submission_answer& answer);

} // namespace carobfall
