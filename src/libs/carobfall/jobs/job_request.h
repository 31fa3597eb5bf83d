#pragma once

#include <absl/time/time.h>

#include <cstdint>
#include <string>

namespace carobfall {

/// Resources that one task needs on a worker, or that a worker has.
struct resource_amounts {
    std::int64_t cpu_millicores{0};
    std::int64_t memory_mib{0};
    std::int64_t accelerators{0};

    bool operator==(const resource_amounts&) const = default;
    [[nodiscard]] bool fits_into(const resource_amounts& room) const
    {
        return cpu_millicores <= room.cpu_millicores && memory_mib <= room.memory_mib &&
               accelerators <= room.accelerators;
    }
    resource_amounts& operator+=(const resource_amounts& other)
    {
        cpu_millicores += other.cpu_millicores;
        memory_mib += other.memory_mib;
        accelerators += other.accelerators;
        return *this;
    }
    resource_amounts& operator-=(const resource_amounts& other)
    {
        cpu_millicores -= other.cpu_millicores;
        memory_mib -= other.memory_mib;
        accelerators -= other.accelerators;
        return *this;
    }
};

/// A job with tasks of one kind. The caller waits for the answer on its connection. Jobs are not
/// stored: if the entry is lost, the caller resubmits the job.
struct job_request {
    std::string id; ///< chosen by the caller
    std::string spec;
    std::uint32_t task_count{0};
    resource_amounts demand;              ///< of each task
    absl::Duration declared_run_time;     ///< of each task, often inaccurate
    std::string data_rack;                ///< rack with the data, faster for tasks; empty: none
    std::string required_label;           ///< label that the worker must have; empty: none
    std::uint32_t max_tasks_per_agent{0}; ///< 0: no limit

    std::string route;
    std::string service;
    std::uint32_t priority{0}; ///< 0 is the highest priority
    double slack_factor{1};
    absl::Duration target;
    std::uint32_t max_attempts{1};
    absl::Duration time_limit; ///< longest time that the caller waits, from the arrival
};

enum class job_outcome {
    succeeded,
    failed,  ///< a task failed in all attempts that the route allows
    not_run, ///< no task has run and none will run
    unknown, ///< tasks may have run and were stopped; the caller may resubmit the job
};

struct job_answer {
    job_outcome outcome{job_outcome::not_run};
    std::string reason;         ///< for logs
    absl::Duration retry_after; ///< with `not_run`: how long the caller should wait
};

} // namespace carobfall
