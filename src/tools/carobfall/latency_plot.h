#pragma once

#include <string>
#include <vector>

namespace carobfall::tool {

/// Returns an SVG plot of the slowdown, response time / ideal (logarithmic), against the quantile.
/// Marks the quantiles 50%, 99% and 99.9%. `sorted`: slowdowns in rising order.
[[nodiscard]] std::string latency_plot(const std::vector<double>& sorted, const std::string& title);

} // namespace carobfall::tool
