#pragma once

#include "carobfall/agent/entry_link.h"
#include "carobfall/agent/task_record.h"
#include "carobfall/base/clock.h"
#include "carobfall/rpc/carobfall.pb.h"

#include <absl/time/time.h>

#include <condition_variable>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>

namespace carobfall {

/// What a session asks of the agent and tells it. Called without a lock, from several threads.
struct session_environment {
    /// This agent as it registers; nothing until the backend server has announced itself.
    std::function<std::optional<rpc::agent_info>()> agent;
    /// A heartbeat without its send time.
    std::function<rpc::beat_request()> beat;
    std::function<void(const rpc::beat_reply& reply, absl::Time send_time)> beat_answered;
    std::function<void(const rpc::entry_view& view)> view_received;
    /// Content of a report; nothing if it is obsolete.
    std::function<std::optional<rpc::task_report>(const pending_report& report)> report;
    clock_function clock;
    /// This agent, for the choice of the entry that renews its lease.
    std::string name;
    std::string data_centre;
    /// Interval of heartbeats to the entry that renews the lease, and to entries that grant none.
    absl::Duration beat_interval{absl::Seconds(1)};
    /// Interval of heartbeats to the other entries, unless the entry allows a longer one. Entries
    /// take an agent for failed after 3.5 s (`heartbeat_timeout`), so that one call may time out.
    absl::Duration standby_interval{absl::Seconds(2)};
    /// Time limit of one call. Well below the validity of a lease, so that a slow entry doesn't
    /// keep a renewal from arriving.
    absl::Duration call_limit{absl::Milliseconds(500)};
};

/// What the last heartbeat of a session brought.
enum class lease_grant {
    none,
    standby,  ///< a lease, from an entry that was told that another one renews the lease
    renewing, ///< a lease, from an entry that expects frequent heartbeats
};

/// What a heartbeat says of the entry that renews the lease.
struct lease_entry {
    std::uint64_t incarnation_hash{0}; ///< `beat_request::lease_entry`
    bool is_receiver{true};            ///< the receiver may take itself for that entry
};

/// What a session asks of its set and tells it. Called without a lock.
struct session_hooks {
    std::function<void()> grant_changed{[] {}};
    std::function<lease_entry()> renewing_entry{[] { return lease_entry{}; }};
};

/// State of a session for dumps.
struct session_state {
    std::string address;
    bool registered{false};
    bool report_only{false};
    bool renews_lease{true}; ///< gets frequent heartbeats
    std::size_t pending_reports{0};
    std::uint64_t failed_calls{0};
    absl::Time last_contact{absl::InfinitePast()};
    std::string last_error;
};

/// Contact with one entry on a thread of its own: registration, heartbeats, and delivery of
/// reports until they are acknowledged or their record expires. A report may be delivered twice.
class entry_session {
public:
    /// `environment` has to outlive the session. A report-only session sends no heartbeats.
    entry_session(std::string address, std::unique_ptr<entry_link> link,
                  const session_environment& environment, bool report_only,
                  session_hooks hooks = {});
    ~entry_session();
    entry_session(const entry_session&) = delete;
    entry_session& operator=(const entry_session&) = delete;

    void post(pending_report report);
    /// Begins with registration and heartbeats in a report-only session.
    void promote();
    /// Sends the next heartbeat at once.
    void beat_now();
    /// Chooses the interval of the heartbeats. The first one of the shorter interval is sent at
    /// once.
    void set_renews_lease(bool renews);
    [[nodiscard]] lease_grant grant() const;
    /// Ends the thread after the call in progress; undelivered reports are dropped.
    void request_stop();

    [[nodiscard]] std::size_t pending_reports() const;
    [[nodiscard]] session_state state() const;
    /// Time of the last `post`, or of the construction.
    [[nodiscard]] absl::Time last_post() const;

private:
    void run();
    bool stopping() const;
    void keep_contact(absl::Time now);
    [[nodiscard]] absl::Time next_contact() const;
    void note_grant(lease_grant grant);
    bool keep_registered(absl::Time now);
    void send_beat(absl::Time now);
    void deliver_reports(absl::Time now);
    rpc::report_request next_batch(absl::Time now, std::size_t& taken);
    void remove_front(std::size_t count);
    void wait_until_due();
    void note_success(absl::Time now);
    void note_failure(const error& problem);

    const std::string address_;
    const std::unique_ptr<entry_link> link_;
    const session_environment& environment_;
    const session_hooks hooks_;

    // Used by the thread of the session only.
    std::optional<rpc::agent_info> registered_as_;
    absl::Time last_contact_{absl::InfinitePast()};
    absl::Time next_delivery_{absl::InfinitePast()};
    absl::Duration standby_interval_;
    absl::Duration delivery_backoff_{absl::ZeroDuration()};

    mutable std::mutex mutex_;
    std::condition_variable changed_;
    std::deque<pending_report> outbox_;
    session_state state_;
    absl::Time last_post_;
    bool beat_requested_{false};
    lease_grant grant_{lease_grant::none};
    bool stopping_{false};

    std::thread thread_; // last, so that it starts with all members in place
};

} // namespace carobfall
