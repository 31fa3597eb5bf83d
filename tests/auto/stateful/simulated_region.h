#pragma once

#include "agent_process.h"
#include "claim_invariants.h"
#include "cooperative_scheduler.h"
#include "entry_process.h"
#include "fake_network.h"
#include "mutations.h"
#include "oracle.h"

#include "../support/fake_table_service.h"

#include <atomic>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace carobfall::stateful {

/// Default number of entries.
inline constexpr int entry_count = 3;
inline constexpr int agent_count = 4;

/// Initial `max_deadline` of the templates.
inline constexpr absl::Duration long_deadline = absl::Seconds(60);
inline constexpr absl::Duration heartbeat_interval = absl::Milliseconds(500);

/// Simulated region: entries and four agents in three data centres, the table service, clients and
/// operators. Time moves only by `run` and `advance`. All calls come from the controlling thread.
///
/// A step of a process does its periodic work once; see `entry_process::step` and
/// `agent_process::step`. Requests of clients and operators run on threads of the scheduler, which
/// `run` resumes.
class simulated_region {
public:
    explicit simulated_region(rule_removed mutation = rule_removed::none,
                              int entries = entry_count);
    ~simulated_region();
    simulated_region(const simulated_region&) = delete;
    simulated_region& operator=(const simulated_region&) = delete;

    [[nodiscard]] absl::Time now() const { return absl::FromUnixMicros(now_us_); }
    /// Clock of a process. Reading it is a yield point; it is far in the future once the process is
    /// dead.
    [[nodiscard]] clock_function clock_of(process_control& control);
    [[nodiscard]] rule_removed mutation() const { return mutation_; }
    cooperative_scheduler& scheduler() { return scheduler_; }
    fake_network& network() { return network_; }
    testing::fake_table_service& table() { return table_; }
    oracle& checker() { return checker_; }
    claim_invariants& claims() { return claims_; }
    [[nodiscard]] int entries() const { return static_cast<int>(entries_.size()); }

    /// Null while the process is dead.
    [[nodiscard]] std::shared_ptr<entry_process> entry(const std::string& name) const;
    [[nodiscard]] std::shared_ptr<entry_process> entry(int index) const;
    [[nodiscard]] std::shared_ptr<agent_process> agent(const std::string& name) const;
    [[nodiscard]] std::shared_ptr<agent_process> agent(int index) const;
    [[nodiscard]] const std::vector<std::string>& entry_names() const { return entry_names_; }
    /// True if the address refuses connections.
    [[nodiscard]] bool refuses(const std::string& address) const;

    /// In each round, advances the time by `interval`, steps the agents (and the entries once per
    /// heartbeat interval) and resumes the parked threads.
    void run(int rounds, absl::Duration interval = absl::Milliseconds(100));
    /// Runs one step of the process, unless it is dead or paused.
    void step_entry(int index);
    void step_agent(int index);
    void advance(absl::Duration time);

    void start_entry(int index);
    void kill_entry(int index);
    void pause_entry(int index, bool paused);
    /// Sends SIGTERM: the entry finishes its work, leaves the view and ends.
    void leave_entry(int index);
    void restart_agent(int index);
    void pause_agent(int index, bool paused);
    /// Ends the entries that were removed from the view or have completed their shutdown.
    void end_superseded();

    /// Sends a client's request to the entry; the oracle receives the answer.
    void submit(int entry, const rpc::submission_request& request);
    void query_status(int entry, const rpc::submission_request& request);
    void cancel(int entry, const submission_key& key);
    /// Sends an operator's request to take a data centre out or bring it back.
    void change_data_centre(int entry, const std::string& name, bool out);
    /// Commits the account and its templates with this `max_deadline`. No faults are injected.
    void declare(absl::Duration max_deadline);
    [[nodiscard]] rpc::submission_request request_for(int id, int body);

    /// Reports new committed changes of data centres to the oracle.
    void report_committed_changes();
    /// Runs until the region is healthy: entries usable and complete, agents registered with a
    /// lease.
    bool begin();
    /// Ends all faults and runs until the region is healthy again.
    bool recover();
    [[nodiscard]] bool is_healthy() const;
    [[nodiscard]] std::string violation();

    // Calls from agents.
    result<rpc::register_reply> register_agent(agent_process& from, const std::string& entry,
                                               const rpc::register_request& request);
    result<rpc::beat_reply> agent_beat(agent_process& from, const std::string& entry,
                                       const rpc::beat_request& request);
    bool report(agent_process& from, const std::string& entry, const rpc::report_request& request);

private:
    template <typename Reply>
    result<Reply> call_entry(agent_process& from, const std::string& entry,
                             const std::function<Reply(entry_process&)>& action);

    const rule_removed mutation_;
    std::atomic<std::int64_t> now_us_;
    std::atomic<std::int64_t> dead_clock_reads_{0};
    testing::fake_table_service table_;
    oracle checker_;
    claim_invariants claims_;
    std::vector<std::string> entry_names_;
    std::vector<int> generations_;
    std::map<int, std::int64_t> deadlines_; ///< by id, set at its first request
    int agent_generation_{0};
    int changes_{0};
    std::uint64_t reported_version_{0};
    /// Dead processes, kept because threads may still execute their code.
    std::vector<std::shared_ptr<entry_process>> dead_entries_;
    std::vector<std::shared_ptr<agent_process>> dead_agents_;
    std::vector<std::shared_ptr<entry_process>> entries_;
    std::vector<std::shared_ptr<agent_process>> agents_;
    cooperative_scheduler scheduler_;
    fake_network network_{scheduler_};
};

/// Suppresses the log output of simulated failures.
void silence_logs();

} // namespace carobfall::stateful
