#pragma once

#include "carobfall/base/event_log.h"
#include "carobfall/base/histogram.h"
#include "carobfall/jobs/worker_contact.h"
#include "carobfall/jobs/worker_lease.h"
#include "carobfall/jobs/worker_ledger.h"
#include "carobfall/jobs/worker_orders.h"

#include <absl/time/time.h>
#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <functional>

namespace carobfall {

/// Sends the start and stop orders of the ledger's records to the worker and records the answers.
class run_order_sender {
public:
    /// `on_answered`: called after an answer, or its absence, is in the ledger.
    run_order_sender(const boost::asio::any_io_executor& executor, worker_orders& orders,
                     worker_ledger& ledger, worker_lease& lease, worker_contact& contact,
                     event_log& log, metrics_registry& metrics,
                     std::function<void(absl::Time now)> on_answered);

    boost::asio::awaitable<void> start(worker_ledger::record_number number);
    boost::asio::awaitable<void> stop(worker_ledger::record_number number);

private:
    boost::asio::any_io_executor executor_;
    worker_orders& orders_;
    worker_ledger& ledger_;
    worker_lease& lease_;
    worker_contact& contact_;
    event_log& log_;
    metrics_registry& metrics_;
    const std::function<void(absl::Time now)> on_answered_;
};

} // namespace carobfall
