#pragma once

#include "exit_code.h"

#include <istream>
#include <ostream>
#include <string>
#include <vector>

namespace carobfall::tool {

/// Flags of `carobfall explain`.
struct explain_options {
    std::string id;                 ///< request id, as in the field `job` of the logs
    std::vector<std::string> files; ///< logs of processes; empty: standard input
    bool json_output{false};
};

/// Prints the log lines of the request, its outcome and the cause. Returns `invalid_input` if a
/// file can't be read or no line names the request.
exit_code explain(const explain_options& options, std::istream& input, std::ostream& out,
                  std::ostream& errors);

} // namespace carobfall::tool
