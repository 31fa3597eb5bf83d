#pragma once

#include "carobfall/agent/entry_session.h"

#include <cstddef>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <vector>

namespace carobfall {

/// The sessions with the entries of the settings and of the current view, one per address.
/// Thread-safe.
///
/// One member of the view, the lease entry, renews the lease: the first in rendezvous order that
/// grants a lease, with members in the agent's data centre first. While no member grants a lease,
/// all receive frequent heartbeats. The lease entry reports to the others whether it receives the
/// agent's heartbeats. It is therefore advertised to them only after it has replied to a heartbeat
/// that named it.
class entry_session_set {
public:
    /// `environment` has to outlive the set.
    entry_session_set(std::vector<std::string> seed_addresses, entry_channel_factory make_channel,
                      const session_environment& environment);
    ~entry_session_set();
    entry_session_set(const entry_session_set&) = delete;
    entry_session_set& operator=(const entry_session_set&) = delete;

    void start();

    /// Starts and stops sessions according to `view`; false if its number is not higher than the
    /// current one. Undelivered reports to an entry that has left the view are dropped, because the
    /// entry that takes over its submissions fetches the task states.
    bool adopt_view(const rpc::entry_view& view);

    /// Queues the report in the session with its coordinator. Without such a session, a report-only
    /// session is started.
    void post(pending_report report);

    /// Stops idle report-only sessions, and joins the threads of sessions that were stopped.
    void reap_sessions(absl::Time now);

    /// Requests an immediate heartbeat to every entry.
    void request_heartbeat();
    /// Stops all sessions and joins their threads. Idempotent.
    void stop();

    [[nodiscard]] std::size_t pending_reports() const;
    [[nodiscard]] std::vector<session_state> states() const;
    [[nodiscard]] std::uint64_t view_number() const;

private:
    using session_map = std::map<std::string, std::unique_ptr<entry_session>, std::less<>>;

    void add(const std::string& address, bool report_only);
    void choose_lease_entry();
    void choose_lease_entry_locked();
    [[nodiscard]] lease_entry lease_entry_for(const std::string& address) const;
    session_map::iterator retire(session_map::iterator session);

    const std::set<std::string> seeds_;
    const entry_channel_factory make_channel_;
    const session_environment& environment_;

    mutable std::mutex mutex_;
    std::uint64_t view_number_{0};
    std::vector<std::string> lease_order_; ///< addresses of the members, most preferred first
    std::map<std::string, std::uint64_t, std::less<>> incarnations_; ///< hashes, by address
    std::string lease_address_;               ///< of the lease entry; empty: none
    std::uint64_t advertised_lease_entry_{0}; ///< hash advertised to the other entries; 0: none
    session_map sessions_;
    /// Stopped sessions to be joined by `reap_sessions`: a session may be retired by a callback on
    /// its own thread, which can't join itself.
    std::vector<std::unique_ptr<entry_session>> retired_;
    bool stopped_{false};
};

} // namespace carobfall
