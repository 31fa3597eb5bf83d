#pragma once

#include "carobfall/base/error.h"

#include <nlohmann/json.hpp>

namespace carobfall::tool {

/// Exit codes of the command line (docs/OPERATIONS.md).
enum class exit_code {
    ok = 0,
    failed_answer = 1,   ///< the submission has failed; some tasks ran or may have run
    invalid_input = 2,   ///< usage, file, or a request that the entry found malformed
    refused = 3,         ///< refused; nothing was run or changed
    outcome_unknown = 4, ///< the request may or may not have had an effect
    unreachable = 5,     ///< no entry could be reached
};

/// Exit code of an error for which there is no answer to a submission.
[[nodiscard]] exit_code exit_code_of(error_kind kind);

/// Exit code for an entry's JSON response (docs/api.md); `ok` if it has no `error`.
[[nodiscard]] exit_code exit_code_of(const nlohmann::json& document);

/// Error kind in an entry's JSON response; no value if it has no `error`.
[[nodiscard]] std::optional<error_kind> error_kind_of(const nlohmann::json& document);

} // namespace carobfall::tool
