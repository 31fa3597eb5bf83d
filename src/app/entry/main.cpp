#include "carobfall/base/clock.h"
#include "carobfall/config/entry_settings.h"
#include "carobfall/daemon/entry_daemon.h"

#include <CLI/CLI.hpp>
#include <glog/logging.h>

#include <unistd.h>

#include <atomic>
#include <csignal>
#include <iostream>
#include <string>
#include <vector>

namespace {

constexpr int exit_ok = 0;
constexpr int exit_failure = 1;
constexpr int exit_usage = 2;
// The platform starts a new incarnation in the same slot.
constexpr int exit_superseded = 3;

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

carobfall::result<carobfall::entry_settings> load(const command_line& arguments)
{
    BOOST_OUTCOME_TRY(auto sources, carobfall::read_settings_file(arguments.settings_file));
    sources.environment = carobfall::environment_with_prefix(carobfall::entry_variable_prefix);
    sources.overrides = arguments.overrides;
    return carobfall::load_entry_settings(sources);
}

int run(const carobfall::entry_settings& settings, const sigset_t& signals)
{
    std::atomic<bool> superseded{false};
    carobfall::entry_daemon daemon(settings, carobfall::monotonic_now, [&superseded] {
        superseded = true;
        kill(getpid(), SIGTERM);
    });
    const carobfall::result<void> started = daemon.start();
    if (!started) {
        std::cerr << to_string(started.error()) << '\n';
        return exit_failure;
    }
    wait_for_signal(signals);
    daemon.drain();
    return superseded ? exit_superseded : exit_ok;
}

} // namespace

int main(int argc, char** argv)
{
    google::InitGoogleLogging(argv[0]);
    FLAGS_logtostderr = true;
    command_line arguments;
    CLI::App app("Takes submissions of callers and runs them on the backend servers.");
    app.add_option("--config", arguments.settings_file, "YAML settings file");
    app.add_option("--set", arguments.overrides, "key=value, overrides the file and environment");
    app.add_flag("--check-settings", arguments.check_only, "validate the settings and exit");
    CLI11_PARSE(app, argc, argv);

    const carobfall::result<carobfall::entry_settings> settings = load(arguments);
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
