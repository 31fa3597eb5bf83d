#pragma once

#include "simulated_region.h"

#include <istream>
#include <ostream>
#include <string>
#include <vector>

namespace carobfall::stateful {

/// One command of a sequence. The two numbers select processes, submission ids or amounts.
struct command {
    std::size_t row{0}; ///< row in the table of commands
    int first{0};
    int second{0};
};

/// Relative frequency of each command, in the order of the table.
[[nodiscard]] std::vector<std::size_t> command_weights();

/// Write and read a command as "name(first,second)". An unknown name sets the fail bit of the
/// stream.
std::ostream& operator<<(std::ostream& stream, const command& value);
std::istream& operator>>(std::istream& stream, command& value);

/// Applies the command and ends superseded entries.
void apply(simulated_region& region, const command& value);

} // namespace carobfall::stateful
