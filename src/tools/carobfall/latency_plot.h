#pragma once

#include <string>
#include <vector>

namespace carobfall::tool {

/// SVG of the distribution: response time / ideal (logarithmic) against the quantile, with the
/// quantiles 50%, 99% and 99.9% marked. `sorted` is in rising order.
[[nodiscard]] std::string latency_plot(const std::vector<double>& sorted, const std::string& title);

} // namespace carobfall::tool
