#pragma once

#include "carobfall/base/event_log.h"
#include "carobfall/base/histogram.h"
#include "carobfall/fleet/fleet.pb.h"
#include "carobfall/jobs/entry_link_set.h"
#include "carobfall/jobs/operator_view.h"
#include "carobfall/jobs/process_identity.h"
#include "carobfall/jobs/worker_contact.h"
#include "carobfall/jobs/worker_ledger.h"

#include <absl/time/time.h>

#include <cstdint>
#include <functional>

namespace carobfall {

/// Readiness of an agent. Entries receive it together with the contents of the worker ledger.
struct agent_condition {
    bool accepting{false};
    bool past_runs_gone{false};

    bool operator==(const agent_condition&) const = default;
};

/// Sends the state of an agent to entries: the ends of tasks at once, and room and condition after
/// a change and at intervals.
class status_sender {
public:
    /// `condition`: called for each status; returns the current condition of the agent.
    status_sender(process_identity identity, worker_ledger& ledger, const worker_contact& contact,
                  entry_link_set& links, operator_view& operators, event_log& log,
                  metrics_registry& metrics, std::function<agent_condition()> condition);

    /// Updates the description after the worker has announced itself or has left.
    void update_description();
    /// Makes `send_due` send the status to all entries once the status interval has passed.
    void mark_changed() { changed_ = true; }
    /// Sends the status on one link, together with the rest of the frame.
    void send(entry_link& link, fleet::agent_frame& frame, absl::Time now);
    /// Sends the ends of tasks and every status that is due.
    void send_due(absl::Time now);

private:
    /// Shortest interval at which a changed status is sent to entries without events.
    [[nodiscard]] absl::Duration status_interval() const;
    void fill_status(fleet::agent_status& status, entry_link& link, absl::Time now) const;
    void log_event(const session_event& event, absl::Time now);
    void log_decision(const ledger_decision& decision, absl::Time now);

    const process_identity identity_;
    worker_ledger& ledger_;
    const worker_contact& contact_;
    entry_link_set& links_;
    operator_view& operators_;
    event_log& log_;
    metrics_registry& metrics_;
    const std::function<agent_condition()> condition_;

    fleet::agent_status description_; ///< only the fields that do not change with every task
    std::uint64_t description_number_{0};
    agent_condition sent_condition_;
    absl::Time sent_at_{absl::InfinitePast()};
    bool changed_{false};
};

} // namespace carobfall
