#pragma once

#include "world.h"

#include <ostream>
#include <string>
#include <vector>

namespace carobfall::stateful {

enum class action {
    run,
    step_entry,
    step_agent,
    step_thread,
    take_tasks,
    submit,
    submit_other_body,
    status,
    cancel,
    cancel_wave,
    fault,
    lose_entry_requests,
    lose_entry_answers,
    deliver_late,
    drop_late,
    kill,
    kill_all,
    leave,
    restart,
    pause,
    resume,
    cut,
    cut_one_way,
    isolate,
    heal,
    toggle_refusals,
    toggle_hidden_agent,
    restart_agent,
    leave_agent,
    pause_agent,
    resume_agent,
    backend,
    outage,
    lose_store_answer,
    delay_store,
    release_store,
    data_centre_out,
    data_centre_in,
    operators_race,
    wait,
    long_wait,
};

/// One step of a sequence; the numbers choose processes, ids and amounts.
struct command {
    action what{action::run};
    int first{0};
    int second{0};
};

std::ostream& operator<<(std::ostream& stream, const command& step);

/// Applies the command, and hands superseded entries on to their end.
void apply(world& region, const command& step);

} // namespace carobfall::stateful
