#pragma once

#include "carobfall/dispatch/agent_channel.h"
#include "carobfall/entry/entry_channel.h"

namespace carobfall::stateful {

class entry_process;
class simulated_region;

/// Channels of an entry to the other entries and to the agents, over the fake network.
[[nodiscard]] entry_channel_factory entry_channels_from(simulated_region& region,
                                                        entry_process& from);
[[nodiscard]] agent_channel_factory agent_channels_from(simulated_region& region,
                                                        entry_process& from);

} // namespace carobfall::stateful
