#pragma once

#include "carobfall/jobs/admission_settings.h"

#include <absl/time/time.h>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace carobfall {

/// One kind of job of a load. The properties of each job are drawn at random.
struct replayed_kind {
    std::string name;
    double jobs_per_s{0};
    std::uint32_t priority{0};
    double mean_tasks{1};
    std::uint32_t max_tasks{1};
    absl::Duration mean_run; ///< of a job; its tasks vary little, its declared run time much
};

struct replayed_worker {
    std::int64_t cpu_millicores{64000};
    double slowness{1}; ///< run time relative to a worker on which declared run times hold
    /// Factor of the slowness from `slow_from` to `slow_until` after the start of the replay.
    double slow_factor{1};
    absl::Duration slow_from{};
    absl::Duration slow_until{};
    std::string rack{};
};

/// A load and the workers that serve it, in virtual time. Entries place tasks by reports that are
/// delayed by the report interval and the transmission.
struct load_pattern {
    std::vector<replayed_kind> kinds;
    std::vector<replayed_worker> workers;
    std::size_t entries{4};
    absl::Duration length{absl::Seconds(12)};
    std::int64_t mean_task_millicores{6200};
    absl::Duration report_interval{absl::Milliseconds(20)}; ///< of an agent to each entry
    std::uint64_t seed{1};
    std::optional<admission_settings> admission; ///< shares of the routes; a kind is a route
    std::vector<double> data_shares; ///< shares of the jobs that have their data on rack 0, 1, ...
    double remote_slowdown{1.5};
};

struct replayed_result {
    std::string kind;
    std::size_t jobs{0};
    std::size_t on_time{0}; ///< complete within the objective
    std::size_t late{0};
    std::size_t refused{0}; ///< before any task was ordered
    std::size_t given_up{0};
    std::size_t waited_too_long{0}; ///< given up because a task could not start in time
    std::size_t moves{0};           ///< waiting tasks that agents have returned
    std::size_t near{0};            ///< runs in the rack of their data
    std::size_t away{0};
    std::size_t wide{0}; ///< jobs among the tenth with the most tasks
    std::size_t wide_on_time{0};

    replayed_result& operator+=(const replayed_result& other);
    [[nodiscard]] double on_time_share() const
    {
        return jobs == 0 ? 1 : static_cast<double>(on_time) / static_cast<double>(jobs);
    }
    [[nodiscard]] double wide_on_time_share() const
    {
        return wide == 0 ? 1 : static_cast<double>(wide_on_time) / static_cast<double>(wide);
    }
};

/// Name of a rack in `load_pattern`.
[[nodiscard]] std::string rack_name(std::size_t number);

/// Replays the load through the decisions of entries and agents. No worker is faulty: no answer is
/// lost and no run fails.
[[nodiscard]] std::vector<replayed_result> replay(const load_pattern& load);

} // namespace carobfall
