#pragma once

#include <absl/container/flat_hash_map.h>
#include <boost/histogram.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>

namespace carobfall {

/// Distribution of a non-negative quantity, in the unit its metric name ends with. Thread-safe.
class histogram {
public:
    histogram();

    void record(double value);

    [[nodiscard]] std::uint64_t count() const;
    [[nodiscard]] double sum() const;
    /// Upper edge of the bin that holds quantile `q` (0 to 1); 0 without samples.
    [[nodiscard]] double quantile(double q) const;

private:
    using axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
    using storage = decltype(boost::histogram::make_histogram(std::declval<axis>()));

    mutable std::mutex mutex_;
    storage bins_;
    std::uint64_t count_{0};
    double sum_{0};
};

/// Named counters and histograms of a process. Thread-safe; the references stay valid for the
/// life of the registry. A name may carry Prometheus labels: `refusals_total{kind="overloaded"}`.
class metrics_registry {
public:
    void add(std::string_view counter, std::uint64_t amount = 1);
    [[nodiscard]] std::uint64_t counter(std::string_view name) const;
    histogram& distribution(std::string_view name);

    /// Prometheus text format; histograms appear as summaries.
    [[nodiscard]] std::string to_text() const;

private:
    mutable std::mutex mutex_;
    std::map<std::string, std::uint64_t, std::less<>> counters_;
    std::map<std::string, std::unique_ptr<histogram>, std::less<>> histograms_;
};

} // namespace carobfall
