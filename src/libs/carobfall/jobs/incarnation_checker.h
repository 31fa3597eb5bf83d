#pragma once

#include "carobfall/base/event_log.h"
#include "carobfall/jobs/incarnation_check.h"
#include "carobfall/jobs/worker_lease.h"
#include "carobfall/jobs/worker_ledger.h"
#include "carobfall/jobs/worker_orders.h"

#include <absl/time/time.h>
#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <cstddef>

namespace carobfall {

/// Result of a check, with the report that has confirmed the incarnation.
struct incarnation_answer {
    incarnation_check check{incarnation_check::unanswered};
    worker_report report;
    absl::Time requested_at;
};

/// Asks the process at the worker's address whether it is the incarnation of an announcement.
class incarnation_checker {
public:
    incarnation_checker(const boost::asio::any_io_executor& executor, worker_lease& lease,
                        const worker_ledger& ledger, event_log& log)
        : executor_(executor), lease_(lease), ledger_(ledger), log_(log)
    {}

    /// Repeats the question until it is answered, for less than 1 s. `worker` must outlive the
    /// call.
    boost::asio::awaitable<incarnation_answer> check(const worker_announcement& worker);

private:
    boost::asio::any_io_executor executor_;
    worker_lease& lease_;
    const worker_ledger& ledger_;
    event_log& log_;
    std::size_t open_checks_{0};
};

} // namespace carobfall
