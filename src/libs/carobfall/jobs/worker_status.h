#pragma once

#include "carobfall/fleet/fleet.pb.h"
#include "carobfall/jobs/worker_ledger.h"

#include <absl/time/time.h>

namespace carobfall {

/// Sets the fields that describe the worker: service, rack, labels and capacity. Does nothing
/// without a worker.
void describe_worker(const worker_ledger& ledger, fleet::agent_status& status);

/// Sets the fields that change with every task: free room, queue, run times and failures.
void describe_load(const worker_ledger& ledger, absl::Time now, fleet::agent_status& status);

} // namespace carobfall
