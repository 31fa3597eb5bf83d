#pragma once

#include "../support/fake_table_service.h"
#include "carobfall/entry/agent_membership_table.h"
#include "carobfall/entry/claim_acceptance.h"
#include "carobfall/entry/claim_transfer.h"
#include "carobfall/entry/configuration_replica.h"
#include "carobfall/entry/membership.h"

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace carobfall::test {

class region_simulation;

/// One simulated entry process: its components without threads.
struct simulated_entry {
    simulated_entry(region_simulation& region, int index, int generation);

    rpc::entry_member self;
    claim_store claims;
    std::unique_ptr<membership> members;
    std::unique_ptr<configuration_replica> replica;
    std::unique_ptr<agent_membership_table> agents;
    std::unique_ptr<claim_transfer> transfer;
    bool is_paused{false};     ///< does not run and receives no calls
    bool is_superseded{false}; ///< removed from the view; a real process would exit
};

/// A simulated agent: the highest view that it has accepted and the submissions it has started.
struct simulated_agent {
    rpc::agent_info info;
    std::uint64_t highest_view{0};
    std::map<submission_key, std::int64_t> started; ///< value: deadline
    bool reachable{true};
};

/// Single-threaded simulation of entries, agents, the table service and the network between them.
/// Time moves only by `run` and by changes to `now`.
class region_simulation {
public:
    region_simulation(int entries, int agents);

    absl::Time now{absl::FromUnixSeconds(1'000'000)};
    testing::fake_table_service table;
    std::uint64_t store_version{1};
    std::vector<std::unique_ptr<simulated_entry>> entries; ///< null while dead
    std::vector<simulated_agent> agents;
    std::set<std::pair<int, int>> cuts;         ///< pairs of entries, lower index first
    std::set<std::pair<int, int>> one_way_cuts; ///< calls from the first to the second fail
    bool dead_hosts_refuse{true};               ///< addresses of dead entries refuse connections

    void start(int index);
    void kill(int index) { entries[static_cast<std::size_t>(index)].reset(); }
    void cut(int left, int right) { cuts.insert(std::minmax(left, right)); }
    /// One step of the entry: does one round of the work of each of its threads. Does nothing if
    /// the entry is dead or paused.
    void step(int index);
    /// Steps all entries and advances the time by half a second, `rounds` times.
    void run(int rounds);
    void restart_agent(int index);

    simulated_entry& at(int index) { return *entries[static_cast<std::size_t>(index)]; }
    [[nodiscard]] ownership_snapshot view_at(int index) { return at(index).members->snapshot(); }
    [[nodiscard]] bool is_cut(int left, int right) const;
    [[nodiscard]] bool refuses(const std::string& address) const;
    [[nodiscard]] static int index_of(const std::string& address);
    /// The running entry that a call from `from` reaches; null if there is none.
    [[nodiscard]] simulated_entry* reach_address(int from, const std::string& address);
    [[nodiscard]] simulated_entry* reach(int from, const rpc::entry_member& member);

private:
    std::vector<int> generations_;
    int agent_generation_{0};
};

} // namespace carobfall::test
