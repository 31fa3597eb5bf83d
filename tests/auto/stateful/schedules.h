#pragma once

#include "world.h"

#include <string>

namespace carobfall::stateful {

/// What a directed sequence of a rare schedule ended with.
struct schedule_outcome {
    bool reached{false};   ///< the schedule came about as described
    std::string violation; ///< empty if every rule held
    int starts{0};         ///< of the one task of the submission
};

/// The coordinator is paused after the witness acknowledged the claim, the view changes without
/// it, the submission is sent again through its successor, and the coordinator resumes.
schedule_outcome resumed_coordinator(rule_removed mutation);
/// The witness's acknowledgement is lost, then coordinator and witness die.
schedule_outcome lost_acknowledgement(rule_removed mutation);
/// A start is delayed until coordinator and witness have died and the submission has run elsewhere.
schedule_outcome start_of_dead_coordinator(rule_removed mutation);
/// A start is lost and delivered after its revoke, when the task has run elsewhere.
schedule_outcome start_after_revoke(rule_removed mutation);
/// Coordinator and witness are restarted after the task has run, and get the submission again.
schedule_outcome restarted_entries(rule_removed mutation);
/// An operator lowers the deadlines after the task has run, or, before an outage of the store, so
/// that the entries don't hold the change when they accept the submission. Then all entries are
/// restarted without its agent, and get the submission again shortly before its deadline.
schedule_outcome lowered_deadline(rule_removed mutation, bool in_outage);
/// The coordinator dies after the task has started, and its witness gets the submission.
schedule_outcome dead_coordinator(rule_removed mutation);
/// All entries die after the task has run. One starts alone and learns the agents' records; then
/// the others join, one of which owns the submission, and it is sent again through all.
schedule_outcome lost_region(rule_removed mutation);
/// An agent with a queued task is paused while its data centre is taken out.
schedule_outcome paused_agent(rule_removed mutation);
/// A backend server leaves, and submissions go on for longer than it may get work.
schedule_outcome left_backend_server(rule_removed mutation);
/// The submission is sent again with another body while the first is running.
schedule_outcome other_body(rule_removed mutation);
/// An entry that only reaches the store takes a data centre out; then the store is down as well.
schedule_outcome change_at_isolated_entry(rule_removed mutation);
/// A job waits for its claim while an entry joins that the key belongs to. That entry gets the
/// submission as well, and then both get it again. With `stored` its witness holds the claim.
schedule_outcome moved_ownership(bool stored);
/// A start is delayed, and its revokes are lost, until the agent's data centre has been out for
/// long.
schedule_outcome start_in_data_centre_out(rule_removed mutation);
/// The agent that has run the task of a template without `rerun_lost` is replaced before its
/// report.
schedule_outcome replaced_agent(rule_removed mutation);

} // namespace carobfall::stateful
