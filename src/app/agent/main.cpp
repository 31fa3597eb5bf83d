#include "carobfall/agent/agent_daemon.h"
#include "carobfall/agent/grpc_entry_link.h"
#include "carobfall/base/clock.h"
#include "carobfall/config/agent_settings.h"

#include <CLI/CLI.hpp>
#include <glog/logging.h>

#include <csignal>
#include <iostream>
#include <string>
#include <vector>

namespace {

constexpr int exit_ok = 0;
constexpr int exit_failure = 1;
constexpr int exit_usage = 2;

struct command_line {
    std::string settings_file;
    std::vector<std::string> overrides;
    bool check_only{false};
};

/// Blocks the signals in every thread started later, so that only `wait_for_signal` gets them.
sigset_t block_termination_signals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    return signals;
}

void wait_for_signal(const sigset_t& signals)
{
    int signal = 0;
    while (sigwait(&signals, &signal) != 0) {
    }
}

carobfall::result<carobfall::agent_settings> load(const command_line& arguments)
{
    BOOST_OUTCOME_TRY(auto sources, carobfall::read_settings_file(arguments.settings_file));
    sources.environment = carobfall::environment_with_prefix(carobfall::agent_variable_prefix);
    sources.overrides = arguments.overrides;
    return carobfall::load_agent_settings(sources);
}

int run(const carobfall::agent_settings& settings, const sigset_t& signals)
{
    carobfall::agent_daemon daemon(
        settings, {},
        [](const std::string& address) {
            return std::make_unique<carobfall::grpc_entry_link>(address);
        },
        carobfall::monotonic_now);
    const carobfall::result<void> started = daemon.start();
    if (!started) {
        std::cerr << to_string(started.error()) << '\n';
        return exit_failure;
    }
    wait_for_signal(signals);
    daemon.drain();
    return exit_ok;
}

} // namespace

int main(int argc, char** argv)
{
    google::InitGoogleLogging(argv[0]);
    FLAGS_logtostderr = true;
    command_line arguments;
    CLI::App app("Runs the tasks of carobfall on the backend server beside it.");
    app.add_option("--config", arguments.settings_file, "YAML settings file");
    app.add_option("--set", arguments.overrides, "key=value, overrides the file and environment");
    app.add_flag("--check-settings", arguments.check_only, "validate the settings and exit");
    CLI11_PARSE(app, argc, argv);

    const carobfall::result<carobfall::agent_settings> settings = load(arguments);
    if (!settings) {
        std::cerr << to_string(settings.error()) << '\n';
        return exit_usage;
    }
    if (arguments.check_only) {
        std::cout << "settings are valid\n";
        return exit_ok;
    }
    const sigset_t signals = block_termination_signals();
    return run(settings.value(), signals);
}
