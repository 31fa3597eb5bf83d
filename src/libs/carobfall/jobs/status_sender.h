#pragma once

#include "carobfall/base/event_log.h"
#include "carobfall/base/histogram.h"
#include "carobfall/fleet/fleet.pb.h"
#include "carobfall/jobs/entry_link_set.h"
#include "carobfall/jobs/operator_view.h"
#include "carobfall/jobs/process_identity.h"
#include "carobfall/jobs/worker_ledger.h"

#include <absl/time/time.h>

#include <cstdint>
#include <functional>

namespace carobfall {

/// What an agent says of itself beside what its ledger holds.
struct agent_condition {
    bool accepting{false};
    bool past_runs_gone{false};

    bool operator==(const agent_condition&) const = default;
};

/// Tells entries what they have to hear of an agent: the ends of their tasks at once, its room and
/// its condition after a change and now and then, and what operators have decided.
class status_sender {
public:
    /// `condition`: as it is at the time of the call.
    status_sender(process_identity identity, worker_ledger& ledger, entry_link_set& links,
                  operator_view& operators, event_log& log, metrics_registry& metrics,
                  std::function<agent_condition()> condition);

    /// The worker has announced itself or has left.
    void update_description();
    /// Something of a status has changed.
    void note_change() { changed_ = true; }
    /// Sends the status on one link, with what else is in the frame.
    void send(entry_link& link, fleet::agent_frame& frame, absl::Time now);
    /// Sends what operators have decided to entries that don't hold it.
    void send_news(absl::Time now);
    /// Sends ends of tasks and every status that is due.
    void send_due(absl::Time now);

private:
    /// Entries without events hear of changed room this often.
    [[nodiscard]] absl::Duration status_interval() const;
    void fill_status(fleet::agent_status& status, entry_link& link, absl::Time now) const;
    /// Whether the entry has to be told what operators have decided.
    [[nodiscard]] bool has_news_for(const entry_link& link) const;
    void log_event(const session_event& event, absl::Time now);

    const process_identity identity_;
    worker_ledger& ledger_;
    entry_link_set& links_;
    operator_view& operators_;
    event_log& log_;
    metrics_registry& metrics_;
    const std::function<agent_condition()> condition_;

    fleet::agent_status description_; ///< only what doesn't change with every task
    std::uint64_t description_number_{0};
    agent_condition sent_condition_;
    absl::Time sent_at_{absl::InfinitePast()};
    bool changed_{false};
};

} // namespace carobfall
