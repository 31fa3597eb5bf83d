#pragma once

#include <absl/time/time.h>
#include <nlohmann/json.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace carobfall::tool {

/// Outcome of one submission.
struct load_sample {
    absl::Duration intended; ///< intended send time since the start
    absl::Duration sent;     ///< actual send time since the start
    absl::Duration answered; ///< since the start
    absl::Duration ideal;
    std::string outcome; ///< "complete", or the name of the error kind
    std::uint32_t tasks{0};
    std::map<std::string, std::uint64_t> ran_by_agent; ///< tasks that ran to their end

    /// Measured from the intended send time, so that the time for which a slow system delays the
    /// sender is included.
    [[nodiscard]] absl::Duration response() const { return answered - intended; }
    [[nodiscard]] double relative_response() const { return absl::FDivDuration(response(), ideal); }
};

/// Smallest value that at least the share `q` (0 to 1) of the sorted values doesn't exceed; 0
/// without values.
[[nodiscard]] double quantile_of(const std::vector<double>& sorted, double q);

/// Starts of tasks as counted by the backend servers.
struct start_counts {
    bool known{false};
    std::uint64_t tasks{0};        ///< that started at least once
    std::uint64_t starts{0};       ///< total over all tasks
    std::uint64_t repeated{0};     ///< tasks that started more than once
    std::uint64_t max_per_task{0}; ///< maximum number of starts of one task
};

/// Summary of a run. Not thread-safe.
class load_statistics {
public:
    void add(const load_sample& sample);

    /// Counts the start of a task of this run, named by submission and index.
    void add_start(const std::string& task);

    /// Data centre of an agent; tasks of an unknown agent are counted under the agent's name.
    void set_data_centre(const std::string& agent, const std::string& data_centre);

    [[nodiscard]] start_counts starts() const;

    /// Sorted response time / ideal of the complete submissions.
    [[nodiscard]] std::vector<double> relative_responses() const;

    /// The figures of docs/OPERATIONS.md as one document.
    [[nodiscard]] nlohmann::json to_json() const;

private:
    [[nodiscard]] nlohmann::json latency() const;
    [[nodiscard]] nlohmann::json tasks_per_second() const;
    [[nodiscard]] nlohmann::json start_summary() const;
    [[nodiscard]] std::uint64_t tasks_ran() const;

    std::vector<load_sample> samples_;
    std::map<std::string, std::uint64_t> starts_;
    std::map<std::string, std::string> data_centres_;
    absl::Duration end_;
};

} // namespace carobfall::tool
