#pragma once

#include "world.h"

#include <istream>
#include <ostream>
#include <string>
#include <vector>

namespace carobfall::stateful {

/// One step of a sequence; the numbers choose processes, ids and amounts.
struct command {
    std::size_t what{0}; ///< row of the table of commands
    int first{0};
    int second{0};
};

/// How often each command is chosen, in the order of the table.
[[nodiscard]] std::vector<std::size_t> command_weights();

/// Writes "name(first,second)", and reads it back; an unknown name makes the stream fail.
std::ostream& operator<<(std::ostream& stream, const command& step);
std::istream& operator>>(std::istream& stream, command& step);

/// Applies the command, and hands superseded entries on to their end.
void apply(world& region, const command& step);

} // namespace carobfall::stateful
