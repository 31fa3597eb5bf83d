#pragma once

#include "carobfall/base/event_log.h"
#include "carobfall/base/histogram.h"
#include "carobfall/jobs/active_job.h"
#include "carobfall/jobs/admission_shares.h"
#include "carobfall/jobs/entry_service.h"
#include "carobfall/jobs/job_admission.h"
#include "carobfall/jobs/task_placement.h"

#include <absl/time/time.h>

#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace carobfall {

/// Writes one log line for each decision of an entry on a job, and counts it.
class job_log {
public:
    job_log(event_log& log, metrics_registry& metrics, const entry_service& agents)
        : log_(log), metrics_(metrics), agents_(agents)
    {}

    /// `wait`: expected wait of the task that would start last.
    void refused(const active_job& job, const job_admission& admission, absl::Duration wait,
                 const std::vector<route_share>& shares, absl::Time now);
    /// `placed`: number of tasks by agent. `ordered`: number of tasks of the placement that were
    /// ordered.
    void placed(const active_job& job, const std::map<std::string, std::size_t>& placed,
                const job_placement& placement, std::size_t ordered, absl::Time now);
    /// A lost task may run elsewhere.
    void released(const active_job& job, std::size_t index, absl::Time now);
    void answered(const active_job& job, const job_answer& answer, absl::Time now);

private:
    event_log& log_;
    metrics_registry& metrics_;
    const entry_service& agents_;
};

} // namespace carobfall
