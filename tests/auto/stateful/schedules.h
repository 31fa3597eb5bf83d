#pragma once

#include "simulated_region.h"

#include <string>

namespace carobfall::stateful {

/// Result of a directed test of a rare schedule.
struct schedule_outcome {
    bool reached{false};   ///< the schedule was reached as described
    std::string violation; ///< empty if there was none
    int starts{0};         ///< number of starts of the submission's only task
};

/// The coordinator is paused after the witness has acknowledged the claim, it is removed from the
/// view, the submission is sent again to its successor, and the coordinator resumes.
schedule_outcome resumed_coordinator(rule_removed mutation);
/// The witness's acknowledgement is lost, then coordinator and witness die.
schedule_outcome lost_acknowledgement(rule_removed mutation);
/// A start is delayed until coordinator and witness have died and the submission has run on another
/// agent.
schedule_outcome start_of_dead_coordinator(rule_removed mutation);
/// A start is delayed until after its revoke, when the task has run on another agent.
schedule_outcome start_after_revoke(rule_removed mutation);
/// Coordinator and witness are restarted after the task has run, and receive the submission again.
schedule_outcome restarted_entries(rule_removed mutation);
/// An operator lowers the deadlines after the task has run, or (`in_outage`) before an outage of
/// the store, so that the entries don't hold the change when they accept the submission. Then all
/// entries are restarted without contact to its agent, and receive the submission again shortly
/// before its deadline.
schedule_outcome lowered_deadline(rule_removed mutation, bool in_outage);
/// The coordinator dies after the task has started, and its witness receives the submission.
schedule_outcome dead_coordinator(rule_removed mutation);
/// All entries die after the task has run. One starts alone and recovers the agents' records; then
/// the others join, one of which owns the submission, and it is sent again to all.
schedule_outcome lost_region(rule_removed mutation);
/// An agent with a queued task is paused while its data centre is taken out.
schedule_outcome paused_agent(rule_removed mutation);
/// A backend server leaves, and submissions are sent after the time in which it may receive work.
schedule_outcome left_backend_server(rule_removed mutation);
/// The submission is sent again with another body while the first is running.
schedule_outcome other_body(rule_removed mutation);
/// An entry that reaches only the store takes a data centre out; then the store fails as well.
schedule_outcome change_at_isolated_entry(rule_removed mutation);
/// A job waits for its claim while the owner of the key joins. The new owner receives the
/// submission as well, and then both receive it again. With `stored` the witness already holds the
/// claim.
schedule_outcome moved_ownership(bool stored);
/// A start is delayed, and its revokes are lost, until long after the agent's data centre was taken
/// out.
schedule_outcome start_in_data_centre_out(rule_removed mutation);
/// The agent that has run the task, of a template without `rerun_lost`, is replaced before it
/// reports.
schedule_outcome replaced_agent(rule_removed mutation);

} // namespace carobfall::stateful
