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

/// Prints the error and returns its exit code. A failure to reach any entry is `unreachable`.
exit_code report_error(command_context& context, const error& problem);

/// Prints the `error` of a document that has one and returns the document's exit code.
exit_code report_document(command_context& context, const nlohmann::json& document);

/// Sends the request. Prints an error and returns nothing for a transport error or an error
/// document; `code` is then the exit code.
[[nodiscard]] std::optional<nlohmann::json> fetch(command_context& context,
                                                  const api_request& request, exit_code& code);

/// Member of a document as human-readable text; empty if it is missing.
[[nodiscard]] std::string text_of(const nlohmann::json& object, const char* key);

/// Prints rows with aligned columns.
void print_table(std::ostream& out, const std::vector<std::vector<std::string>>& rows);

} // namespace carobfall::tool
