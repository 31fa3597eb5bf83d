#pragma once

#include "explain_command.h"
#include "load_command.h"
#include "operator_commands.h"
#include "overview_command.h"
#include "submit_command.h"
#include "where_command.h"

#include <CLI/CLI.hpp>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace carobfall::tool {

/// Parses the arguments of `carobfall` and runs the chosen command.
class command_line {
public:
    command_line();

    /// Returns the exit code of the process.
    int run(int argc, const char* const* argv);

private:
    using operator_action = std::function<exit_code(operator_commands&)>;

    void add_common_options();
    void add_submission_commands();
    void add_template_commands();
    void add_state_commands();
    void add_list_commands();
    void add_load_command();
    void add_explain_command();
    void add_overview_command();
    void add_where_command();
    CLI::App* add_operator_command(CLI::App& parent, const std::string& name,
                                   const std::string& description, operator_action action);
    void add_caller_command(CLI::App* command, std::function<exit_code(command_context&)> action);
    /// Runs the action with a context; `default_entry` is used without --entry.
    void set_action(const std::string& default_entry,
                    std::function<exit_code(command_context&)> action);
    [[nodiscard]] result<std::string> token() const;

    CLI::App app_{"Submits short tasks to carobfall and operates it."};
    std::vector<std::string> entries_;
    std::string token_file_;
    std::string output_{"text"};
    submit_options submit_;
    load_options load_;
    explain_options explain_;
    overview_options overview_;
    where_options where_;
    std::string name_argument_;
    std::vector<std::string> files_;
    apply_options apply_;
    std::string default_entry_;
    std::function<exit_code(command_context&)> action_;
    std::function<exit_code()> local_action_; ///< needs neither an entry nor a token
};

} // namespace carobfall::tool
