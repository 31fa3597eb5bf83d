#pragma once

#include "carobfall/agent/agent_server.h"
#include "carobfall/agent/entry_session_set.h"
#include "carobfall/agent/start_lease.h"
#include "carobfall/agent/task_executor.h"
#include "carobfall/agent/task_ledger.h"
#include "carobfall/backend/announcement_server.h"
#include "carobfall/backend/backend_registration.h"
#include "carobfall/base/clock.h"
#include "carobfall/base/histogram.h"
#include "carobfall/base/http_server.h"
#include "carobfall/config/agent_settings.h"

#include <absl/time/time.h>
#include <nlohmann/json_fwd.hpp>

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace carobfall {

/// Limits of an agent that are not configurable.
struct agent_limits {
    /// Validity of an announcement of the backend server. After a crash of the backend server, the
    /// agent starts tasks for at most this time.
    absl::Duration backend_validity{absl::Seconds(3)};
    /// Maximum size of a result. A report call carries at least one result, and gRPC receivers
    /// accept 4 MiB by default.
    std::size_t max_task_result_bytes{std::size_t{1024} * 1024};
    /// Maximum time that a shutdown waits for the delivery of reports after the last task has
    /// finished.
    absl::Duration report_timeout{absl::Seconds(10)};
};

/// Owns and connects the components of one agent.
class agent_daemon {
public:
    agent_daemon(agent_settings settings, agent_limits limits, entry_channel_factory make_channel,
                 clock_function clock);
    ~agent_daemon();
    agent_daemon(const agent_daemon&) = delete;
    agent_daemon& operator=(const agent_daemon&) = delete;

    /// Opens the ports and starts the sessions with the entries. Errors: `unavailable` if a port is
    /// in use, `invalid_request` if the operator address is malformed or the address for
    /// announcements isn't on the loopback interface.
    result<void> start();

    /// Refuses new tasks and the queued ones, waits for the running tasks, then for the delivery of
    /// reports (at most for `report_timeout`), and sends a last heartbeat to the entries.
    void drain();

    [[nodiscard]] std::uint16_t grpc_port() const { return server_.port(); }
    [[nodiscard]] int operator_port() const { return operator_server_.port(); }
    [[nodiscard]] int announcement_port() const { return announcement_server_.port(); }
    [[nodiscard]] task_ledger& ledger() { return ledger_; }

private:
    session_environment make_environment();
    std::optional<rpc::agent_info> agent_info() const;
    rpc::beat_request make_heartbeat() const;
    void handle_heartbeat_reply(const rpc::beat_reply& reply, absl::Time send_time);
    void handle_view(const rpc::entry_view& view);
    void handle_announcement(const announcement& backend, absl::Time valid_until);
    void fetch_configuration(std::uint64_t configuration_version);
    void post(pending_report report);
    void maintain();
    void sweep();
    nlohmann::json state() const;
    std::string metrics_text() const;
    std::vector<std::string> unready_reasons() const;
    void wait_for_idle();
    void wait_for_reports();

    const agent_settings settings_;
    const agent_limits limits_;
    const clock_function clock_;
    const std::string incarnation_;

    metrics_registry metrics_;
    start_lease lease_;
    task_ledger ledger_;
    backend_registration registration_;
    announcement_server announcement_server_;
    const session_environment environment_;
    entry_session_set sessions_;
    task_executor executor_;
    agent_server server_;
    http_server operator_server_;
    std::atomic<bool> stopped_{false};
    std::mutex sweep_mutex_;
    std::thread maintenance_;
};

} // namespace carobfall
