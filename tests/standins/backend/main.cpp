#include "backend_standin.h"
#include "program.h"

#include <CLI/CLI.hpp>

#include <iostream>

int main(int argc, char** argv)
{
    carobfall::standin_options options;
    CLI::App app(
        "Backend server for tests: announces itself to an agent and runs tasks by sleeping.");
    app.add_option("--name", options.name, "name of the backend server");
    app.add_option("--agent", options.agent, "ip:port of the agent's announcement server");
    app.add_option("--port", options.port, "port on loopback; 0 chooses one");
    app.add_option("--slots", options.slots);
    app.add_option("--processors", options.processors);
    app.add_option("--memory-mib", options.memory_mib);
    app.add_option("--run-ms", options.run_ms, "run time, or the shortest with --run-max-ms");
    app.add_option("--run-max-ms", options.run_max_ms, "longest run time; uniform in between");
    app.add_option("--straggler-share", options.straggler_share, "share of stragglers, 0 to 1");
    app.add_option("--straggler-ms", options.straggler_ms);
    app.add_flag("--fail", options.fail, "answer every task with status 500");
    app.add_flag("--hang", options.hang, "answer no task");
    app.add_option("--seed", options.seed);
    app.add_option("--starts-file", options.starts_file,
                   "file for the log of starts, which outlives the process");
    CLI11_PARSE(app, argc, argv);

    const carobfall::termination_signals signals;

    carobfall::backend_standin standin(options);
    if (!standin.start()) {
        std::cerr << "cannot listen on port " << options.port << "; choose a free one\n";
        return 1;
    }
    std::cout << "port " << standin.port() << std::endl;
    signals.wait();
    standin.leave();
    return 0;
}
