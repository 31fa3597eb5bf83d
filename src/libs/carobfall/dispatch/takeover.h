#pragma once

#include "carobfall/dispatch/claim_registration.h"
#include "carobfall/dispatch/dispatch_context.h"

#include <memory>
#include <optional>
#include <vector>

namespace carobfall {

/// Answers submissions whose coordinator has left the view, based on the claim and the records of
/// the planned agents. Starts no tasks. If the coordinator has already answered, the answer is the
/// same if the records determine it, and `answer_expired` otherwise.
class takeover {
public:
    takeover(dispatch_context& context, work_pool& run_pool)
        : context_(context), run_pool_(run_pool)
    {}

    /// Takes over every claim held here if its coordinator is not in the view in effect and
    /// rendezvous hashing selects this entry for the key.
    void adopt_all(absl::Time now);
    /// Takes over one such claim; resubmissions then wait for its answer. Does nothing if the
    /// submission is already in the table. Returns false if too many takeovers are in progress.
    bool adopt(const rpc::claim& claim);

private:
    void run(const rpc::claim& claim, const std::shared_ptr<job>& adopted);

    dispatch_context& context_;
    work_pool& run_pool_;
};

/// Collects the task records of one submission from its planned agents and builds the answer.
class outcome_collector {
public:
    outcome_collector(dispatch_context& context, const rpc::claim& claim);

    /// Queries the agents until the state of every task is final, or until the deadline.
    [[nodiscard]] rpc::submission_answer run();
    /// True if every planned agent has replied and no task finished more than once. The former
    /// coordinator can then have built no other complete answer from the records.
    [[nodiscard]] bool is_conclusive() const;

private:
    struct planned_agent {
        rpc::agent_ref ref;
        std::shared_ptr<const rpc::agent_info> info; ///< null if its address is unknown
        bool is_lost{false};                         ///< the incarnation has ended
        bool has_replied{false};
        std::vector<rpc::task_status> tasks;
    };

    void find_addresses();
    void query(planned_agent& agent);
    [[nodiscard]] bool is_settled() const;
    [[nodiscard]] bool needs_query(const planned_agent& agent) const;
    [[nodiscard]] rpc::submission_answer answer() const;

    dispatch_context& context_;
    const rpc::claim& claim_;
    const submission_key key_;
    const absl::Time end_time_;
    absl::Time next_lookup_{absl::InfinitePast()};
    std::vector<planned_agent> agents_;
};

} // namespace carobfall
