#include "program.h"

#include <CLI/CLI.hpp>
#include <glog/logging.h>

#include <iostream>
#include <vector>

namespace carobfall {
namespace {

result<settings_sources> read_sources(const std::string& settings_file,
                                      std::string_view variable_prefix,
                                      std::vector<std::string> overrides)
{
    BOOST_OUTCOME_TRY(settings_sources sources, read_settings_file(settings_file));
    sources.environment = environment_with_prefix(variable_prefix);
    sources.overrides = std::move(overrides);
    return sources;
}

} // namespace

termination_signals::termination_signals()
{
    sigemptyset(&signals_);
    sigaddset(&signals_, SIGTERM);
    sigaddset(&signals_, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals_, nullptr);
}

void termination_signals::wait() const
{
    int signal = 0;
    while (sigwait(&signals_, &signal) != 0) {
    }
}

std::optional<program_request>
read_command_line(int argc, char** argv, const program_description& description, int& exit_code)
{
    google::InitGoogleLogging(argv[0]);
    FLAGS_logtostderr = true;
    std::string settings_file;
    std::vector<std::string> overrides;
    bool check_only = false;
    CLI::App app(description.summary);
    app.add_option("--config", settings_file, "YAML settings file");
    app.add_option("--set", overrides, "key=value, overrides the file and environment");
    app.add_flag("--check-settings", check_only, "validate the settings and exit");
    try {
        app.parse(argc, argv);
    } catch (const CLI::ParseError& problem) {
        exit_code = app.exit(problem);
        return std::nullopt;
    }
    const result<settings_sources> sources =
        read_sources(settings_file, description.variable_prefix, std::move(overrides));
    if (!sources) {
        exit_code = exit_with(sources.error(), exit_usage);
        return std::nullopt;
    }
    return program_request{sources.value(), check_only};
}

int exit_with(const error& problem, int exit_code)
{
    std::cerr << to_string(problem) << '\n';
    return exit_code;
}

int exit_after_check()
{
    std::cout << "settings are valid\n";
    return exit_ok;
}

} // namespace carobfall
