#pragma once

#include "carobfall/base/async_event.h"
#include "carobfall/base/event_log.h"
#include "carobfall/base/histogram.h"
#include "carobfall/jobs/entry_link_set.h"
#include "carobfall/jobs/incarnation_checker.h"
#include "carobfall/jobs/lease_obstacle.h"
#include "carobfall/jobs/operator_state_fetcher.h"
#include "carobfall/jobs/operator_state_provider.h"
#include "carobfall/jobs/operator_view.h"
#include "carobfall/jobs/process_identity.h"
#include "carobfall/jobs/report_schedule.h"
#include "carobfall/jobs/run_order_sender.h"
#include "carobfall/jobs/status_sender.h"
#include "carobfall/jobs/worker_contact.h"
#include "carobfall/jobs/worker_lease.h"
#include "carobfall/jobs/worker_ledger.h"
#include "carobfall/jobs/worker_orders.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace carobfall {

enum class announcement_effect {
    ignored, ///< outdated, or from a worker that has left
    repeated,
    changed,     ///< another worker, or the worker is in another state
    foreign,     ///< the process at the worker's address is another incarnation
    unconfirmed, ///< the process at the worker's address has not answered
};

/// Service of an agent. The agent runs beside one worker: it receives orders from entries, sends
/// orders to the worker and renews the worker's lease. All coroutines run on one thread.
class agent_service {
public:
    agent_service(const boost::asio::any_io_executor& executor, process_identity identity,
                  worker_orders& orders, operator_view& operators, event_log& log,
                  metrics_registry& metrics);

    /// Starts the coroutines that renew the lease and check deadlines.
    void start();
    /// Handles an announcement. Anyone may send one, so another incarnation than the present one is
    /// adopted only after the process at the worker's address has confirmed it. Takes less than 1
    /// s.
    boost::asio::awaitable<announcement_effect> announce(worker_announcement worker);
    /// Restores the worker from the announcement that an earlier agent stored. It is used until a
    /// heartbeat arrives, and only if the same incarnation of the worker still runs.
    boost::asio::awaitable<void> restore_worker(worker_announcement worker);
    /// Handles the deregistration of the worker. Its runs may go on until its process ends.
    void worker_left(std::string_view id);
    /// Records the addresses of entries, connects to those that are selected, and ends links to
    /// entries whose addresses have expired.
    void add_entries(const std::vector<std::string>& addresses);
    /// Accepts no more orders and returns the waiting tasks. Active runs go on.
    void drain();
    [[nodiscard]] bool is_idle() const { return ledger_.on_worker() == 0; }
    [[nodiscard]] std::size_t open_links() const { return links_.open_count(); }
    /// Returns the gauges of the agent as text, one per line.
    [[nodiscard]] std::string state_text(absl::Time now) const;

private:
    [[nodiscard]] bool is_present_worker(const worker_announcement& worker) const;
    /// Handles the first report of another incarnation with the id of the present worker.
    void begin_incarnation(const worker_report& report, absl::Time requested_at, absl::Time now);
    announcement_effect adopt(const worker_announcement& worker, absl::Time now);
    boost::asio::awaitable<void> renew_leases();
    boost::asio::awaitable<void> renew_lease(worker_announcement worker);
    /// Handles the answer to a renewal. Returns false if the worker has not answered.
    bool handle_renewal(const renewal_reply& reply, const worker_announcement& worker,
                        absl::Time requested_at, absl::Time now);
    boost::asio::awaitable<void> run_periodic_checks();

    void on_open(entry_link& link);
    void on_frame(entry_link& link, fleet::entry_frame& frame);
    void on_closed(session_number session, absl::Time permitted_until);
    /// Answers a request of the entry for the operator state, or takes a part of it.
    void exchange_operator_state(entry_link& link, const fleet::entry_frame& frame, absl::Time now);
    void request_operator_state(absl::Time now);
    /// Sends the due start and stop orders to the worker and schedules the frames to entries.
    void advance(absl::Time now);
    /// Ends links to entries that no longer permit runs. Called before each extension of the lease,
    /// because the process may have been paused since the last check.
    void drop_silent_entries(absl::Time now);
    /// Returns why the lease must not be extended now. An extension prolongs all runs of the
    /// worker, also runs that other processes expect to end.
    [[nodiscard]] lease_obstacle find_lease_obstacle(absl::Time now) const;
    /// Whether a renewal that is sent now extends the lease.
    [[nodiscard]] bool may_extend_lease(absl::Time now);
    /// Marks the worker as unreachable: it gets no new tasks until it answers again. Its runs may
    /// go on.
    void mark_worker_unreachable(std::string_view reason, absl::Time now);
    /// Ends the runs of the worker once its lease has ended.
    void check_lapse(absl::Time now);
    /// Removes the worker and its runs, and writes the log line `event`.
    void remove_worker(std::string_view id, std::string_view event, absl::Time now);
    [[nodiscard]] bool accepts_orders() const;
    [[nodiscard]] entry_link::hooks link_hooks();

    boost::asio::any_io_executor executor_;
    const process_identity identity_;
    worker_orders& orders_;
    operator_view& operators_;
    event_log& log_;
    metrics_registry& metrics_;

    worker_ledger ledger_;
    worker_lease lease_;
    worker_contact contact_;
    incarnation_checker incarnations_;
    run_order_sender run_orders_;
    entry_link_set links_;
    async_event worker_announced_;
    report_schedule reports_;
    async_event report_ended_;
    status_sender status_sender_;
    operator_state_fetcher state_fetcher_;
    operator_state_provider state_provider_;

    absl::Time incarnation_heard_at_{absl::InfinitePast()}; ///< its latest report, or its start
    bool reconciled_{false};     ///< a report has shown that no run of an earlier agent is left
    bool worker_leaving_{false}; ///< the worker has deregistered; removed after its last run
    bool draining_{false};
    bool advance_posted_{false};
    lease_obstacle lease_obstacle_{lease_obstacle::none}; ///< obstacle at the latest renewal
};

} // namespace carobfall
