#pragma once

#include "carobfall/jobs/admission_settings.h"
#include "carobfall/jobs/job_request.h"
#include "carobfall/jobs/job_timing.h"

#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>

#include <optional>
#include <string>
#include <vector>

namespace carobfall {

/// What is known of a job when it is admitted or refused.
struct admission_candidate {
    absl::Duration expected_run;  ///< longest expected run time of a task
    absl::Duration expected_wait; ///< of the task that starts last
    absl::Duration queued_for;    ///< age of the queue, see `admitted_wait`
};

/// Room of a route, in thousandths of a core, averaged over the last seconds.
struct route_share {
    std::string route;
    double demanded{0};
    double admitted{0};
    double share{0}; ///< what the route is entitled to

    [[nodiscard]] double above_share() const { return admitted - share; }
    [[nodiscard]] double admitted_part() const { return demanded > 0 ? admitted / demanded : 1; }
};

/// The room that a job takes, in thousandths of a core times seconds. A task takes none after the
/// time limit of its caller.
[[nodiscard]] double room_of(const job_request& request, absl::Duration expected_run);

/// Admits and refuses jobs so that the routes share the room of the workers by their weights while
/// jobs have to be refused. A route below its share is admitted with a longer queue than others, a
/// route above its share with a shorter one. Without settings, and while hardly any job is refused,
/// the decision is that of `admit`.
///
/// Load pattern: one route arrives at 2.4 times its usual rate, and the demand is 1.3 times the
/// room. By the expected wait alone, routes of a lower priority are refused in place of the route
/// that has grown.
///
/// The state is the averages of the routes with jobs in the last seconds. It is empty after a
/// restart.
class admission_shares {
public:
    /// Sets or changes the settings; without a value, shares are off. The averages are kept.
    void configure(std::optional<admission_settings> settings);
    [[nodiscard]] bool enabled() const { return settings_.has_value(); }

    /// The decision on a job, which isn't counted. `random` (0 to 1) spreads the retry times.
    [[nodiscard]] admission_decision evaluate(const job_request& request, const job_timing& timing,
                                              const admission_candidate& candidate, absl::Time now,
                                              double random) const;
    /// Counts a job that was decided on with the settings.
    void count(const job_request& request, const job_timing& timing, absl::Duration expected_run,
               bool admitted, absl::Time now);
    /// Decides on a job and counts it.
    [[nodiscard]] admission_decision decide(const job_request& request, const job_timing& timing,
                                            const admission_candidate& candidate, absl::Time now,
                                            double random);
    /// The routes with jobs in the last seconds, the greatest demand first.
    [[nodiscard]] std::vector<route_share> shares(absl::Time now) const;

private:
    struct averages {
        double demanded{0};
        double admitted{0};
        absl::Time updated_at;

        void decay(absl::Time now);
    };

    void record(const std::string& route, double room, bool admitted, absl::Time now);
    void remove_idle_routes(absl::Time now);

    std::optional<admission_settings> settings_;
    absl::flat_hash_map<std::string, averages> routes_;
    absl::Time observed_since_{absl::InfiniteFuture()};
    absl::Time last_removal_{absl::InfinitePast()};
};

} // namespace carobfall
