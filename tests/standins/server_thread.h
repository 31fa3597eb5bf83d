#pragma once

#include <httplib.h>
#include <sys/socket.h>

#include <chrono>
#include <cstdint>
#include <string>
#include <thread>

namespace carobfall::testing {

/// Runs a server of the HTTP library on a thread of its own. `server` has to outlive this.
class server_thread {
public:
    explicit server_thread(httplib::Server& server) : server_(server)
    {
        server_.set_tcp_nodelay(true);
        // The library's default lets several processes share the port.
        server_.set_socket_options([](socket_t socket) {
            const int yes = 1;
            setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof(yes));
        });
    }
    ~server_thread() { stop(); }
    server_thread(const server_thread&) = delete;
    server_thread& operator=(const server_thread&) = delete;

    /// Port 0 lets the kernel choose. Returns the port; 0 if the address can't be bound.
    std::uint16_t start(const std::string& ip, std::uint16_t port)
    {
        const int bound =
            port == 0 ? server_.bind_to_any_port(ip) : (server_.bind_to_port(ip, port) ? port : 0);
        if (bound <= 0) {
            return 0;
        }
        thread_ = std::thread([this] { server_.listen_after_bind(); });
        while (!server_.is_running()) {
            std::this_thread::sleep_for(std::chrono::milliseconds(1));
        }
        return static_cast<std::uint16_t>(bound);
    }

    void stop()
    {
        if (thread_.joinable()) {
            server_.stop();
            thread_.join();
        }
    }

private:
    httplib::Server& server_;
    std::thread thread_;
};

} // namespace carobfall::testing
