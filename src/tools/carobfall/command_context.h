#pragma once

#include "api_client.h"
#include "exit_code.h"

#include <ostream>
#include <string>
#include <vector>

namespace carobfall::tool {

/// Client and output streams that all commands share.
struct command_context {
    api_client client;
    bool json_output{false};
    std::ostream& out;      ///< results
    std::ostream& progress; ///< progress and errors
};

/// Reads the whole file. Errors: `invalid_request` if it can't be read or is empty.
[[nodiscard]] result<std::string> read_file(const std::string& name);

/// Prints the error and returns its exit code; `unreachable` if no entry could be reached.
exit_code report_error(command_context& context, const error& problem);

/// Prints the error in an entry's JSON response. Returns its exit code; `ok` if there is no error.
exit_code report_document(command_context& context, const nlohmann::json& document);

/// Sends the request and returns the JSON response. After a transport error or an error response,
/// prints the error, sets `code` to the exit code and returns no value.
[[nodiscard]] std::optional<nlohmann::json> fetch(command_context& context,
                                                  const api_request& request, exit_code& code);

/// Returns a member of a JSON object as human-readable text; empty if it is missing.
[[nodiscard]] std::string text_of(const nlohmann::json& object, const char* key);

/// Prints rows with aligned columns.
void print_table(std::ostream& out, const std::vector<std::vector<std::string>>& rows);

} // namespace carobfall::tool
