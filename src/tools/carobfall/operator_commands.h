#pragma once

#include "command_context.h"

#include "carobfall/base/clock.h"

#include <functional>
#include <optional>
#include <ostream>
#include <set>
#include <string>
#include <vector>

namespace carobfall::tool {

/// Flags of `carobfall template apply` and `diff`.
struct apply_options {
    bool dry_run{false}; ///< report what would change
    bool as_diff{false}; ///< print the changed lines
    bool prune{false};   ///< remove templates of the declared accounts that the files lack
};

/// Checks the files without an entry and prints what they declare.
exit_code validate_files(const std::vector<std::string>& files, std::ostream& out,
                         std::ostream& errors);

/// Commands that use the operators' interface.
class operator_commands {
public:
    operator_commands(command_context& context, std::function<void(absl::Duration)> sleep);

    /// Applies the documents of all files in one atomic change. They are validated locally first,
    /// so that an error names the file and the line.
    exit_code apply(const std::vector<std::string>& files, const apply_options& options);
    /// Removes a template. A template that doesn't exist is reported as unchanged.
    exit_code remove_template(const std::string& name);
    /// `name` is ACCOUNT/TEMPLATE.
    exit_code get_template(const std::string& name);
    /// Templates of one account, or of all if `account` is empty.
    exit_code list_templates(const std::string& account);
    exit_code set_data_centre(const std::string& name, bool out);
    exit_code list_data_centres();
    exit_code list_backends();
    /// Prints the members of the view from the entry's state dump.
    exit_code list_entries();
    exit_code forget_entry(const std::string& name);
    exit_code retry_now(const std::string& agent);
    exit_code dump();

private:
    /// Resends the change with the same change id until it is confirmed in force.
    exit_code change(const api_request& request, bool as_diff);
    /// Keys of the declared accounts' stored templates that are missing from `declared`.
    std::optional<std::vector<std::string>>
    undeclared_templates(const std::set<std::string>& declared, exit_code& code);
    exit_code print_list(const std::string& path, const char* member,
                         const std::vector<const char*>& columns);
    void print_change(const nlohmann::json& report, bool as_diff);

    command_context& context_;
    std::function<void(absl::Duration)> sleep_;
};

} // namespace carobfall::tool
