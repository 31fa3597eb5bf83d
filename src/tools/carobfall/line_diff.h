#pragma once

#include <string>

namespace carobfall::tool {

/// Lines that differ, those of `before` marked "- " and those of `after` marked "+ ", in the order
/// of a longest common subsequence. Time and memory grow with the product of the line counts, so it
/// suits texts of up to a few hundred lines.
[[nodiscard]] std::string line_diff(const std::string& before, const std::string& after);

} // namespace carobfall::tool
