#include "program.h"

#include "carobfall/agent/agent_daemon.h"
#include "carobfall/agent/grpc_entry_channel.h"
#include "carobfall/base/clock.h"
#include "carobfall/config/agent_settings.h"

#include <memory>

using namespace carobfall;

namespace {

int run(const agent_settings& settings)
{
    const termination_signals signals;
    agent_daemon daemon(
        settings, {},
        [](const std::string& address) { return std::make_unique<grpc_entry_channel>(address); },
        monotonic_now);
    return run_until_signal(daemon, signals);
}

} // namespace

int main(int argc, char** argv)
{
    return run_program(
        argc, argv,
        {"Runs the tasks of carobfall on the backend server beside it.", agent_variable_prefix},
        load_agent_settings, run);
}
