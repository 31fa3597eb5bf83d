#include "carobfall/config/ip_endpoint.h"
#include "platform_server.h"
#include "program.h"

#include <CLI/CLI.hpp>

#include <iostream>

int main(int argc, char** argv)
{
    CLI::App app("Stand-in for the platform's table service and object store");
    std::string address = "127.0.0.1:8070";
    app.add_option("--address", address, "ip:port; port 0 lets the kernel choose")
        ->capture_default_str();
    std::string data;
    app.add_option("--data", data, "directory for tables and objects, which outlive the process");
    CLI11_PARSE(app, argc, argv);

    // Blocked before the server's threads are made, so that only sigwait receives the signals.
    const carobfall::termination_signals signals;

    const auto endpoint = carobfall::parse_ip_endpoint(address);
    carobfall::testing::platform_server server;
    if (const auto opened =
            data.empty() ? carobfall::result<void>(carobfall::success()) : server.open_data(data);
        !opened) {
        std::cerr << "platform_standin: " << to_string(opened.error()) << '\n';
        return 1;
    }
    const auto port = endpoint ? server.start(endpoint->ip, endpoint->port)
                               : carobfall::result<std::uint16_t>(carobfall::failure(
                                     carobfall::error_kind::invalid_request, "not an ip:port",
                                     "use for example 127.0.0.1:8070"));
    if (!port) {
        std::cerr << "platform_standin: " << to_string(port.error()) << '\n';
        return 1;
    }
    std::cout << "listening on " << endpoint->ip << ':' << port.value() << std::endl;
    signals.wait();
    return 0;
}
