#include "carobfall/base/spawn.h"
#include "platform/process.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <doctest/doctest.h>

#include <unistd.h>

#include <chrono>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <string>

using namespace carobfall;
using namespace carobfall::platform;
namespace asio = boost::asio;

namespace {

void write_settings(const std::filesystem::path& path, const std::string& weight)
{
    std::ofstream(path)
        << R"({"node_name": "edge-1", "ip": "127.0.0.1", "zone": "mapo",)"
           R"("listen_addrs": {"front": "127.0.0.1:8161", "ready": "127.0.0.1:8167"},)"
           R"("internal_port_range": [7720, 7735], "platform": {"address": "127.0.0.1:8169"},)"
           R"("admission": {"shares": {"quote": )"
        << weight << "}}}";
}

} // namespace

// Guards against an entry that loses its shares, or divides by others, after a mistake in the file.
TEST_CASE("a reload applies changed shares, and malformed ones leave those in force")
{
    std::string folder = (std::filesystem::temp_directory_path() / "reload-XXXXXX").string();
    REQUIRE(mkdtemp(folder.data()) != nullptr);
    const std::filesystem::path path = std::filesystem::path(folder) / "settings.json";
    const std::filesystem::path output = std::filesystem::path(folder) / "output";
    setenv("CAROBFALL_SETTINGS", path.c_str(), 1); // NOLINT(concurrency-mt-unsafe)
    write_settings(path, "2");
    process entry(process_role::entry, load_settings(process_role::entry).value());
    std::string applied;
    entry.on_reload(
        [&] { applied += std::to_string(entry.settings().admission->weight_of("quote")) + " "; });
    const auto reload_twice = [&]() -> asio::awaitable<void> {
        asio::steady_timer timer(entry.context());
        const auto pause = [&]() -> asio::awaitable<void> {
            timer.expires_after(std::chrono::milliseconds(50));
            co_await timer.async_wait(asio::use_awaitable);
        };
        co_await pause();
        for (const char* weight : {"3", "-1"}) {
            write_settings(path, weight);
            std::raise(SIGHUP);
            co_await pause();
        }
        std::raise(SIGTERM);
    };
    const int saved_output = dup(STDOUT_FILENO);
    REQUIRE(std::freopen(output.c_str(), "w", stdout) != nullptr);
    spawn(entry.context().get_executor(), reload_twice());
    entry.run([]() -> asio::awaitable<void> { co_return; });
    dup2(saved_output, STDOUT_FILENO);
    close(saved_output);
    unsetenv("CAROBFALL_SETTINGS"); // NOLINT(concurrency-mt-unsafe)
    CHECK(applied == "3.000000 ");
    CHECK(entry.settings().admission->weight_of("quote") == 3);
    std::ostringstream log;
    log << std::ifstream(output).rdbuf();
    CHECK(log.str().find("event=settings_refused cause=signal") != std::string::npos);
    CHECK(log.str().find("admission.shares.quote") != std::string::npos);
    std::filesystem::remove_all(folder);
}
