#pragma once

#include "carobfall/base/async_event.h"
#include "carobfall/jobs/job_request.h"
#include "carobfall/jobs/job_timing.h"

#include <absl/time/time.h>
#include <boost/asio/any_io_executor.hpp>

#include <cstdint>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace carobfall {

enum class job_task_phase {
    unplaced,
    ordered, ///< sent to an agent, which reports the end of the task
    lost,    ///< its agent is lost; the task may run until `ended_by`
    done,
    given_up,
};

struct job_task {
    job_task_phase phase{job_task_phase::unplaced};
    std::string agent;
    std::uint32_t attempt{0};
    std::uint32_t failures{0};
    bool away{false}; ///< ordered away from the data that the job names
    absl::Time lost_at;
    absl::Time ended_by;
};

/// A job in progress. It is kept after its answer until all of its runs have ended.
struct active_job {
    active_job(const boost::asio::any_io_executor& executor, job_request job)
        : request(std::move(job)), changed(executor)
    {}

    job_request request;
    job_timing timing;
    absl::Time arrival;
    absl::Duration expected_run;
    std::vector<job_task> tasks;
    std::set<std::string> avoided; ///< agents where a task has failed or waited too long
    bool may_have_run{false};      ///< a task was ordered and not returned as not run
    bool caller_gone{false};
    bool too_many_failures{false};
    bool too_many_orders{false};
    bool run_too_long{false}; ///< a worker of normal speed could not finish a task in time
    absl::Time place_after{absl::InfinitePast()};
    async_event changed;
};

} // namespace carobfall
