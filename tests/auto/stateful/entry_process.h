#pragma once

#include "cooperative_scheduler.h"

#include "carobfall/config/configuration_builder.h"
#include "carobfall/dispatch/coordinator.h"
#include "carobfall/entry/agent_membership_table.h"
#include "carobfall/entry/claim_transfer.h"
#include "carobfall/entry/configuration_replica.h"
#include "carobfall/entry/membership.h"
#include "carobfall/platform/configuration_store.h"

#include <atomic>
#include <memory>
#include <string>

namespace carobfall::stateful {

class simulated_region;

/// A simulated entry process: the components that `entry_daemon` connects, without its servers and
/// threads.
class entry_process {
public:
    entry_process(simulated_region& region, const rpc::entry_member& self);

    process_control control;
    const rpc::entry_member self;
    configuration_store store;         ///< used by operator requests
    configuration_store replica_store; ///< used by the replica, which reads it under its lock
    configuration_builder builder;
    claim_store claims;
    std::unique_ptr<membership> members;
    std::unique_ptr<configuration_replica> replica;
    std::unique_ptr<agent_membership_table> agent_rows;
    std::unique_ptr<claim_transfer> transfer;
    /// The ownership as seen by the coordinator; `rule_removed::completeness` changes it.
    std::unique_ptr<ownership> owner;
    std::unique_ptr<agent_registry> registry;
    std::unique_ptr<coordinator> submissions;
    bool is_superseded{false};              ///< removed from the view; the process has to end
    bool is_draining{false};                ///< a graceful shutdown has begun
    bool has_left{false};                   ///< the graceful shutdown has ended
    std::atomic<std::size_t> open_calls{0}; ///< submit calls of clients that are in progress

    /// One step of the process: does one round of the work of each periodic thread.
    void step(absl::Time now);

private:
    void make_members(simulated_region& region);
    void make_transfer(simulated_region& region);
    void make_coordinator(simulated_region& region);

    std::uint64_t adopted_view_{0}; ///< latest view reported to the coordinator as in effect
};

} // namespace carobfall::stateful
