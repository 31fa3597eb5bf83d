#pragma once

#include "region_simulation.h"

#include <map>
#include <string>
#include <vector>

namespace carobfall::test {

/// The coordinator's use of ownership, reduced to claims and starts, and the oracle: the set of
/// submissions that have been started.
class submission_model {
public:
    explicit submission_model(region_simulation& region) : region_(region) {}

    /// A caller submits to entry `index`, which forwards the submission to its coordinator.
    void submit(int index, int slot, absl::Duration deadline);
    /// A start message of an accepted claim reaches an agent, perhaps late or after its sender
    /// died.
    void deliver_start(int which, int agent);
    void register_agent(int agent, int index);
    /// Describes the first violation of the oracle; empty if there is none.
    [[nodiscard]] std::string violation() const;
    [[nodiscard]] std::size_t started() const { return started_.size(); }

private:
    struct start_message {
        submission_key key;
        rpc::entry_member sender;
        std::uint64_t view_number{0};
        absl::Time sent;
        absl::Time deadline;
    };
    struct slot_state {
        int generation{0};
        absl::Time deadline{absl::InfinitePast()};
    };
    struct started_submission {
        int starts{0};
        std::uint64_t view_number{0};
        absl::Time deadline;
    };

    void submit_at(simulated_entry& entry, const submission_key& key, absl::Time deadline);
    [[nodiscard]] bool claim(simulated_entry& entry, int index, const rpc::claim& claim);
    void take_over(simulated_entry& entry, int index, rpc::claim claim);
    [[nodiscard]] std::string check_known(simulated_entry& entry) const;
    [[nodiscard]] std::string check_coordinators(simulated_entry& entry) const;

    region_simulation& region_;
    std::map<int, slot_state> slots_;
    std::vector<start_message> messages_;
    std::map<submission_key, started_submission> started_;
    std::map<std::string, std::set<std::string>> known_agents_; ///< incarnations by entry
};

} // namespace carobfall::test
