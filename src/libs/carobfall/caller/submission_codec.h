#pragma once

#include "carobfall/base/error.h"
#include "carobfall/base/ids.h"
#include "carobfall/rpc/carobfall.pb.h"

#include <nlohmann/json.hpp>

#include <string_view>

namespace carobfall {

/// A submission as received: its structure is checked, its template not yet.
struct decoded_submission {
    rpc::submission_request request; ///< everything but `request_id`
    nlohmann::json parameters;       ///< the object in `request.parameters_json`
};

/// Decodes the body of a submission: `template`, `tasks` and `deadline_unix_ms` are required,
/// `parameters` ({}) and `wait` (true) are not, other keys are refused. Parameters and tasks are
/// stored as canonical JSON; `body_hash` is the SHA-256 of the canonical body without `wait`.
/// Errors: `invalid_request`.
[[nodiscard]] result<decoded_submission> decode_submission(const submission_key& key,
                                                           std::string_view body);

/// JSON of an answer, as in docs/api.md. Results appear only in a complete answer, in
/// task order; a result body that is JSON appears as such, any other as base64.
[[nodiscard]] nlohmann::json encode_answer(const rpc::submission_answer& answer);

/// HTTP status of an answer: 200 complete, 202 running, 404 unknown, the error's if failed.
[[nodiscard]] int http_status_of(const rpc::submission_answer& answer);

/// Checks that the answer belongs to the submission and that a complete one has one result for
/// each task. Errors: `internal`.
[[nodiscard]] result<void> check_answer(const submission_key& key,
                                        const rpc::submission_answer& answer);

} // namespace carobfall
