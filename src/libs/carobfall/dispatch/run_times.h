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
    bool measured{false}; ///< by enough runs, so that it isn't a mere declaration
};

/// Moving averages of the run times of each template, because declared ones are often far off.
/// Thread-safe.
class run_times {
public:
    /// The least recently used average is dropped for one more template than `max_templates`.
    explicit run_times(std::size_t max_templates) : max_templates_(max_templates) {}

    void record(const std::string& account, const std::string& template_name,
                absl::Duration declared, absl::Duration run, absl::Time now);
    /// The declared time, which counts as one run, until runs were recorded recently.
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

    void make_room_locked();

    const std::size_t max_templates_;
    mutable std::mutex mutex_;
    absl::flat_hash_map<template_key, average> averages_;
};

} // namespace carobfall
