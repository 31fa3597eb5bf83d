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
    invalid_request,     ///< malformed or out-of-bounds request; nothing was changed
    unauthenticated,     ///< missing or wrong bearer token
    not_found,           ///< unknown client account, template, submission or data centre
    conflict,            ///< submission id reused with another body, or a concurrent change
    payload_too_large,   ///< request body, task payload or result over its size limit
    limit_exceeded,      ///< limit of the client account is reached; submit again later
    infeasible,          ///< no backend server meets the template's requirements
    overloaded,          ///< too much load now, for example to meet the deadline; retry later
    deadline_exceeded,   ///< the submission's deadline has passed; no further task starts
    recovering,          ///< takeover in progress; the submission's state isn't known yet
    stale_configuration, ///< the entry can't confirm its configuration as current; retry
    stale_view,          ///< another entry owns the submission in the current view; retry
    unavailable,         ///< a peer or resource can't be used now; the call had no effect
    outcome_unknown,     ///< no conclusive reply; the call may or may not have had an effect
    answer_expired,      ///< the submission is known, but its answer is no longer stored
    cancelled,           ///< the caller has cancelled the submission
    task_failed,         ///< the backend server reported that a task failed
    task_lost,           ///< a task was started, but its result is lost; it may have run
    shutting_down,       ///< the process accepts no new work; use another instance
    internal,            ///< a defect, or stored data that can't be read
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
