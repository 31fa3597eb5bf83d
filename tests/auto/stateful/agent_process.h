#pragma once

#include "cooperative_scheduler.h"
#include "oracle.h"

#include "carobfall/agent/start_lease.h"
#include "carobfall/agent/task_ledger.h"

#include <memory>
#include <set>
#include <string>
#include <vector>

namespace carobfall::stateful {

class simulated_region;

/// Behaviour of the backend server beside an agent.
enum class backend_state {
    present,
    gone,   ///< refuses connections
    leaves, ///< has announced to its agent that it leaves
    silent, ///< no longer announces itself, but still accepts tasks
};

/// A simulated agent process with the real ledger and start lease, and the backend server beside
/// it. It has no threads: each function below does a part of the work of the agent's session and
/// executor threads.
class agent_process {
public:
    agent_process(simulated_region& region, const std::string& name, std::string incarnation,
                  std::string data_centre);

    process_control control;

    [[nodiscard]] const rpc::agent_info& info() const { return info_; }
    task_ledger& ledger() { return *ledger_; }
    start_lease& lease() { return lease_; }

    /// Renews the announcement of the backend server while it is present.
    void announce_backend();
    /// Registers where needed and sends a heartbeat to every entry.
    void maintain_sessions();
    /// Takes queued tasks from the ledger: the first half of a start.
    void take_tasks();
    /// Confirms the tasks that were taken and sends them to the backend server: the second half of
    /// a start.
    void confirm_tasks();
    /// Finishes the tasks whose run time has elapsed, and delivers the reports.
    void finish_tasks();
    /// Announces the backend server, maintains sessions, and takes, confirms and finishes tasks.
    void step();
    void set_backend(backend_state next);
    /// Handles SIGTERM: returns the queued tasks and finishes the started ones.
    void leave();
    /// True if after `leave` all work is done and reported.
    [[nodiscard]] bool has_left() const;
    [[nodiscard]] std::size_t unfinished() const { return ledger_->load().running(); }

private:
    struct running_task {
        startable_task task;
        absl::Time end;
    };
    struct unsent_report {
        task_key key;
        std::uint32_t attempt{0};
        rpc::entry_member coordinator;
    };

    void beat(const std::string& entry);
    void add_reports(const std::vector<pending_report>& reports);
    void deliver_reports();
    [[nodiscard]] rpc::beat_request make_heartbeat(absl::Time now) const;

    simulated_region& region_;
    rpc::agent_info info_;
    start_lease lease_;
    std::unique_ptr<task_ledger> ledger_;
    backend_state backend_{backend_state::present};
    absl::Time backend_left_at_{absl::InfiniteFuture()};
    absl::Time left_at_{absl::InfiniteFuture()};
    std::set<std::string> registered_; ///< names of the entries that confirmed the registration
    std::vector<startable_task> taken_;
    std::vector<running_task> running_;
    std::vector<unsent_report> unsent_;
};

} // namespace carobfall::stateful
