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

/// The coordinator is paused after the witness has stored the claim, and is removed from the view.
/// The submission is resubmitted to the other entries. Then the coordinator resumes.
schedule_outcome resumed_coordinator(rule_removed mutation);
/// The reply of the witness to the claim is lost. Then coordinator and witness die, and the
/// submission is resubmitted.
schedule_outcome lost_acknowledgement(rule_removed mutation);
/// A start request is delayed until coordinator and witness have died and the submission has run on
/// another agent.
schedule_outcome start_of_dead_coordinator(rule_removed mutation);
/// A start request is delayed. It arrives after its revoke, when the task has run on another agent.
schedule_outcome start_after_revoke(rule_removed mutation);
/// After the task has run, coordinator and witness are restarted. Then the submission is
/// resubmitted.
schedule_outcome restarted_entries(rule_removed mutation);
/// An operator lowers the maximum deadline after the task has run. With `in_outage` the change is
/// committed just before an outage of the store instead, so that the entries accept the submission
/// without the change. Then all entries are restarted without contact to the agent that has run the
/// task. The submission is resubmitted shortly before its deadline.
schedule_outcome lowered_deadline(rule_removed mutation, bool in_outage);
/// The coordinator dies after the task has started. Then the submission is resubmitted to its
/// witness.
schedule_outcome dead_coordinator(rule_removed mutation);
/// All entries die after the task has run. One entry starts alone and recovers the agents' records.
/// Then the other entries join, and one of them owns the submission. It is resubmitted to all
/// entries.
schedule_outcome lost_region(rule_removed mutation);
/// An agent with a queued task is paused while its data centre is taken out, and resumes
/// afterwards.
schedule_outcome paused_agent(rule_removed mutation);
/// A backend server leaves. Submissions are sent after the time for which it may still receive
/// tasks.
schedule_outcome left_backend_server(rule_removed mutation);
/// While the submission is running, another body is submitted under the same id.
schedule_outcome other_body(rule_removed mutation);
/// An entry that reaches only the store commits a change that takes a data centre out. Then the
/// store fails as well.
schedule_outcome change_at_isolated_entry(rule_removed mutation);
/// A job waits for its claim while the new owner of the key joins. The submission is submitted to
/// the new owner, and then resubmitted to both. With `stored` the witness already holds the claim.
schedule_outcome moved_ownership(bool stored);
/// A start request is delayed and its revokes are lost. The start arrives long after the agent's
/// data centre was taken out.
schedule_outcome start_in_data_centre_out(rule_removed mutation);
/// The agent that has run the task is replaced before it reports. The template has no `rerun_lost`.
schedule_outcome replaced_agent(rule_removed mutation);

} // namespace carobfall::stateful
