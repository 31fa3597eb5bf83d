#pragma once

#include "carobfall/entry/claim_store.h"
#include "carobfall/entry/claim_transfer.h"
#include "carobfall/entry/configuration_replica.h"
#include "carobfall/entry/membership.h"
#include "carobfall/entry/periodic_task.h"

namespace carobfall {

struct entry_thread_intervals {
    absl::Duration heartbeat{absl::Milliseconds(500)};
    absl::Duration poll{absl::Seconds(1)}; ///< between reads of the configuration head
};

/// Background threads of an entry for membership, claim transfer and configuration. Each runs at
/// its own interval, so that a slow table service delays neither heartbeats nor pushes. Create this
/// object after the entry's server has started; the destructor stops the threads.
class entry_threads {
public:
    entry_threads(membership& members, claim_transfer& transfer, claim_store& claims,
                  configuration_replica& replica, const clock_function& clock,
                  entry_thread_intervals intervals = {});

private:
    periodic_task poll_;
    periodic_task heartbeat_;
    periodic_task view_;
    periodic_task transfer_;
    periodic_task push_;
    periodic_task expiry_;
};

} // namespace carobfall
