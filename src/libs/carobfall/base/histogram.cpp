#include "carobfall/base/histogram.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <array>

namespace carobfall {
namespace {

// 10 us to 1000 s when the unit is milliseconds, 20 bins per decade: at most 12% error.
constexpr unsigned bin_count = 160;
constexpr double lowest_value = 0.01;
constexpr double highest_value = 1e6;
constexpr std::array exported_quantiles{0.5, 0.99, 0.999};

} // namespace

histogram::histogram()
    : bins_(boost::histogram::make_histogram(axis(bin_count, lowest_value, highest_value)))
{}

void histogram::record(double value)
{
    const std::lock_guard lock(mutex_);
    bins_(value);
    ++count_;
    sum_ += value;
}

std::uint64_t histogram::count() const
{
    const std::lock_guard lock(mutex_);
    return count_;
}

double histogram::sum() const
{
    const std::lock_guard lock(mutex_);
    return sum_;
}

double histogram::quantile(double q) const
{
    const std::lock_guard lock(mutex_);
    const double wanted = q * static_cast<double>(count_);
    double seen = 0;
    for (int i = -1; i <= static_cast<int>(bin_count); ++i) {
        seen += bins_.at(i);
        if (seen > 0 && seen >= wanted) {
            return std::min(bins_.axis().value(i + 1), highest_value);
        }
    }
    return 0;
}

void metrics_registry::add(std::string_view counter, std::uint64_t amount)
{
    const std::lock_guard lock(mutex_);
    auto found = counters_.find(counter);
    if (found == counters_.end()) {
        found = counters_.emplace(std::string(counter), 0).first;
    }
    found->second += amount;
}

std::uint64_t metrics_registry::counter(std::string_view name) const
{
    const std::lock_guard lock(mutex_);
    const auto found = counters_.find(name);
    return found == counters_.end() ? 0 : found->second;
}

histogram& metrics_registry::distribution(std::string_view name)
{
    const std::lock_guard lock(mutex_);
    auto found = histograms_.find(name);
    if (found == histograms_.end()) {
        found = histograms_.emplace(std::string(name), std::make_unique<histogram>()).first;
    }
    return *found->second;
}

std::string metrics_registry::to_text() const
{
    const std::lock_guard lock(mutex_);
    std::string text;
    for (const auto& [name, value] : counters_) {
        absl::StrAppend(&text, "carobfall_", name, " ", value, "\n");
    }
    for (const auto& [name, values] : histograms_) {
        for (const double q : exported_quantiles) {
            absl::StrAppend(&text, "carobfall_", name, "{quantile=\"", q, "\"} ",
                            values->quantile(q), "\n");
        }
        absl::StrAppend(&text, "carobfall_", name, "_sum ", values->sum(), "\n");
        absl::StrAppend(&text, "carobfall_", name, "_count ", values->count(), "\n");
    }
    return text;
}

} // namespace carobfall
