#pragma once

#include <boost/outcome/basic_result.hpp>
#include <boost/outcome/policy/terminate.hpp>
#include <boost/outcome/success_failure.hpp>
#include <boost/outcome/try.hpp>

#include <optional>
#include <string>
#include <string_view>

namespace carobfall {

/// Kinds of failure. The names (see `name_of`) are part of the callers' and operators' interface.
enum class error_kind {
    invalid_request,     ///< malformed or out of bounds; nothing was changed
    unauthenticated,     ///< missing or wrong token
    not_found,           ///< unknown client account, template, submission, data centre
    conflict,            ///< submission id reused with another body, or a concurrent change
    payload_too_large,   ///< body or result over its limit
    limit_exceeded,      ///< limit of the client account
    infeasible,          ///< no backend server can ever run it
    overloaded,          ///< the deadline can't be met with the current load
    deadline_exceeded,   ///< the deadline has passed
    recovering,          ///< a takeover is in progress; the state is not known yet
    stale_configuration, ///< the configuration can't be confirmed as current
    stale_view,          ///< the view of entries is older than the receiver's
    unavailable,         ///< the peer could not be reached; the call had no effect
    outcome_unknown,     ///< the call may or may not have had an effect
    answer_expired,      ///< the submission is known, but its answer is no longer stored
    cancelled,           ///< cancelled by the caller
    task_failed,         ///< the backend server reported a failure
    task_lost,           ///< a task was started and its result is lost
    shutting_down,       ///< the process is shutting down
    internal,            ///< a defect
};

/// Name used in JSON, logs and messages, for example "not_found".
[[nodiscard]] std::string_view name_of(error_kind kind);

/// Inverse of `name_of`; nothing for an unknown name.
[[nodiscard]] std::optional<error_kind> error_kind_from_name(std::string_view name);

/// HTTP status that reports an error of this kind to callers and operators.
[[nodiscard]] int http_status_of(error_kind kind);

/// A failure with its explanation. `remedy` describes how the reader can resolve it.
struct error {
    error_kind kind{error_kind::internal};
    std::string message;
    std::string remedy;
};

/// "kind: message (remedy)", for logs and the command line.
[[nodiscard]] std::string to_string(const error& failure);

/// Value or error. Reading the wrong side terminates the process.
template <typename T>
using result = boost::outcome_v2::basic_result<T, error, boost::outcome_v2::policy::terminate>;

/// Shorthand for a failed result.
[[nodiscard]] inline auto failure(error_kind kind, std::string message, std::string remedy)
{
    return boost::outcome_v2::failure(error{kind, std::move(message), std::move(remedy)});
}

/// Result of an operation that returns no value.
[[nodiscard]] inline auto success()
{
    return boost::outcome_v2::success();
}

} // namespace carobfall
