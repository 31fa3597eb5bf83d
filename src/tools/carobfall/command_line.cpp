#include "command_line.h"

#include "carobfall/base/ids.h"

#include <absl/strings/ascii.h>
#include <absl/time/clock.h>

#include <cstdlib>
#include <iostream>
#include <utility>

namespace carobfall::tool {
namespace {

constexpr const char* default_caller_entry = "127.0.0.1:8080";
constexpr const char* default_operator_entry = "127.0.0.1:8081";
constexpr std::size_t max_load_threads = 4096;
constexpr const char* token_variable = "CAROBFALL_TOKEN";

void sleep_for(absl::Duration duration)
{
    absl::SleepFor(duration);
}

// Names are inserted into request paths without escaping.
std::string check_name(const std::string& name)
{
    return is_valid_name(name) ? "" : "use 1 to 128 characters of A-Z a-z 0-9 . _ -";
}

std::string check_template_name(const std::string& name)
{
    const std::size_t slash = name.find('/');
    const bool valid = slash != std::string::npos && is_valid_name(name.substr(0, slash)) &&
                       is_valid_name(name.substr(slash + 1));
    return valid ? "" : "write ACCOUNT/TEMPLATE";
}

} // namespace

command_line::command_line()
{
    app_.require_subcommand(1);
    app_.fallthrough();
    app_.footer(
        "submit, status, cancel and load need the token of the client account, all others an "
        "operator's\ntoken, in the environment variable CAROBFALL_TOKEN or in --token-file.\n"
        "Exit codes: 0 ok, 1 failed answer, 2 usage or invalid input, 3 refused and nothing "
        "ran,\n4 outcome unknown, 5 no entry could be reached. See docs/OPERATIONS.md.");
    add_common_options();
    add_submission_commands();
    add_template_commands();
    add_state_commands();
    add_list_commands();
    add_load_command();
    add_explain_command();
    add_overview_command();
    add_where_command();
}

void command_line::add_common_options()
{
    app_.add_option("--entry", entries_,
                    "Address ip:port of an entry; several are tried in turn. The callers' port for "
                    "submit, status, cancel and load, else the operators' port.")
        ->allow_extra_args(false);
    app_.add_option("--token-file", token_file_,
                    "File with the bearer token; overrides CAROBFALL_TOKEN.");
    app_.add_option("--output", output_, "text or json")->check(CLI::IsMember({"text", "json"}));
}

void command_line::set_action(const std::string& default_entry,
                              std::function<exit_code(command_context&)> action)
{
    default_entry_ = default_entry;
    action_ = std::move(action);
}

void command_line::add_caller_command(CLI::App* command,
                                      std::function<exit_code(command_context&)> action)
{
    command->add_option("--account", submit_.account, "Client account.")
        ->required()
        ->check(check_name);
    command->callback(
        [this, action = std::move(action)] { set_action(default_caller_entry, action); });
}

void command_line::add_submission_commands()
{
    CLI::App* submit_app = app_.add_subcommand(
        "submit", "Submits tasks and prints the answer. The submission id is printed first.");
    submit_app->add_option("--id", submit_.submission_id, "Submission id; random if left out.")
        ->check(check_name);
    submit_app->add_option("--file", submit_.file, "Whole body as JSON (docs/api.md).");
    submit_app->add_option("--template", submit_.template_name, "Template of the account.");
    submit_app->add_option("--task", submit_.tasks, "Task as JSON; may be repeated.")
        ->allow_extra_args(false);
    submit_app->add_option("--tasks-file", submit_.tasks_file, "File with one JSON task a line.");
    submit_app->add_option("--parameter", submit_.parameters, "NAME=VALUE; may be repeated.")
        ->allow_extra_args(false);
    submit_app->add_option("--deadline", submit_.deadline_seconds, "Seconds from now.")
        ->check(CLI::PositiveNumber)
        ->capture_default_str();
    submit_app->add_flag("--wait,!--no-wait", submit_.wait, "Wait for the answer (default).");
    add_caller_command(submit_app, [this](command_context& context) {
        return submit(context, submit_, absl::Now, sleep_for);
    });
    for (const auto& [name, method] : {std::pair{"status", "GET"}, {"cancel", "DELETE"}}) {
        CLI::App* command = app_.add_subcommand(
            name, std::string(method) == "GET" ? "Prints the state and the answer of a submission."
                                               : "Cancels a submission.");
        command->add_option("id", submit_.submission_id, "Submission id.")
            ->required()
            ->check(check_name);
        add_caller_command(command, [this, method = std::string(method)](command_context& context) {
            return query_or_cancel(context, method, submit_.account, submit_.submission_id);
        });
    }
}

CLI::App* command_line::add_operator_command(CLI::App& parent, const std::string& name,
                                             const std::string& description, operator_action action)
{
    CLI::App* command = parent.add_subcommand(name, description);
    command->callback([this, action = std::move(action)] {
        set_action(default_operator_entry, [action](command_context& context) {
            operator_commands commands(context, sleep_for);
            return action(commands);
        });
    });
    return command;
}

void command_line::add_template_commands()
{
    CLI::App& group = *app_.add_subcommand("template", "Templates and client accounts.");
    group.require_subcommand(1);
    CLI::App* apply = add_operator_command(
        group, "apply", "Applies the documents of the files in one atomic change.",
        [this](auto& commands) { return commands.apply(files_, apply_); });
    apply->add_flag("--dry-run", apply_.dry_run, "Report what would change; change nothing.");
    CLI::App* diff = add_operator_command(
        group, "diff", "Prints the lines that an apply would change.", [this](auto& commands) {
            return commands.apply(files_,
                                  {.dry_run = true, .as_diff = true, .prune = apply_.prune});
        });
    for (CLI::App* command : {apply, diff}) {
        command->add_flag("--prune", apply_.prune,
                          "For each client account in the files, also remove templates that the "
                          "files don't declare.");
    }
    CLI::App* validate =
        group.add_subcommand("validate", "Checks the files; needs neither an entry nor a token.");
    validate->callback([this] {
        local_action_ = [this] { return validate_files(files_, std::cout, std::cerr); };
    });
    for (CLI::App* command : {apply, diff, validate}) {
        command->add_option("files", files_, "YAML files.")->required();
    }
    add_operator_command(
        group, "remove", "Removes a template.",
        [this](auto& commands) { return commands.remove_template(name_argument_); })
        ->add_option("name", name_argument_, "ACCOUNT/TEMPLATE")
        ->required()
        ->check(check_template_name);
    add_operator_command(group, "get", "Prints a template as YAML.",
                         [this](auto& commands) { return commands.get_template(name_argument_); })
        ->add_option("name", name_argument_, "ACCOUNT/TEMPLATE")
        ->required()
        ->check(check_template_name);
    add_operator_command(group, "list", "Lists templates.",
                         [this](auto& commands) { return commands.list_templates(name_argument_); })
        ->add_option("account", name_argument_, "List only the templates of this client account.")
        ->check(check_name);
}

void command_line::add_state_commands()
{
    CLI::App& centres = *app_.add_subcommand("data-centre", "Data centres.");
    centres.require_subcommand(1);
    CLI::App& entries = *app_.add_subcommand("entry", "Entry instances.");
    entries.require_subcommand(1);
    for (const bool out : {true, false}) {
        add_operator_command(
            centres, out ? "out" : "in",
            out ? "Takes a data centre out of service." : "Takes a data centre back into service.",
            [this, out](auto& commands) { return commands.set_data_centre(name_argument_, out); })
            ->add_option("name", name_argument_, "Data centre.")
            ->required()
            ->check(check_name);
    }
    add_operator_command(entries, "forget",
                         "Declares that an entry instance is dead and won't return.",
                         [this](auto& commands) { return commands.forget_entry(name_argument_); })
        ->add_option("name", name_argument_, "Entry instance.")
        ->required()
        ->check(check_name);
    add_operator_command(app_, "retry-now",
                         "Ends the backoff of backend servers, so that they are tried at once.",
                         [this](auto& commands) { return commands.retry_now(name_argument_); })
        ->add_option("agent", name_argument_,
                     "End only the backoff of this agent's backend server.")
        ->check(check_name);
    add_operator_command(centres, "list", "Lists data centres.",
                         [](auto& commands) { return commands.list_data_centres(); });
    add_operator_command(entries, "list", "Prints the region's view: its entry instances.",
                         [](auto& commands) { return commands.list_entries(); });
}

void command_line::add_list_commands()
{
    CLI::App& backends = *app_.add_subcommand("backend", "Backend servers.");
    backends.require_subcommand(1);
    add_operator_command(backends, "list", "Lists backend servers.",
                         [](auto& commands) { return commands.list_backends(); });
    add_operator_command(app_, "dump", "Prints the state of one entry.",
                         [](auto& commands) { return commands.dump(); });
}

void command_line::add_load_command()
{
    CLI::App* command = app_.add_subcommand(
        "load",
        "Sends the submissions of a workload file at their planned times and prints a report.");
    command->add_option("workload", load_.workload_file, "YAML file; see examples/workloads.")
        ->required();
    command
        ->add_option("--threads", load_.threads,
                     "Maximum number of submissions that wait for an answer at once.")
        ->check(CLI::Range(std::size_t{1}, max_load_threads))
        ->capture_default_str();
    command->add_option("--plot", load_.plot_file,
                        "Write a plot of the latency distribution to this SVG file.");
    command->add_option("--operator-entry", load_.operator_entry,
                        "Operators' address of an entry, to report by data centre.");
    command->add_option("--operator-token-file", load_.operator_token_file,
                        "File with the token for --operator-entry.");
    command
        ->add_option("--start-log", load_.start_logs,
                     "Backend stand-in whose log of starts is counted; may be repeated.")
        ->allow_extra_args(false);
    command->add_flag("--allow-remote", load_.allow_remote,
                      "Permit addresses that are not on loopback.");
    command->callback([this] {
        set_action(default_caller_entry, [this](command_context& context) {
            load_.entries = entries_;
            load_.token = token().value();
            return load(context, load_);
        });
    });
}

void command_line::add_explain_command()
{
    CLI::App* command = app_.add_subcommand(
        "explain", "Tells from the logs of entries and agents what became of a request, and why. "
                   "Needs neither an entry nor a token.");
    command->add_option("id", explain_.id, "Id of the request.")->required();
    command->add_option("files", explain_.files, "Log files; standard input if left out.");
    command->callback([this] {
        local_action_ = [this] {
            explain_.json_output = output_ == "json";
            return explain(explain_, std::cin, std::cout, std::cerr);
        };
    });
}

void command_line::add_overview_command()
{
    CLI::App* command = app_.add_subcommand(
        "overview", "Asks the programs on the users' platform for their metrics: what is refused "
                    "and why, which workers are doubted, which configurations are held. Needs no "
                    "token.");
    command
        ->add_option("addresses", overview_.addresses,
                     "ip:port where an entry or agent serves /metrics.")
        ->required();
    command->callback([this] {
        local_action_ = [this] {
            overview_.json_output = output_ == "json";
            return overview(overview_, std::cout, std::cerr);
        };
    });
}

void command_line::add_where_command()
{
    CLI::App* command = app_.add_subcommand(
        "where", "Asks entries on the users' platform what they would do with a job now, and why. "
                 "Submits nothing. Needs no token.");
    command->add_option("--host", where_.host, "Host that the callers of the route use.")
        ->required();
    command->add_option("--path", where_.path, "Path of the route, with or without a job id.")
        ->required();
    CLI::Option* file =
        command->add_option("--file", where_.file, "Body of the job as callers submit it.");
    const auto add_job_option = [&](const char* name, auto& value, const char* description) {
        return command->add_option(name, value, description)->excludes(file);
    };
    add_job_option("--tasks", where_.tasks, "Number of tasks.")->capture_default_str();
    add_job_option("--cpu", where_.cpu_millicores, "Thousandths of a core for each task.");
    add_job_option("--memory", where_.memory_mib, "MiB for each task.");
    add_job_option("--run-ms", where_.run_ms, "Declared run time of a task in milliseconds.");
    add_job_option("--data-rack", where_.data_rack, "Rack of the data.");
    add_job_option("--label", where_.label, "Label that the worker must have.");
    add_job_option("--limit-per-worker", where_.limit,
                   "Most tasks of the job on one worker; 0: no limit.");
    command
        ->add_option("--deadline", where_.deadline_seconds,
                     "Seconds that the caller waits; the entry's default if left out.")
        ->check(CLI::PositiveNumber);
    command
        ->add_option("--rows", where_.rows,
                     "Most candidates, and agents for each obstacle, in the output.")
        ->capture_default_str();
    command->add_option("addresses", where_.addresses, "ip:port where an entry serves /metrics.")
        ->required();
    command->callback([this] {
        local_action_ = [this] {
            where_.json_output = output_ == "json";
            return where(where_, std::cout, std::cerr);
        };
    });
}

result<std::string> command_line::token() const
{
    std::string text;
    if (!token_file_.empty()) {
        BOOST_OUTCOME_TRY(text, read_file(token_file_));
    } else if (const char* variable = std::getenv(token_variable)) {
        text = variable;
    }
    absl::StripAsciiWhitespace(&text);
    if (text.empty()) {
        return failure(error_kind::invalid_request, "there is no token",
                       "set CAROBFALL_TOKEN or give --token-file FILE");
    }
    return text;
}

int command_line::run(int argc, const char* const* argv)
{
    try {
        app_.parse(argc, argv);
    } catch (const CLI::ParseError& problem) {
        return app_.exit(problem) == 0 ? 0 : static_cast<int>(exit_code::invalid_input);
    }
    if (local_action_) {
        return static_cast<int>(local_action_());
    }
    const auto bearer = token();
    if (!bearer) {
        std::cerr << to_string(bearer.error()) << "\n";
        return static_cast<int>(exit_code::invalid_input);
    }
    if (entries_.empty()) {
        entries_.push_back(default_entry_);
    }
    command_context context{api_client(entries_, bearer.value()), output_ == "json", std::cout,
                            std::cerr};
    return static_cast<int>(action_(context));
}

} // namespace carobfall::tool
