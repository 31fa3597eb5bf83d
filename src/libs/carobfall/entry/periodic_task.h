#pragma once

#include "carobfall/base/clock.h"

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>

#include <functional>
#include <thread>

namespace carobfall {

/// Thread that calls a function with the current time, with `interval` between the end of one call
/// and the beginning of the next. The destructor waits for the call in progress.
class periodic_task {
public:
    periodic_task(absl::Duration interval, clock_function clock,
                  std::function<void(absl::Time now)> task);
    ~periodic_task();
    periodic_task(const periodic_task&) = delete;
    periodic_task& operator=(const periodic_task&) = delete;

private:
    void run();

    const absl::Duration interval_;
    const clock_function clock_;
    const std::function<void(absl::Time)> task_;
    absl::Mutex mutex_;
    bool stopping_ ABSL_GUARDED_BY(mutex_){false};
    std::thread thread_;
};

} // namespace carobfall
