#pragma once

#include "command_context.h"

#include "carobfall/base/clock.h"

#include <absl/time/time.h>

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace carobfall::tool {

/// Flags of `carobfall submit`.
struct submit_options {
    std::string account;
    std::string submission_id{}; ///< empty: a random one
    std::string file{};          ///< whole body as JSON; the other flags override its members
    std::string template_name{};
    std::vector<std::string> tasks{};      ///< JSON, one value each
    std::string tasks_file{};              ///< one JSON value a line
    std::vector<std::string> parameters{}; ///< NAME=VALUE; a value that isn't JSON is a string
    double deadline_seconds{30};           ///< from now, unless the file has a deadline
    bool wait{true};
};

using sleep_function = std::function<void(absl::Duration)>;

/// Builds the body of the submission. Errors: `invalid_request`.
[[nodiscard]] result<nlohmann::json> build_body(const submit_options& options, absl::Time now);

/// Prints the submission id and submits. Until the deadline, the request is resubmitted while it is
/// unknown whether the submission was accepted, or while it is refused temporarily.
exit_code submit(command_context& context, const submit_options& options,
                 const clock_function& clock, const sleep_function& sleep);

/// Requests the status (GET) or the cancellation (DELETE) of a submission.
exit_code query_or_cancel(command_context& context, const std::string& method,
                          const std::string& account, const std::string& id);

} // namespace carobfall::tool
