#include "carobfall/backend/http_listener.h"

#include <absl/strings/str_cat.h>
#include <absl/time/clock.h>
#include <httplib.h>

#include <sys/socket.h>

namespace carobfall {
namespace {

void allow_reuse_after_close(socket_t socket)
{
    const int yes = 1;
    setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof(yes));
}

} // namespace

http_listener::http_listener(httplib::Server& server) : server_(server)
{
    server_.set_socket_options(allow_reuse_after_close);
}

http_listener::~http_listener()
{
    stop();
}

result<void> http_listener::start(const std::string& address, std::uint16_t port)
{
    const int bound = port == 0 ? server_.bind_to_any_port(address)
                                : (server_.bind_to_port(address, port) ? port : -1);
    if (bound <= 0) {
        return failure(error_kind::unavailable,
                       absl::StrCat("cannot listen on ", address, ":", port),
                       "choose a free port and an address of this machine");
    }
    port_ = static_cast<std::uint16_t>(bound);
    thread_ = std::thread([this] { server_.listen_after_bind(); });
    // A stop before the server runs would have no effect.
    while (!server_.is_running()) {
        absl::SleepFor(absl::Milliseconds(1));
    }
    return success();
}

void http_listener::stop()
{
    if (thread_.joinable()) {
        server_.stop();
        thread_.join();
    }
}

} // namespace carobfall
