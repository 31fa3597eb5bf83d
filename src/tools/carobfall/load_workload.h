#pragma once

#include "carobfall/base/error.h"

#include <absl/time/time.h>
#include <nlohmann/json.hpp>

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace carobfall::tool {

/// Share of the jobs with this number of tasks.
struct job_size {
    double share{1};
    std::uint32_t tasks{1};
};

/// Share of the tasks whose run time is uniform between two bounds.
struct run_range {
    double share{1};
    absl::Duration shortest;
    absl::Duration longest;
};

/// Submissions of one template.
struct load_class {
    std::string template_name;
    nlohmann::json parameters = nlohmann::json::object();
    double submissions_per_second{0}; ///< mean of the Poisson arrivals
    double slot_share{0};             ///< alternative to the rate: mean share of busy slots
    absl::Duration burst_every;       ///< zero: no bursts
    std::uint32_t burst_submissions{0};
    absl::Duration deadline{absl::Seconds(30)}; ///< from the intended send time
    std::vector<job_size> jobs{job_size()};
    std::vector<run_range> run;

    [[nodiscard]] double mean_tasks() const;
    [[nodiscard]] double mean_run_seconds() const;
};

/// Workload of `carobfall load`, as read from a YAML file.
struct load_workload {
    std::string client_account;
    std::uint64_t seed{1};
    absl::Duration duration{absl::Seconds(10)};
    std::size_t max_submissions{10'000};
    std::uint32_t slots{0}; ///< total of all backend servers; used by `slot_share`
    /// Network round trip between processes. The ideal response time has `round_trips` of them.
    absl::Duration round_trip;
    std::vector<load_class> classes;

    /// Mean Poisson arrivals per second of the class.
    [[nodiscard]] double rate_of(const load_class& class_settings) const;
};

/// Round trips of a submission: caller to entry, entry to witness, entry to agent, agent to backend
/// server.
inline constexpr int round_trips = 4;

/// Errors: `invalid_request` with line, key and remedy.
[[nodiscard]] result<load_workload> parse_workload(std::string_view text, std::string_view source);

} // namespace carobfall::tool
