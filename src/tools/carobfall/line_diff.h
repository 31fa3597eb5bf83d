#pragma once

#include <string>

namespace carobfall::tool {

/// Returns the lines that differ, by a longest common subsequence: removed lines begin with "- ",
/// added lines with "+ ". Time and memory grow with the product of the line counts, so it
/// suits texts of up to a few hundred lines.
[[nodiscard]] std::string line_diff(const std::string& before, const std::string& after);

} // namespace carobfall::tool
