#pragma once

#include "carobfall/fleet/fleet.pb.h"
#include "carobfall/jobs/worker_ledger.h"

#include <absl/time/time.h>

namespace carobfall {

/// Fills in what entries need to know of the worker: its kind, room, queue and speed.
void describe_worker(const worker_ledger& ledger, absl::Time now, fleet::agent_status& status);

} // namespace carobfall
