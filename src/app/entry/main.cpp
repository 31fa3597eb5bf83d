#include "program.h"

#include "carobfall/base/clock.h"
#include "carobfall/config/entry_settings.h"
#include "carobfall/daemon/entry_daemon.h"

#include <unistd.h>

#include <atomic>

using namespace carobfall;

namespace {

// The incarnation was removed from the view; the platform starts a new one in the same slot.
constexpr int exit_superseded = 3;

int run(const entry_settings& settings)
{
    const termination_signals signals;
    std::atomic<bool> superseded{false};
    entry_daemon daemon(settings, monotonic_now, [&superseded] {
        superseded = true;
        kill(getpid(), SIGTERM);
    });
    const int exit_code = run_until_signal(daemon, signals);
    return exit_code == exit_ok && superseded ? exit_superseded : exit_code;
}

} // namespace

int main(int argc, char** argv)
{
    return run_program(argc, argv,
                       {"Takes submissions of callers and runs them on the backend servers.",
                        entry_variable_prefix},
                       load_entry_settings, run);
}
