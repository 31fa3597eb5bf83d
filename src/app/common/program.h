#pragma once

#include "carobfall/config/settings_sources.h"

#include <csignal>
#include <optional>
#include <string>
#include <string_view>

namespace carobfall {

inline constexpr int exit_ok = 0;
inline constexpr int exit_failure = 1;
inline constexpr int exit_usage = 2;

struct program_description {
    std::string summary;              ///< description in the output of --help
    std::string_view variable_prefix; ///< prefix of environment variables that override settings
};

/// Options given on the command line.
struct program_request {
    settings_sources sources;
    bool check_only{false}; ///< validate the settings and exit
};

/// Blocks SIGTERM and SIGINT in the calling thread and in the threads that it starts later, so that
/// only `wait` receives these signals.
class termination_signals {
public:
    termination_signals();
    void wait() const;

private:
    sigset_t signals_{};
};

/// Starts logging and parses the command line. Returns no value after --help or a printed error;
/// the program then has to exit with `exit_code`.
[[nodiscard]] std::optional<program_request>
read_command_line(int argc, char** argv, const program_description& description, int& exit_code);

/// Prints the error to standard error and returns `exit_code`.
[[nodiscard]] int exit_with(const error& problem, int exit_code);
/// Prints that the settings are valid and returns `exit_ok`.
[[nodiscard]] int exit_after_check();

/// Loads the settings with `load` and passes them to `run`, which returns the exit code.
template <typename Settings, typename Run>
int run_program(int argc, char** argv, const program_description& description,
                result<Settings> (*load)(const settings_sources&), const Run& run)
{
    int exit_code = exit_ok;
    const std::optional<program_request> request =
        read_command_line(argc, argv, description, exit_code);
    if (!request) {
        return exit_code;
    }
    const result<Settings> settings = load(request->sources);
    if (!settings) {
        return exit_with(settings.error(), exit_usage);
    }
    return request->check_only ? exit_after_check() : run(settings.value());
}

/// Starts the daemon, waits for a termination signal and drains it.
template <typename Daemon>
int run_until_signal(Daemon& daemon, const termination_signals& signals)
{
    const result<void> started = daemon.start();
    if (!started) {
        return exit_with(started.error(), exit_failure);
    }
    signals.wait();
    daemon.drain();
    return exit_ok;
}

} // namespace carobfall
