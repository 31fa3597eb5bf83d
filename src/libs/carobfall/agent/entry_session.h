#pragma once

#include "carobfall/agent/entry_channel.h"
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

/// Callbacks into the agent and settings that all sessions share. The callbacks are called without
/// a lock, from the threads of the sessions.
struct session_environment {
    /// Returns the registration data of this agent; nothing until the backend server has announced
    /// itself.
    std::function<std::optional<rpc::agent_info>()> agent;
    /// Returns a heartbeat, to which the session adds the send time and the lease entry.
    std::function<rpc::beat_request()> heartbeat;
    std::function<void(const rpc::beat_reply& reply, absl::Time send_time)>
        heartbeat_reply_received;
    std::function<void(const rpc::entry_view& view)> view_received;
    /// Returns the content of a report; nothing if the report is obsolete.
    std::function<std::optional<rpc::task_report>(const pending_report& report)> report;
    clock_function clock;
    /// Name and data centre of this agent, which determine the order of preference of lease
    /// entries.
    std::string name;
    std::string data_centre;
    /// Interval of heartbeats to the lease entry, each of which renews the lease. Also the interval
    /// of heartbeats to entries that have not granted a lease.
    absl::Duration heartbeat_interval{absl::Seconds(1)};
    /// Interval of heartbeats to the other entries, unless the entry allows a longer one. Entries
    /// consider an agent failed after 3.5 s (`heartbeat_timeout`), so one call may time out.
    absl::Duration standby_interval{absl::Seconds(2)};
    /// Timeout of one call. Well below the validity of a lease, so that a call to a slow entry can
    /// be followed by a renewal before the lease expires.
    absl::Duration call_timeout{absl::Milliseconds(500)};
};

/// Whether the last heartbeat of a session was granted a lease, and by which kind of entry.
enum class lease_grant {
    none,
    standby,  ///< a lease, granted to a heartbeat that advertised another lease entry
    renewing, ///< a lease, granted by an entry that expects frequent heartbeats
};

/// The lease entry as advertised in a heartbeat.
struct lease_entry {
    std::uint64_t incarnation_hash{0}; ///< `beat_request::lease_entry`
    bool is_receiver{true};            ///< the heartbeat goes to the lease entry, or none is chosen
};

/// Callbacks of a session into the set that owns it. Called without a lock.
struct session_hooks {
    std::function<void()> grant_changed{[] {}};
    std::function<lease_entry()> renewing_entry{[] { return lease_entry{}; }};
};

/// State of a session for dumps.
struct session_state {
    std::string address;
    bool registered{false};
    bool report_only{false};
    bool renews_lease{true}; ///< receives frequent heartbeats
    std::size_t pending_reports{0};
    std::uint64_t failed_calls{0};
    absl::Time last_contact{absl::InfinitePast()};
    std::string last_error;
};

/// Communicates with one entry on its own thread: registers the agent, sends heartbeats, and
/// delivers reports until they are acknowledged or their record expires. A report may be delivered
/// more than once.
class entry_session {
public:
    /// `environment` has to outlive the session. A report-only session sends no heartbeats.
    entry_session(std::string address, std::unique_ptr<entry_channel> channel,
                  const session_environment& environment, bool report_only,
                  session_hooks hooks = {});
    ~entry_session();
    entry_session(const entry_session&) = delete;
    entry_session& operator=(const entry_session&) = delete;

    /// Queues a report for delivery.
    void post(pending_report report);
    /// Starts registration and heartbeats if the session is report-only.
    void promote();
    /// Requests that the next heartbeat is sent immediately.
    void request_heartbeat();
    /// Sets whether heartbeats are sent at the interval for the lease entry. When this changes to
    /// true, a heartbeat is sent immediately.
    void set_renews_lease(bool renews);
    [[nodiscard]] lease_grant grant() const;
    /// Makes the thread end after the call in progress. Undelivered reports are dropped.
    void request_stop();

    [[nodiscard]] std::size_t pending_reports() const;
    [[nodiscard]] session_state state() const;
    /// Time of the last `post`, or of the construction.
    [[nodiscard]] absl::Time last_post() const;

private:
    void run();
    bool stopping() const;
    void send_due_heartbeat(absl::Time now);
    [[nodiscard]] absl::Time next_heartbeat() const;
    void update_grant(lease_grant grant);
    bool ensure_registered(absl::Time now);
    void send_heartbeat(absl::Time now);
    void deliver_reports(absl::Time now);
    rpc::report_request next_batch(absl::Time now, std::size_t& taken);
    void remove_front(std::size_t count);
    void wait_until_due();
    void record_success(absl::Time now);
    void record_failure(const error& problem);

    const std::string address_;
    const std::unique_ptr<entry_channel> channel_;
    const session_environment& environment_;
    const session_hooks hooks_;

    // Accessed only by the thread of the session.
    std::optional<rpc::agent_info> registered_as_;
    absl::Time last_heartbeat_{absl::InfinitePast()};
    absl::Time next_delivery_{absl::InfinitePast()};
    absl::Duration standby_interval_;
    absl::Duration delivery_backoff_{absl::ZeroDuration()};

    mutable std::mutex mutex_;
    std::condition_variable changed_;
    std::deque<pending_report> outbox_;
    session_state state_;
    absl::Time last_post_;
    bool heartbeat_requested_{false};
    lease_grant grant_{lease_grant::none};
    bool stopping_{false};

    std::thread thread_; // last, so that it starts after all other members are initialised
};

} // namespace carobfall
