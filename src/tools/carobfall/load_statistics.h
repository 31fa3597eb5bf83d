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
    std::map<std::string, std::uint64_t> ran_by_agent; ///< number of completed tasks

    /// Measured from the intended send time, so that the time for which a slow system delays the
    /// sender is included.
    [[nodiscard]] absl::Duration response() const { return answered - intended; }
    [[nodiscard]] double slowdown() const { return absl::FDivDuration(response(), ideal); }
};

/// Quantile `q` (0 to 1) by the nearest-rank method, so that it is always one of the sorted values.
/// Returns 0 if there are no values.
[[nodiscard]] double quantile_of(const std::vector<double>& sorted, double q);

/// Starts of tasks as counted by the backend servers.
struct start_counts {
    bool has_starts{false};
    std::uint64_t tasks{0};        ///< tasks that started at least once
    std::uint64_t starts{0};       ///< total over all tasks
    std::uint64_t repeated{0};     ///< tasks that started more than once
    std::uint64_t max_per_task{0}; ///< maximum number of starts of one task
};

/// Summary of a run. Not thread-safe.
class load_statistics {
public:
    void add(const load_sample& sample);

    /// Counts one start of a task of this run; `task` is SUBMISSION/INDEX.
    void add_start(const std::string& task);

    /// Sets an agent's data centre. Without it, its tasks are counted under the agent's name.
    void set_data_centre(const std::string& agent, const std::string& data_centre);

    [[nodiscard]] start_counts starts() const;

    /// Slowdowns (response time / ideal) of the complete submissions, in rising order.
    [[nodiscard]] std::vector<double> slowdowns() const;

    /// The report as JSON; docs/OPERATIONS.md describes its figures.
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
