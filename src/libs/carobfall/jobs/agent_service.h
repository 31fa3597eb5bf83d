#pragma once

#include "carobfall/base/async_event.h"
#include "carobfall/base/event_log.h"
#include "carobfall/base/histogram.h"
#include "carobfall/jobs/entry_link_set.h"
#include "carobfall/jobs/lease_obstacle.h"
#include "carobfall/jobs/operator_view.h"
#include "carobfall/jobs/process_identity.h"
#include "carobfall/jobs/report_schedule.h"
#include "carobfall/jobs/status_sender.h"
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
    ignored, ///< late, or of a worker that has left
    repeated,
    changed, ///< another worker, or another state of it
};

/// The process beside one worker: takes orders of entries, gives orders to the worker and keeps its
/// lease alive. All tasks run on one thread.
class agent_service {
public:
    agent_service(const boost::asio::any_io_executor& executor, process_identity identity,
                  worker_orders& orders, operator_view& operators, event_log& log,
                  metrics_registry& metrics);

    /// Starts the tasks that renew the lease and watch the time.
    void start();
    /// The worker's heartbeat.
    announcement_effect announce(const worker_announcement& worker);
    /// What an earlier agent knew of the worker. Counts until a heartbeat comes, and only if the
    /// worker is still the same one.
    void recall(const worker_announcement& worker);
    /// The worker says that it ends. Its runs may go on until it has.
    void worker_left(std::string_view id);
    /// Connects to entries that were not known; the others are still in use. Ends links to entries
    /// that nobody has named for long.
    void learn_entries(const std::vector<std::string>& addresses);
    /// Takes no more orders and returns those that wait. What runs goes on.
    void drain();
    [[nodiscard]] bool is_idle() const { return ledger_.on_worker() == 0; }
    [[nodiscard]] std::size_t open_links() const { return links_.open_count(); }
    /// Gauges, a line each.
    [[nodiscard]] std::string state_text(absl::Time now) const;

private:
    boost::asio::awaitable<void> renew_leases();
    boost::asio::awaitable<void> renew_lease(worker_announcement asked);
    /// False if the worker has not been heard.
    bool take_renewal(const renewal_reply& reply, const worker_announcement& asked,
                      absl::Time asked_at, absl::Time now);
    boost::asio::awaitable<void> watch_time();
    boost::asio::awaitable<void> start_task(worker_ledger::record_number number);
    boost::asio::awaitable<void> stop_task(worker_ledger::record_number number);

    void on_open(entry_link& link);
    void on_frame(entry_link& link, fleet::entry_frame& frame);
    void on_closed(session_number session, absl::Time permitted_until);
    /// Gives the orders that are due and sends what entries have to hear.
    void advance(absl::Time now);
    /// Ends links to entries that no longer permit runs. Comes before each extension of the lease,
    /// because the process may have stood still since the last look.
    void drop_silent_entries(absl::Time now);
    /// Whatever extends the lease keeps all runs of the worker alive, also those that others count
    /// on to end.
    [[nodiscard]] lease_obstacle obstacle_to_lease(absl::Time now) const;
    /// Whether a renewal that is sent now extends the lease.
    [[nodiscard]] bool extends_lease(absl::Time now);
    /// The worker gets nothing new until it answers again. Its runs may go on.
    void suspect_worker(std::string_view reason, absl::Time now);
    /// Nothing of the worker's runs is left once its lease has ended.
    void check_lapse(absl::Time now);
    /// The worker and its runs are gone, as the log line `event` says.
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
    entry_link_set links_;
    async_event worker_known_;
    report_schedule reports_;
    async_event report_ended_;
    status_sender status_;

    bool settled_{false}; ///< a report has shown that nothing of an earlier agent runs
    bool worker_reachable_{true};
    bool worker_leaving_{false}; ///< it has said so; it is removed when none of its runs is left
    bool draining_{false};
    bool advance_posted_{false};
    lease_obstacle lease_obstacle_{lease_obstacle::none}; ///< of the latest renewal
};

} // namespace carobfall
