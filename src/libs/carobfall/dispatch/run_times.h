#pragma once

#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>

#include <cstddef>
#include <mutex>
#include <string>
#include <utility>

namespace carobfall {

/// Expected run time of a task.
struct run_estimate {
    absl::Duration run;
    bool is_measured{false}; ///< based on enough runs rather than on the declared run time
};

/// Moving averages of the run times of each template, because declared ones are often inaccurate.
/// Thread-safe.
class run_times {
public:
    /// Keeps up to `max_templates` averages; beyond that, drops the least recently updated one.
    explicit run_times(std::size_t max_templates) : max_templates_(max_templates) {}

    void record(const std::string& account, const std::string& template_name,
                absl::Duration declared, absl::Duration run, absl::Time now);
    /// Returns the average of the recent runs, in which the declared time counts as one run.
    /// Returns the declared time if there are no recent runs.
    [[nodiscard]] run_estimate expected(const std::string& account,
                                        const std::string& template_name, absl::Duration declared,
                                        absl::Time now) const;
    [[nodiscard]] std::size_t size() const;

private:
    using template_key = std::pair<std::string, std::string>;
    struct average {
        absl::Duration run;
        absl::Duration declared;
        std::size_t runs{0};
        absl::Time recorded_at;
    };

    void evict_oldest_locked();

    const std::size_t max_templates_;
    mutable std::mutex mutex_;
    absl::flat_hash_map<template_key, average> averages_;
};

} // namespace carobfall
