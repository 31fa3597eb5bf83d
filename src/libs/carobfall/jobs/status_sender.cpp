#include "carobfall/jobs/status_sender.h"

#include "carobfall/base/strings.h"
#include "carobfall/jobs/worker_status.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <map>
#include <utility>

namespace carobfall {
namespace {

// The interval grows with the number of entries. So an entry reads no more reports when there are
// more entries. With 13 entries, reports every 60 ms serve the replayed load equally well, since
// agents return orders that would wait. With 4 entries, high load is served a little worse at 40 ms
// than at 20 ms.
constexpr absl::Duration status_interval_per_link = absl::Milliseconds(5);
constexpr absl::Duration min_status_interval = absl::Milliseconds(20);

} // namespace

status_sender::status_sender(process_identity identity, worker_ledger& ledger,
                             const worker_contact& contact, entry_link_set& links,
                             operator_view& operators, event_log& log, metrics_registry& metrics,
                             std::function<agent_condition()> condition)
    : identity_(std::move(identity)),
      ledger_(ledger),
      contact_(contact),
      links_(links),
      operators_(operators),
      log_(log),
      metrics_(metrics),
      condition_(std::move(condition))
{
    update_description();
}

void status_sender::update_description()
{
    fleet::agent_status description;
    description.set_name(identity_.name);
    description.set_incarnation(identity_.incarnation);
    description.set_data_centre(identity_.data_centre);
    describe_worker(ledger_, description);
    if (description.SerializeAsString() != description_.SerializeAsString()) {
        description_ = std::move(description);
        ++description_number_;
        changed_ = true;
    }
}

absl::Duration status_sender::status_interval() const
{
    return std::max(min_status_interval,
                    status_interval_per_link * static_cast<std::int64_t>(links_.open_count()));
}

void status_sender::fill_status(fleet::agent_status& status, entry_link& link, absl::Time now) const
{
    if (link.description_sent() != description_number_) {
        status = description_;
        link.set_description_sent(description_number_);
    }
    const agent_condition condition = condition_();
    status.set_accepting(condition.accepting && link.takes_orders());
    status.set_past_runs_gone(condition.past_runs_gone);
    status.set_orders_received(link.orders_received());
    describe_load(ledger_, now, status);
    status.set_interruptions_per_1000_s(
        static_cast<std::uint32_t>(contact_.interruptions_per_s(now) * 1000));
}

void status_sender::send(entry_link& link, fleet::agent_frame& frame, absl::Time now)
{
    fill_status(*frame.mutable_status(), link, now);
    set_operator_state_stamp(frame, operators_.stamp());
    link.send(frame, now);
}

void status_sender::log_event(const session_event& event, absl::Time now)
{
    log_.write(log_fields("task_ended")
                   .add("job", event.event.job_id())
                   .add("task", event.event.index())
                   .add("attempt", event.event.attempt())
                   .add("kind", fleet::task_event_kind_Name(event.event.kind()))
                   .add("reason", event.event.reason())
                   .add("run_ms", event.event.run_ms()),
               now);
    metrics_.add(absl::StrCat("task_ends_total{kind=\"",
                              fleet::task_event_kind_Name(event.event.kind()), "\"}"));
}

void status_sender::log_decision(const ledger_decision& decision, absl::Time now)
{
    log_.write(log_fields("task_decision")
                   .add("job", decision.task.job_id)
                   .add("task", decision.task.index)
                   .add("run", decision.task.run)
                   .add("reason", decision.reason)
                   .add("passed_ms", absl::ToInt64Milliseconds(decision.passed))
                   .add("expected_ms", absl::ToInt64Milliseconds(decision.expected))
                   .add("limit_ms", absl::ToInt64Milliseconds(decision.limit))
                   .add("knowledge_ms", absl::ToInt64Milliseconds(decision.age)),
               now);
    metrics_.add(absl::StrCat("task_decisions_total{reason=\"", to_absl(decision.reason), "\"}"));
}

void status_sender::send_due(absl::Time now)
{
    for (const ledger_decision& decision : ledger_.take_decisions()) {
        log_decision(decision, now);
    }
    changed_ = changed_ || ledger_.has_events() || condition_() != sent_condition_;
    std::map<session_number, fleet::agent_frame> frames;
    for (session_event& event : ledger_.take_events()) {
        log_event(event, now);
        *frames[event.session].add_events() = std::move(event.event);
    }
    const bool all_due = changed_ && now - sent_at_ >= status_interval();
    links_.for_each_open([&](entry_link& link) {
        const auto frame = frames.find(link.session());
        if (frame != frames.end()) {
            send(link, frame->second, now);
        } else if (all_due || now - link.last_sent() >= link_frame_interval) {
            fleet::agent_frame empty;
            send(link, empty, now);
        }
    });
    if (all_due) {
        sent_at_ = now;
        sent_condition_ = condition_();
        changed_ = false;
    }
}

} // namespace carobfall
