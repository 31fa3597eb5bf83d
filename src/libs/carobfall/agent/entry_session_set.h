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

/// The sessions with the entries of the settings and of the current view, one per address. One
/// member of the view renews the lease: the first in rendezvous order that grants one, members in
/// the agent's data centre before others. While none does, all are asked. The others are told which
/// one it is as soon as it knows, because it tells them whether it hears the agent. Thread-safe.
class entry_session_set {
public:
    /// `environment` has to outlive the set.
    entry_session_set(std::vector<std::string> seed_addresses, entry_link_factory make_link,
                      const session_environment& environment);
    ~entry_session_set();
    entry_session_set(const entry_session_set&) = delete;
    entry_session_set& operator=(const entry_session_set&) = delete;

    void start();

    /// Starts and stops sessions for a view that is higher than the one known. True if it is.
    /// Undelivered reports to an entry that is no longer a member are dropped: its successor
    /// fetches the states.
    bool adopt_view(const rpc::entry_view& view);

    /// Hands the report to the session of its coordinator. A coordinator that isn't known yet gets
    /// a report-only session.
    void post(pending_report report);

    /// Joins the threads of sessions that have ended, and ends idle report-only sessions.
    void collect(absl::Time now);

    void beat_now();
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
    const entry_link_factory make_link_;
    const session_environment& environment_;

    mutable std::mutex mutex_;
    std::uint64_t view_number_{0};
    std::vector<std::string> lease_order_; ///< addresses of the members, the preferred first
    std::map<std::string, std::uint64_t, std::less<>> incarnations_; ///< hashes, by address
    std::string lease_address_;         ///< of the entry that renews the lease; empty: none
    std::uint64_t told_lease_entry_{0}; ///< what the other entries are told
    session_map sessions_;
    /// A session can be retired by its own thread, which can't join itself.
    std::vector<std::unique_ptr<entry_session>> retired_;
    bool stopped_{false};
};

} // namespace carobfall
