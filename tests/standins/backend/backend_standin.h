#pragma once

#include "../server_thread.h"

#include <absl/time/time.h>
#include <httplib.h>
#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <mutex>
#include <random>
#include <string>
#include <thread>

namespace carobfall {

/// Behaviour of a `backend_standin`.
struct standin_options {
    std::string name{"backend-1"};
    std::string agent; ///< ip:port of the agent's announcement server; empty: none
    std::uint16_t port{0};
    std::uint32_t slots{8};
    std::uint32_t processors{64};
    std::uint64_t memory_mib{262'144};
    std::uint32_t run_ms{50};     ///< shortest run, unless the task names `run_ms`
    std::uint32_t run_max_ms{50}; ///< longest run; uniform in between
    double straggler_share{0};    ///< share of all tasks that run for `straggler_ms`
    std::uint32_t straggler_ms{5000};
    bool fail{false}; ///< answer every task with status 500
    bool hang{false}; ///< send no responses while set
    std::uint64_t seed{1};
    std::string starts_file; ///< log of starts that outlives the process; empty: none
};

/// A backend server for tests. It announces itself to an agent, runs tasks by sleeping, and logs
/// each start. GET /starts returns the log as JSON lines; tests compare it with the answers.
/// POST /control takes {"fail": bool, "hang": bool, "leave": bool, "announce": bool}.
class backend_standin {
public:
    explicit backend_standin(standin_options options);
    ~backend_standin();
    backend_standin(const backend_standin&) = delete;
    backend_standin& operator=(const backend_standin&) = delete;

    /// False if the port is taken.
    bool start();
    /// Announces the departure to the agent and waits for tasks that may still arrive.
    void leave();
    [[nodiscard]] std::uint16_t port() const { return port_; }
    [[nodiscard]] std::string starts() const;

private:
    void run_task(const httplib::Request& request, httplib::Response& response);
    void log_start(const httplib::Request& request, std::uint32_t run_ms);
    std::uint32_t choose_run_ms(const nlohmann::json& body);
    void control(const httplib::Request& request, httplib::Response& response);
    void announce_repeatedly();
    absl::Duration announce();
    void send_leave();
    bool hanging() const;

    const standin_options options_;
    httplib::Server server_;
    std::uint16_t port_{0};
    testing::server_thread thread_{server_};
    std::thread announcer_;

    mutable std::mutex mutex_;
    std::mt19937_64 random_;
    std::string starts_;
    bool fail_;
    bool hang_;
    bool announcing_{true};
    bool stopping_{false};
};

} // namespace carobfall
