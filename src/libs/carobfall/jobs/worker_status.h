#pragma once

#include "carobfall/fleet/fleet.pb.h"
#include "carobfall/jobs/worker_ledger.h"

#include <absl/time/time.h>

namespace carobfall {

/// Fills in what the worker is: service, rack, labels and capacity. Nothing without a worker.
void describe_worker(const worker_ledger& ledger, fleet::agent_status& status);

/// Fills in what changes with every task: room, queue and speed.
void describe_load(const worker_ledger& ledger, absl::Time now, fleet::agent_status& status);

} // namespace carobfall
